// Catalogue documents: TOML files for operators, JSON between processes.
#pragma once

#include <string>
#include <string_view>

#include "Kernel/Result.h"
#include "LibCatalogue/Catalogue.h"

namespace bramleyspan::catalogue {

// Parses and checks an operator's TOML file. Fails with kMalformedDocument; its
// text names the file, the line and the fault.
Result<Catalogue> ParseToml(const std::string& text,
                            const std::string& file_name);

// Parses JSON written by SerializeJson. Fails with kMalformedDocument.
Result<Catalogue> ParseJson(std::string_view text);

// Returns a catalogue as JSON with sorted keys, so that equal catalogues have
// equal texts.
std::string SerializeJson(const Catalogue& catalogue);

// Checks constraints across declarations: each entry's owner exists, each back
// end has a group, and no target is in two groups.
Result<void> Check(const Catalogue& catalogue);

}  // namespace bramleyspan::catalogue

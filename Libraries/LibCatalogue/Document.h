// Catalogue documents: TOML files for operators, JSON for processes.
#pragma once

#include <string>
#include <string_view>

#include "Kernel/Result.h"
#include "LibCatalogue/Catalogue.h"

namespace bramleyspan::catalogue {

// Parses an operator's TOML file and checks it as a whole. Fails with
// kMalformedDocument whose text names the file, the line and what is wrong.
Result<Catalogue> ParseToml(const std::string& text,
                            const std::string& file_name);

// Parses the JSON of SerializeJson. Fails with kMalformedDocument.
Result<Catalogue> ParseJson(std::string_view text);

// Writes a catalogue as JSON with sorted keys, so that equal catalogues have
// equal texts.
std::string SerializeJson(const Catalogue& catalogue);

// Checks what no single declaration can show: each entry's owner exists, each
// back end has a group, no target is in two groups.
Result<void> Check(const Catalogue& catalogue);

}  // namespace bramleyspan::catalogue

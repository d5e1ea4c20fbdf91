// Names of the catalogue's enumerations in documents.
#pragma once

#include <string>
#include <string_view>

#include "Kernel/Result.h"
#include "LibCatalogue/Catalogue.h"

namespace bramleyspan::catalogue {

std::string_view NameOf(ServiceClass service_class);
std::string_view NameOf(BackEndKind kind);
std::string_view NameOf(Repetition repetition);

// Each fails with kMalformedDocument; the text lists the allowed names.
Result<ServiceClass> ParseServiceClass(const std::string& name);
Result<BackEndKind> ParseBackEndKind(const std::string& name);
Result<Repetition> ParseRepetition(const std::string& name);

}  // namespace bramleyspan::catalogue

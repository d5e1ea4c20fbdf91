// The words by which documents name the enumerations of the catalogue.
#pragma once

#include <string>
#include <string_view>

#include "Kernel/Result.h"
#include "LibCatalogue/Catalogue.h"

namespace bramleyspan::catalogue {

std::string_view NameOf(ServiceClass service_class);
std::string_view NameOf(BackEndKind kind);
std::string_view NameOf(Repetition repetition);

// Each fails with kMalformedDocument that lists the words allowed.
Result<ServiceClass> ParseServiceClass(const std::string& word);
Result<BackEndKind> ParseBackEndKind(const std::string& word);
Result<Repetition> ParseRepetition(const std::string& word);

}  // namespace bramleyspan::catalogue

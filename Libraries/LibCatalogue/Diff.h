// Differences between two catalogues, for operators.
#pragma once

#include <string>
#include <vector>

#include "LibCatalogue/Catalogue.h"

namespace bramleyspan::catalogue {

enum class DifferenceKind { kAdded, kRemoved, kChanged };

// A declaration that differs. For kChanged, `fields` lists each changed field
// as "deadline_ms: 2000 -> 3000".
struct Difference {
  DifferenceKind kind = DifferenceKind::kChanged;
  std::string section;
  std::string name;
  std::vector<std::string> fields;

  bool operator==(const Difference&) const = default;
};

// Returns the differences from `before` to `after`.
std::vector<Difference> Compare(const Catalogue& before,
                                const Catalogue& after);

// Formats as "+ entry draft", "- owner huber" or "~ group a: field: 1 -> 2".
std::string Format(const Difference& difference);

}  // namespace bramleyspan::catalogue

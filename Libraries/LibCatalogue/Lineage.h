// Order of heads by the changes that they contain. Revision numbers are not
// sufficient: a key-value service that was restored to an older state assigns
// the same numbers again.
#pragma once

#include <optional>

#include "LibCatalogue/Shards.h"

namespace bramleyspan::catalogue {

// Ordered from best to worst; no commit may be based on a head beyond kNewer.
enum class Lineage {
  kSame,
  // The head contains every change of the other one, and more.
  kNewer,
  // The other head is newer, or this head predates the other one's history.
  kOlder,
  // Each head contains a change that the other one lacks.
  kDiverged,
};

// Returns the change that created `head`; revision 0 for the empty head.
AcceptedChange NewestChange(const Head& head);

// Returns the change with this id, or nullptr if the history of `head` lacks
// it.
const AcceptedChange* FindChange(const Head& head, const std::string& id);

// Whether `head` is based on `change`. A change older than the history of
// `head` counts as contained, so that a process which was offline for that long
// can follow again.
bool has_change(const Head& head, const AcceptedChange& change);

// Whether a restore by an operator abandoned `change` in `head`.
bool has_abandoned(const Head& head, const AcceptedChange& change);

// Returns the lineage of `head` for a process that has `change` in force.
Lineage CompareLineage(const Head& head, const AcceptedChange& change);

}  // namespace bramleyspan::catalogue

// Which head follows which. Revision numbers alone can not tell: a key-value
// service that came back with an older state gives the same numbers out again.
#pragma once

#include <optional>

#include "LibCatalogue/Shards.h"

namespace bramleyspan::catalogue {

// From good to bad: what comes after kNewer is no head to commit on.
enum class Lineage {
  kSame,
  // The head holds every change that the other one holds, and more.
  kNewer,
  // The other head is newer, or the head is from before the other's history.
  kOlder,
  // Each head holds a change that the other one lacks.
  kDiverged,
};

// The change by which a head came about; revision 0 if it is the empty one.
AcceptedChange NewestChange(const Head& head);

// The change with this id, if the head remembers it.
const AcceptedChange* FindChange(const Head& head, const std::string& id);

// Whether `head` was made on top of `change`. A change from before the history
// that `head` remembers counts as held: a process that was away for so long
// must be able to follow.
bool holds_change(const Head& head, const AcceptedChange& change);

// Whether an operator gave `change` up for `head` by a restore.
bool has_abandoned(const Head& head, const AcceptedChange& change);

// What a head is to a process that has `change` in force.
Lineage CompareLineage(const Head& head, const AcceptedChange& change);

}  // namespace bramleyspan::catalogue

#include "LibCatalogue/Lineage.h"

#include <algorithm>

namespace bramleyspan::catalogue {

AcceptedChange NewestChange(const Head& head) {
  return head.changes.empty() ? AcceptedChange{} : head.changes.back();
}

const AcceptedChange* FindChange(const Head& head, const std::string& id) {
  const auto found = std::ranges::find(head.changes, id, &AcceptedChange::id);
  return found == head.changes.end() ? nullptr : &*found;
}

bool has_change(const Head& head, const AcceptedChange& change) {
  if (change.revision == 0) {
    return true;
  }
  if (head.changes.empty()) {
    return false;
  }
  if (change.revision < head.changes.front().revision) {
    return true;
  }
  return std::ranges::find(head.changes, change) != head.changes.end();
}

bool has_abandoned(const Head& head, const AcceptedChange& change) {
  return std::ranges::find(head.abandoned, change) != head.abandoned.end();
}

Lineage CompareLineage(const Head& head, const AcceptedChange& change) {
  if (NewestChange(head) == change) {
    return Lineage::kSame;
  }
  if (head.revision > change.revision) {
    return has_change(head, change) || has_abandoned(head, change)
               ? Lineage::kNewer
               : Lineage::kDiverged;
  }
  // The newest change of `head` does not show what the other head contains: a
  // lower revision counts as older, the same revision with another change is a
  // fork.
  return head.revision < change.revision ? Lineage::kOlder : Lineage::kDiverged;
}

}  // namespace bramleyspan::catalogue

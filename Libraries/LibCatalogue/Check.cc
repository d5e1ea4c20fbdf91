#include <set>

#include "LibCatalogue/Document.h"

namespace bramleyspan::catalogue {

namespace {

constexpr size_t kDigestLength = 64;

bool has_group(const Catalogue& catalogue, const Entry& entry) {
  for (const auto& [name, group] : catalogue.groups) {
    if (group.kind == entry.kind && group.back_end == entry.back_end) {
      return true;
    }
  }
  return false;
}

Result<void> CheckOwner(const Owner& owner) {
  const bool is_hexadecimal = owner.key_sha256.find_first_not_of(
                                  "0123456789abcdef") == std::string::npos;
  if (owner.key_sha256.size() != kDigestLength || !is_hexadecimal) {
    return Fail(ErrorCode::kMalformedDocument, "owner " + owner.name,
                "key_sha256 is not 64 lower-case hexadecimal digits");
  }
  return Succeed();
}

Result<void> CheckEntry(const Catalogue& catalogue, const Entry& entry) {
  if (!catalogue.owners.contains(entry.owner)) {
    return Fail(ErrorCode::kMalformedDocument, "entry " + entry.name,
                "its owner '" + entry.owner + "' is not declared");
  }
  if (!has_group(catalogue, entry)) {
    return Fail(ErrorCode::kMalformedDocument, "entry " + entry.name,
                "no group serves '" + entry.back_end + "'");
  }
  if (entry.kind == BackEndKind::kModel &&
      entry.repetition == Repetition::kAtMostOnce) {
    return Fail(ErrorCode::kMalformedDocument, "entry " + entry.name,
                "only calls to a service can be at-most-once");
  }
  return Succeed();
}

}  // namespace

Result<void> Check(const Catalogue& catalogue) {
  for (const auto& [name, owner] : catalogue.owners) {
    TRY(CheckOwner(owner));
  }
  for (const auto& [name, entry] : catalogue.entries) {
    TRY(CheckEntry(catalogue, entry));
  }
  std::set<std::string> seen_targets;
  for (const auto& [name, group] : catalogue.groups) {
    if (group.targets.empty()) {
      return Fail(ErrorCode::kMalformedDocument, "group " + name,
                  "has no target");
    }
    for (const std::string& target : group.targets) {
      if (!seen_targets.insert(target).second) {
        return Fail(ErrorCode::kMalformedDocument, "group " + name,
                    "target '" + target + "' is in a group already");
      }
    }
  }
  return Succeed();
}

}  // namespace bramleyspan::catalogue

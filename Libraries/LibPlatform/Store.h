// The key-value store interface that a platform's adapter implements: ranges,
// watches of a prefix, leases and conditional writes. Every call has a timeout,
// and its error code says whether it was executed:
//   kUnavailable      not executed; the call may be retried
//   kOutcomeUnknown   may have been executed, or may still be
//   kConflict         a condition did not hold
//   kNotFound         the lease has ended
//   kHistoryGone      the store no longer has the changes that a watch requests
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Kernel/Result.h"
#include "Kernel/Time.h"

namespace bramleyspan::platform {

// A write of a key, or its removal.
struct StoreItem {
  std::string key;
  std::string value;
  uint64_t revision = 0;
  bool is_removed = false;
};

// One page of the keys of a prefix. Pages of one range may be of different
// revisions.
struct RangePage {
  std::vector<StoreItem> items;
  bool has_more = false;
  uint64_t revision = 0;
};

// The changes after a revision. The next watch continues after `revision`.
struct WatchAnswer {
  std::vector<StoreItem> events;
  uint64_t revision = 0;
};

struct RangeCall {
  std::string prefix;
  // The last key of the page before; empty for the first page.
  std::string after;
  // Allows an answer that is seconds old, which costs less.
  bool may_be_stale = false;
  Duration timeout = std::chrono::seconds(1);
};

struct WatchCall {
  std::string prefix;
  uint64_t after = 0;
  Duration wait = std::chrono::seconds(1);
  // Time beyond `wait` after which the call times out.
  Duration slack = std::chrono::milliseconds(500);
};

struct PutCall {
  std::string key;
  std::string value;
  uint64_t lease = 0;
  // The revision that the key must still have; 0 if it must not exist. With it,
  // a write that is executed late cannot replace a later one.
  std::optional<uint64_t> expected_revision;
};

// Limit of keys that one call removes.
inline constexpr size_t kMaxRemovedKeys = 32;

struct Store {
  std::function<void(RangeCall, std::function<void(Result<RangePage>)>)> range;
  std::function<void(WatchCall, std::function<void(Result<WatchAnswer>)>)>
      watch;
  // Writes a key. Returns its new revision.
  std::function<void(PutCall, std::function<void(Result<uint64_t>)>)> put;
  // Removes up to kMaxRemovedKeys keys, whether they exist or not.
  std::function<void(std::vector<std::string> keys,
                     std::function<void(Result<void>)>)>
      remove;
  // Returns the number of a new lease.
  std::function<void(Duration ttl, std::function<void(Result<uint64_t>)>)>
      grant_lease;
  std::function<void(uint64_t lease, std::function<void(Result<void>)>)>
      renew_lease;
};

}  // namespace bramleyspan::platform

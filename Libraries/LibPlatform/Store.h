// The key-value interface that the product needs of a platform: ranges,
// watches of a prefix, leases and conditional transactions. Adapters fill it
// in; every call has a bound in time, and its failure says what may have
// happened:
//   kUnavailable      surely not done; it may be tried again
//   kOutcomeUnknown   may have been done, or may be done yet
//   kConflict         a condition did not hold
//   kNotFound         the lease has ended
//   kHistoryGone      a watch asks for changes that are forgotten
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Kernel/Result.h"
#include "Kernel/Time.h"

namespace bramleyspan::platform {

// A key as it was written, or its removal.
struct StoreItem {
  std::string key;
  std::string value;
  uint64_t revision = 0;
  bool is_removed = false;
};

// One page of a prefix. Pages are no snapshot.
struct RangePage {
  std::vector<StoreItem> items;
  bool has_more = false;
  uint64_t revision = 0;
};

// What happened after a revision; `revision` is where the next watch begins.
struct WatchAnswer {
  std::vector<StoreItem> events;
  uint64_t revision = 0;
};

struct RangeCall {
  std::string prefix;
  // The key after which the page begins; empty for the first page.
  std::string after;
  // Cheaper, and seconds old.
  bool may_be_stale = false;
  Duration timeout = std::chrono::seconds(1);
};

struct WatchCall {
  std::string prefix;
  uint64_t after = 0;
  Duration wait = std::chrono::seconds(1);
  // How much longer than the wait the answer may take.
  Duration slack = std::chrono::milliseconds(500);
};

struct PutCall {
  std::string key;
  std::string value;
  uint64_t lease = 0;
  // The revision that the key must still have; 0 if it must not exist. A write
  // that is carried out late then does not take the place of a later one.
  std::optional<uint64_t> expected_revision;
};

// Keys that one call may remove.
inline constexpr size_t kMostRemovedKeys = 32;

struct Store {
  std::function<void(RangeCall, std::function<void(Result<RangePage>)>)> range;
  std::function<void(WatchCall, std::function<void(Result<WatchAnswer>)>)>
      watch;
  // Writes; gives the revision.
  std::function<void(PutCall, std::function<void(Result<uint64_t>)>)> put;
  // Removes keys, whether they exist or not; kMostRemovedKeys at most.
  std::function<void(std::vector<std::string> keys,
                     std::function<void(Result<void>)>)>
      remove;
  // Gives the lease's number.
  std::function<void(Duration ttl, std::function<void(Result<uint64_t>)>)>
      grant_lease;
  std::function<void(uint64_t lease, std::function<void(Result<void>)>)>
      renew_lease;
};

}  // namespace bramleyspan::platform

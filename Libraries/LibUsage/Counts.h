// The counters of usage: units of work by source. Agents report them as rows,
// and aggregators store the rows.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "Kernel/Time.h"

namespace bramleyspan::usage {

// Units of work. Every request that ended is counted in exactly one of
// answered, refused, failed and cancelled, so that these four sum to
// `requests`.
struct Counts {
  uint64_t requests = 0;
  uint64_t answered = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  // Requests whose caller disconnected.
  uint64_t cancelled = 0;
  // Attempts after the first.
  uint64_t retries = 0;
  uint64_t tokens_in = 0;
  uint64_t tokens_out = 0;
  uint64_t queue_microseconds = 0;
  // Time that requests spent at targets.
  uint64_t target_microseconds = 0;
  // The part of target_microseconds that contributed to no answer.
  uint64_t wasted_microseconds = 0;
  // Bytes of expert weights that were loaded or moved.
  uint64_t loaded_bytes = 0;

  bool operator==(const Counts&) const = default;
};

struct Unit {
  std::string_view name;
  uint64_t Counts::*value;
};

// All units; code that handles every unit iterates over this list. Documents
// hold the values in this order, so new units are added at the end.
inline constexpr std::array kUnits = {
    Unit{"requests", &Counts::requests},
    Unit{"answered", &Counts::answered},
    Unit{"refused", &Counts::refused},
    Unit{"failed", &Counts::failed},
    Unit{"cancelled", &Counts::cancelled},
    Unit{"retries", &Counts::retries},
    Unit{"tokens_in", &Counts::tokens_in},
    Unit{"tokens_out", &Counts::tokens_out},
    Unit{"queue_us", &Counts::queue_microseconds},
    Unit{"target_us", &Counts::target_microseconds},
    Unit{"wasted_us", &Counts::wasted_microseconds},
    Unit{"loaded_bytes", &Counts::loaded_bytes},
};
static_assert(sizeof(Counts) == kUnits.size() * sizeof(uint64_t));

// A wall-clock interval of kWindowLength, numbered from the Unix epoch.
using Window = uint64_t;
inline constexpr std::chrono::minutes kWindowLength{10};

// The key of a counter. A restarted agent has a new incarnation and so new
// counters; therefore a counter never decreases.
struct Source {
  std::string agent;
  uint64_t incarnation = 0;
  Window window = 0;
  std::string owner;
  // The catalogue entry that caused the work, and the service that did it.
  std::string entry;
  std::string service = {};

  auto operator<=>(const Source&) const = default;
};

// Counters by source. Each value is cumulative over its window.
using Rows = std::map<Source, Counts>;

// Adds work to a counter.
void Add(Counts& counts, const Counts& more);

// Sets each unit to the larger of both values. Counters never decrease, so this
// is right for values that arrive repeatedly, late or out of order.
void MergeMaximum(Counts& counts, const Counts& other);

// Merges rows by MergeMaximum. The result does not depend on the order or
// number of merges.
void MergeRows(Rows& rows, const Rows& other);

// Returns whether no unit of `counts` is above that of `other`.
bool is_covered(const Counts& counts, const Counts& other);

// Divides the bytes of a load among the catalogue entries that made its expert
// popular, in proportion to their tokens; the parts sum to `bytes` exactly.
// Without any tokens the load has no cause and the result is empty.
std::map<std::string, uint64_t> SplitBytes(
    uint64_t bytes,
    const std::map<std::string, uint64_t>& tokens_by_entry);

}  // namespace bramleyspan::usage

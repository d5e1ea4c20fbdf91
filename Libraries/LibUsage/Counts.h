// What is counted, and for whom: the rows that agents report and keepers keep.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "Kernel/Time.h"

namespace bramleyspan::usage {

// Units of work. Every request that ended is in exactly one of answered,
// refused, failed and cancelled, so that these four sum to `requests`.
struct Counts {
  uint64_t requests = 0;
  uint64_t answered = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  // Requests whose caller left.
  uint64_t cancelled = 0;
  // Targets that were asked beyond the first.
  uint64_t retries = 0;
  uint64_t tokens_in = 0;
  uint64_t tokens_out = 0;
  uint64_t queue_microseconds = 0;
  // For how long targets had requests.
  uint64_t target_microseconds = 0;
  // The part of it that brought no answer to anybody.
  uint64_t wasted_microseconds = 0;
  // Of experts that were loaded or moved.
  uint64_t loaded_bytes = 0;

  bool operator==(const Counts&) const = default;
};

struct Unit {
  std::string_view name;
  uint64_t Counts::*value;
};

// Every unit, so that a new one cannot be forgotten anywhere. Documents hold
// the values in this order: new units are added at the end.
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

// A stretch of wall-clock time, numbered from the Unix epoch.
using Window = uint64_t;
inline constexpr std::chrono::minutes kWindowLength{10};

// Whose counter it is. A restarted agent has a new incarnation and thereby new
// counters, so that a counter only ever goes up.
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

// Takes the larger of each unit. Counters only go up, so this is right for
// values that come twice, late or out of order.
void MergeMaximum(Counts& counts, const Counts& other);

// Joins rows by MergeMaximum: any order, any number of times, one result.
void MergeRows(Rows& rows, const Rows& other);

// Whether every unit of `counts` is covered by `other`.
bool is_covered(const Counts& counts, const Counts& other);

// Splits the bytes of a load over the entries that made its expert popular, in
// proportion to their tokens; the parts sum to `bytes` exactly. Without any
// tokens nobody caused the load and the result is empty.
std::map<std::string, uint64_t> SplitBytes(
    uint64_t bytes,
    const std::map<std::string, uint64_t>& tokens_by_entry);

}  // namespace bramleyspan::usage

// A rate that an owner agreed to, kept by all entries together without a store.
// The owner's keeper, the entry that rendezvous hashing names, holds the one
// token bucket; other entries draw short grants from it (amounts, not rates:
// what was drawn is gone from the bucket, so that no two entries hold the same
// right). An entry that cannot reach the keeper lives on its floor, an even
// share of the limit; a keeper hands out only the share of the entries that it
// reaches, so that the two parts of a parted fleet add up to the limit.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibLimits/TokenBucket.h"

namespace bramleyspan::limits {

struct GrantSettings {
  // A grant not used by then is void.
  Duration grant_lifetime = std::chrono::milliseconds(500);
  // An entry asks for what it expects to use in this time.
  Duration request_horizon = std::chrono::milliseconds(200);
  // Without a reply after this time the keeper counts as unreachable.
  Duration request_timeout = std::chrono::milliseconds(50);
  // After this time without a keeper an entry asks again.
  Duration request_retry_interval = std::chrono::milliseconds(500);
  // The bucket holds what the rate brings in this time.
  Duration burst = std::chrono::milliseconds(500);
};

// The keeper of an owner among the names of live entries; empty for none.
std::string AllocatorOf(std::string_view owner,
                        const std::vector<std::string>& entries);

// The keeper's side of one limit.
struct Allocator {
  TokenBucket bucket;
};

// Sets the rate that a keeper hands out: `limit` a second, times the share of
// the entries that it reaches. A new keeper starts with an empty bucket: what
// its predecessor handed out may still be in use.
void SetLimit(Allocator& allocator,
              const GrantSettings& settings,
              double limit,
              size_t reached_entries,
              size_t all_entries,
              TimePoint now);

// An entry asks for `wanted`; returns what it is granted, at most an even share
// of the bucket among `askers` if `wanted` exceeds that.
double HandleGrantRequest(Allocator& allocator,
                          double wanted,
                          size_t requesters,
                          TimePoint now);

// When the keeper will have something to grant again.
Duration RetryAfterOf(const Allocator& allocator);

// An entry's side of one limit.
struct Share {
  // The keeper has nothing until then; nobody is asked before.
  TimePoint refused_until;
  // Granted and not used; void at `granted_until`.
  double granted = 0;
  TimePoint granted_until;
  // The floor. It fills only while the keeper is unreachable.
  TokenBucket floor;
  bool is_using_fallback = false;
  // The outstanding ask, if any.
  bool is_requesting = false;
  TimePoint requested_at;
  uint64_t request_number = 0;
  // Decayed use, in units a second, by which it asks ahead.
  double rate = 0;
  TimePoint rate_at;
};

enum class SpendOutcome {
  kAdmit,
  // Over the limit; refuse at once.
  kRefuse,
  // Ask the keeper; the request waits for the reply, request_timeout at most.
  kRequestGrant,
};

struct ShareDecision {
  SpendOutcome outcome = SpendOutcome::kRefuse;
  Duration retry_after{};
};

// A request that costs `cost` arrives, for the first time or after a reply.
ShareDecision Spend(Share& share,
                    const GrantSettings& settings,
                    double cost,
                    TimePoint now);

// How much to ask the keeper for while `pending` waits at this entry. Marks the
// ask as outstanding; its number goes with the reply.
double StartGrantRequest(Share& share,
                         const GrantSettings& settings,
                         double pending,
                         TimePoint now);

// The keeper's reply to ask number `ask`; late ones are dropped, because the
// entry may have lived on its floor since. After an empty grant the entry
// refuses by itself for `retry_after`: asking for each refused request would
// bring the whole overload to the keeper.
void HandleGrant(Share& share,
                 const GrantSettings& settings,
                 uint64_t request_number,
                 double granted,
                 Duration retry_after,
                 TimePoint now);

// No reply came: the entry lives on its floor, `limit` / `all_entries` a
// second, until the next ask is answered.
void HandleGrantRequestTimeout(Share& share,
                               const GrantSettings& settings,
                               double limit,
                               size_t all_entries,
                               TimePoint now);

}  // namespace bramleyspan::limits

// A rate limit of one owner, enforced by all entry processes together without a
// store. The owner's allocator, an entry process chosen by rendezvous hashing,
// holds the only token bucket; the other entry processes request short-lived
// grants from it. Grants are amounts, not rates: a granted amount has left the
// bucket, so that no two processes can spend it.
//
// An entry process that cannot reach the allocator uses a fallback share, an
// even part of the limit. An allocator hands out only the part of the limit
// that belongs to the entry processes that it reaches, so that both sides of a
// network partition together stay within the limit.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibLimits/TokenBucket.h"

namespace bramleyspan::limits {

struct GrantSettings {
  // A grant that is not spent within this time expires.
  Duration grant_lifetime = std::chrono::milliseconds(500);
  // An entry process requests what it expects to spend in this time.
  Duration request_horizon = std::chrono::milliseconds(200);
  // Without a reply after this time the allocator counts as unreachable.
  Duration request_timeout = std::chrono::milliseconds(50);
  // How long an entry process uses its fallback share before it sends the next
  // request to the allocator.
  Duration request_retry_interval = std::chrono::milliseconds(500);
  // The bucket holds at most what the rate brings in this time.
  Duration burst = std::chrono::milliseconds(500);
};

// Returns the allocator of an owner among the names of live entry processes;
// empty if there are none.
std::string AllocatorOf(std::string_view owner,
                        const std::vector<std::string>& entries);

// The allocator's state of one limit.
struct Allocator {
  TokenBucket bucket;
};

// Sets the rate that an allocator hands out: `limit` units a second times the
// share of the entry processes that it reaches. A new allocator starts with an
// empty bucket, because grants of its predecessor may still be in use.
void SetLimit(Allocator& allocator,
              const GrantSettings& settings,
              double limit,
              size_t reached_entries,
              size_t all_entries,
              TimePoint now);

// Returns how much of `wanted` a requesting entry process is granted: at most
// an even share of the bucket among `requesters`, but at least one unit if the
// bucket holds one.
double HandleGrantRequest(Allocator& allocator,
                          double wanted,
                          size_t requesters,
                          TimePoint now);

// Returns the time until the allocator has something to grant again.
Duration RetryAfterOf(const Allocator& allocator);

// An entry process's state of one limit.
struct Share {
  // The bucket is empty until then; no request is sent to the allocator before.
  TimePoint refused_until;
  // Granted and not yet spent; expires at `granted_until`.
  double granted = 0;
  TimePoint granted_until;
  // The fallback share. It fills only while the allocator is unreachable.
  TokenBucket fallback;
  bool is_using_fallback = false;
  // The outstanding request for a grant, if any. `request_number` tells its
  // reply from late ones.
  bool is_requesting = false;
  TimePoint requested_at;
  uint64_t request_number = 0;
  // Decayed use in units a second, of admitted requests; it determines how much
  // is requested in advance.
  double rate = 0;
  TimePoint rate_at;
};

enum class SpendOutcome {
  kAdmit,
  // The limit is exceeded; refuse at once.
  kRefuse,
  // Send a request to the allocator. The caller's request waits for the reply,
  // request_timeout at most.
  kRequestGrant,
};

struct ShareDecision {
  SpendOutcome outcome = SpendOutcome::kRefuse;
  Duration retry_after{};
};

// Decides about a caller's request that costs `cost` units, when it arrives and
// again after the allocator's reply.
ShareDecision Spend(Share& share,
                    const GrantSettings& settings,
                    double cost,
                    TimePoint now);

// Returns until when Spend refuses `cost` units; not later than `now` if it
// admits them or wants a grant.
TimePoint HeldUntil(const Share& share,
                    const GrantSettings& settings,
                    double cost,
                    TimePoint now);

// Returns how much to request from the allocator while `pending` units wait
// here, and marks the request as outstanding. The reply must carry the same
// request_number.
double StartGrantRequest(Share& share,
                         const GrantSettings& settings,
                         double pending,
                         TimePoint now);

// Handles the allocator's reply to a request. Late replies are dropped, because
// the process may have spent its fallback share since. After an empty grant the
// process refuses by itself for `retry_after`: one request to the allocator for
// each refused one would bring the whole overload to the allocator.
void HandleGrant(Share& share,
                 const GrantSettings& settings,
                 uint64_t request_number,
                 double granted,
                 Duration retry_after,
                 TimePoint now);

// Handles a request without a reply: until the next reply the process uses its
// fallback share of `limit` / `all_entries` units a second.
void HandleGrantRequestTimeout(Share& share,
                               const GrantSettings& settings,
                               double limit,
                               size_t all_entries,
                               TimePoint now);

}  // namespace bramleyspan::limits

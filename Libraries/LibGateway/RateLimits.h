// Keeps the rate limits that targets name, and those of cold targets, for all
// gateways together. It answers load above what a target in need takes, however
// many gateways send to it: a target that has just started crashes if the load
// of a warm one floods back to it. A target whose limit is 0, or nearly so, is
// sent a request now and then: the answer tells when the limit has ended.
//
// One gateway, the target's allocator, grants each request that any gateway
// sends there. A gateway that cannot reach the allocator uses an even share of
// the limit.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibGateway/TargetSignals.h"
#include "LibGateway/Targets.h"

namespace bramleyspan::gateway {

// The gateways that share a limit, as one of them sees it.
struct RateSharing {
  // Gateways that can be reached, this one included.
  size_t reached = 1;
  // Gateways that may be running, this one included.
  size_t all = 1;
};

enum class RateVerdict { kAdmitted, kHeldBack, kAskAllocator };

// Decides about a request to the target, and takes it from this gateway's
// grant if it is admitted.
RateVerdict AdmitByRate(RateLimit& limit, TimePoint now);

// An allocator's reply to a request for a grant.
struct RateGrant {
  // Whether the replying gateway is the target's allocator by its own view.
  bool is_allocator = true;
  double granted = 0;
  // If nothing was granted: the time until the allocator may grant again.
  Duration retry_after{};
};

// Grants up to `wanted` requests, as the allocator of the target.
RateGrant GrantRate(RateLimit& limit,
                    double wanted,
                    const RateSharing& sharing,
                    TimePoint now);

// Returns how many requests to ask the allocator for while `pending` ones wait,
// and marks the question as outstanding.
double StartRateRequest(RateLimit& limit, double pending, TimePoint now);

// Handles the reply to the question with this number. A gateway that is not
// the allocator by its own view counts as an allocator that cannot be reached.
void HandleRateGrant(RateLimit& limit,
                     uint64_t number,
                     const RateGrant& grant,
                     const RateSharing& sharing,
                     TimePoint now);

// Handles a question without a reply.
void HandleRateTimeout(RateLimit& limit,
                       const RateSharing& sharing,
                       TimePoint now);

// The time after which a question to the allocator counts as unanswered.
Duration RateRequestTimeout();

// Records what the answer to a request says that was sent at `sent_at`. Returns
// whether the limit changed. An unreadable limit changes nothing.
bool RecordRateLimit(RateLimit& limit,
                     const AnswerSignals& signals,
                     TimePoint sent_at,
                     TimePoint now);

// Merges what another gateway knows. `confirmed_at` is when an answer confirmed
// it there. Returns whether the limit changed.
//
// Failure: two answers that were received at nearly the same time say different
// things, each reaches the other gateway as the newer one, and the gateways
// exchange them for ever. Of these, the lower limit counts.
bool MergeRateLimit(RateLimit& limit,
                    std::optional<double> per_second,
                    TimePoint confirmed_at,
                    TimePoint now);

// Returns the targets, `max_count` at most, whose limits are in the next
// message to other gateways, and marks these as sent. Those that were sent
// longest ago come first. A limit that has just changed is sent several times
// in a row, since datagrams get lost.
std::vector<std::string> TakeRateReports(TargetTable& table,
                                         size_t max_count,
                                         TimePoint now);

// Returns until when the limit holds requests back at this gateway; not later
// than `now` if one may be admitted.
TimePoint RateHeldUntil(const RateLimit& limit, TimePoint now);

// Sets until when the target is cold, and the rate that it takes until then; a
// rate of 0 stands for no limit.
void SetWarmUp(RateLimit& limit,
               double rate,
               TimePoint cold_until,
               TimePoint now);

// Returns the limit in force: the one that the target names or, while it is
// cold, its warm-up rate if that is lower.
std::optional<double> LimitInForce(const RateLimit& limit, TimePoint now);

// The rate at which requests are granted, in requests a second.
double GrantedRate(const RateLimit& limit, TimePoint now);

}  // namespace bramleyspan::gateway

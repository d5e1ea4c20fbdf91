// Handling of a caller's request, shared between the files of an entry.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "Services/bramleyspand/Entry/EntryState.h"

namespace bramleyspan::entry {

using ExchangePointer = std::shared_ptr<http::Exchange>;

// Retry-After of a refused request if no better value is known.
inline constexpr Duration kRetryAfter = std::chrono::seconds(1);

// Returns the catalogue entry that a request names; it must belong to the
// authenticated owner (Identity.cc). Fails with kUnauthenticated or kForbidden.
Result<const catalogue::Entry*> FindEntry(const EntryState& state,
                                          const http::Request& request);

// Answers with an error that states "not run" (Calls.cc).
void Refuse(const ExchangePointer& exchange,
            ErrorCode code,
            const std::string& subject,
            const std::string& detail,
            std::optional<Duration> retry_after = std::nullopt);

// Registers a call and cancels it if its caller disconnects (Calls.cc). Returns
// the call's id.
uint64_t OpenNewCall(EntryState& state,
                     const catalogue::Entry& entry,
                     const http::Request& request,
                     const ExchangePointer& exchange);

// Sends an open call to a target's agent (Calls.cc).
void SendCall(EntryState& state, uint64_t id, const std::string& target);

// Ends an open call that no agent has, with "not run" unless an earlier attempt
// may have run (Calls.cc).
void RefuseCall(EntryState& state,
                uint64_t id,
                ErrorCode code,
                const std::string& detail,
                Duration retry_after = kRetryAfter);

// Ends all open calls, since the process is about to be killed (Calls.cc).
void EndCallsByStop(EntryState& state);

// Refuses all open requests for claim keys (Claims.cc).
void EndClaimRequestsByStop(EntryState& state);

// Sends a call to the agent that issued its claim key (Calls.cc).
void RouteByClaim(EntryState& state, const std::string& claim, uint64_t id);

// Returns the groups or replicas that can be reached for an entry now
// (Probing.cc).
std::vector<routing::Candidate> FindCandidates(const EntryState& state,
                                               const catalogue::Entry& entry);

// Probes a few candidates and sends the call to the best one (Probing.cc).
void RouteByProbes(EntryState& state,
                   const catalogue::Entry& entry,
                   uint64_t id);

// Probes candidates other than `target` and those tried before (Calls.cc).
void RouteToAnother(EntryState& state, uint64_t id, const std::string& target);
void HandleEstimate(EntryState& state, const wire::EstimateT& estimate);

// Compares the first token that an attempt's target estimated with the actual
// one (Probing.cc).
void RecordFirstByte(EntryState& state, uint64_t attempt);
void RecordAttemptEnd(EntryState& state,
                      const OpenCall& open,
                      const calls::Ending& ending);

// Requests claim keys from an agent for a caller (Claims.cc).
void HandleClaims(EntryState& state,
                  const http::Request& request,
                  const ExchangePointer& exchange);
void HandleClaimReply(EntryState& state, const wire::ClaimReplyT& reply);

// Records an agent's closing record and forwards it to the other entries
// (ClosingRecords.cc).
void HandleClosingRecord(EntryState& state, const wire::ClaimsSealedT& frame);

// Answers a call from the closing record of its stopped agent. Returns false if
// only the agent itself can answer (ClosingRecords.cc).
bool AnswerByClosingRecord(EntryState& state,
                           const claims::ClaimKey& key,
                           uint64_t id);

// Requests keys from another agent after the connection to one was lost
// (Claims.cc).
void HandleLostClaimAgent(EntryState& state, const std::string& target);

// Answers with the addresses of the serving entries (Addresses.cc).
void HandleAddresses(const EntryState& state, const ExchangePointer& exchange);

}  // namespace bramleyspan::entry

// The way of a caller's request through an entry, cut into its parts.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "Services/bramleyspand/Entry/EntryState.h"

namespace bramleyspan::entry {

using ExchangePointer = std::shared_ptr<http::Exchange>;

// When a refused caller should come back if nothing better is known.
inline constexpr Duration kRetryAfter = std::chrono::seconds(1);

// The catalogue entry that a request names, which must be its owner's
// (Identity.cc). Fails with kUnauthenticated or kForbidden.
Result<const catalogue::Entry*> FindEntry(const EntryState& state,
                                          const http::Request& request);

// Answers that a request surely did not run (Calls.cc).
void Refuse(const ExchangePointer& exchange,
            ErrorCode code,
            const std::string& subject,
            const std::string& detail,
            std::optional<Duration> retry_after = std::nullopt);

// Registers a call, and the cancellation that follows if its caller leaves
// (Calls.cc). Returns the call's id.
uint64_t OpenNewCall(EntryState& state,
                     const catalogue::Entry& entry,
                     const http::Request& request,
                     const ExchangePointer& exchange);

// Sends an open call to a target's agent (Calls.cc).
void SendCall(EntryState& state, uint64_t id, const std::string& target);

// Ends an open call that is with no agent: "not run", unless an earlier attempt
// may have run (Calls.cc).
void RefuseCall(EntryState& state,
                uint64_t id,
                ErrorCode code,
                const std::string& detail,
                Duration retry_after = kRetryAfter);

// Sends a call to the one agent that its claim key names (Calls.cc).
void RouteByClaim(EntryState& state, const std::string& claim, uint64_t id);

// The groups or replicas that could answer an entry now (Probing.cc).
std::vector<routing::Candidate> FindCandidates(const EntryState& state,
                                               const catalogue::Entry& entry);

// Probes a few candidates and sends the call to the best (Probing.cc).
void RouteByProbes(EntryState& state,
                   const catalogue::Entry& entry,
                   uint64_t id);
void HandleEstimate(EntryState& state, const wire::EstimateT& estimate);

// Compares what an attempt's target promised with what it does (Probing.cc).
void NoteFirstBytes(EntryState& state, uint64_t attempt);
void NoteAttemptEnd(EntryState& state,
                    const OpenCall& open,
                    const calls::Ending& ending);

// Takes claim keys from an agent for a caller (Claims.cc).
void HandleClaims(EntryState& state,
                  const http::Request& request,
                  const ExchangePointer& exchange);
void HandleClaimReply(EntryState& state, const wire::ClaimReplyT& reply);

// Takes an agent's seal and passes it on to the other entries
// (ClosingRecords.cc).
void HandleClosingRecord(EntryState& state, const wire::ClaimsSealedT& frame);

// Answers for an agent that has sealed its keys and stopped. Returns false if
// only the agent itself could answer (ClosingRecords.cc).
bool AnswerByClosingRecord(EntryState& state,
                           const claims::ClaimKey& key,
                           uint64_t id);

// Asks another agent for the keys that a lost one was to issue (Claims.cc).
void HandleLostClaimAgent(EntryState& state, const std::string& target);

// Names the entries that a caller may use (Addresses.cc).
void HandleAddresses(const EntryState& state, const ExchangePointer& exchange);

}  // namespace bramleyspan::entry

#include <algorithm>
#include <utility>

#include "Kernel/Digest.h"
#include "LibJSON/Read.h"
#include "Services/bramleyspand/Entry/Calls.h"

namespace bramleyspan::entry {

namespace {

constexpr uint32_t kMaxKeys = 64;
// Maximum number of agents that a request for keys is sent to.
constexpr size_t kMaxAgents = 3;
constexpr Duration kAgentTimeout = std::chrono::milliseconds(500);

uint32_t ParseCount(const std::string& body) {
  const auto count = json_text::FindUnsigned(json_text::Parse(body), "count");
  return static_cast<uint32_t>(std::min<uint64_t>(count.value_or(1), kMaxKeys));
}

// Removes and returns an open request. A late reply of its agent then matches
// no request; the keys in it reach no caller and are never used.
OpenClaimRequest RemoveRequest(EntryState& state, uint64_t request) {
  const auto found = state.claim_requests.find(request);
  OpenClaimRequest open = std::move(found->second);
  state.claim_requests.erase(found);
  state.loop.Cancel(open.timer);
  return open;
}

// Sends the request to the next agent. Requests for keys are repeatable, so an
// unresponsive, failed or leaving agent costs the caller only kAgentTimeout.
void RequestFromNextAgent(EntryState& state, OpenClaimRequest open) {
  while (!open.candidates.empty()) {
    open.target = open.candidates.back();
    open.candidates.pop_back();
    const Link* link = FindUsableLink(state.links, open.target);
    if (link == nullptr) {
      continue;
    }
    const uint64_t request = ++state.last_id;
    open.frame.request = request;
    open.timer = state.loop.RunAfter(kAgentTimeout, [&state, request] {
      RequestFromNextAgent(state, RemoveRequest(state, request));
    });
    link->connection->Send(wire::Encode(open.frame));
    state.claim_requests.emplace(request, std::move(open));
    return;
  }
  Refuse(open.exchange, ErrorCode::kUnavailable, open.frame.catalogue_entry,
         "no target issues keys now", kRetryAfter);
}

}  // namespace

void HandleClaims(EntryState& state,
                  const http::Request& request,
                  const ExchangePointer& exchange) {
  const auto entry = FindEntry(state, request);
  if (entry.has_error()) {
    exchange->Respond(ToResponse({.error = entry.error()}));
    return;
  }
  OpenClaimRequest open;
  open.exchange = exchange;
  open.frame.owner = entry.value()->owner;
  open.frame.catalogue_entry = entry.value()->name;
  open.frame.count = ParseCount(request.body);
  for (const routing::Candidate& candidate : routing::PickCandidates(
           FindCandidates(state, *entry.value()), kMaxAgents, RandomBits())) {
    open.candidates.push_back(candidate.target);
  }
  RequestFromNextAgent(state, std::move(open));
}

void HandleClaimReply(EntryState& state, const wire::ClaimReplyT& reply) {
  if (!state.claim_requests.contains(reply.request)) {
    return;
  }
  OpenClaimRequest open = RemoveRequest(state, reply.request);
  if (!reply.error.empty()) {
    RequestFromNextAgent(state, std::move(open));
    return;
  }
  const auto retention = std::chrono::duration_cast<std::chrono::seconds>(
      Duration(reply.keep_microseconds));
  open.exchange->Respond(JsonResponse(
      200, {{"keys", reply.keys}, {"keep_seconds", retention.count()}}));
}

void HandleLostClaimAgent(EntryState& state, const std::string& target) {
  std::vector<uint64_t> lost;
  for (const auto& [request, open] : state.claim_requests) {
    if (open.target == target) {
      lost.push_back(request);
    }
  }
  for (const uint64_t request : lost) {
    RequestFromNextAgent(state, RemoveRequest(state, request));
  }
}

void EndClaimRequestsByStop(EntryState& state) {
  while (!state.claim_requests.empty()) {
    const OpenClaimRequest open =
        RemoveRequest(state, state.claim_requests.begin()->first);
    Refuse(open.exchange, ErrorCode::kLeaving, open.frame.catalogue_entry,
           "this entry stops; use another one", kRetryAfter);
  }
}

}  // namespace bramleyspan::entry

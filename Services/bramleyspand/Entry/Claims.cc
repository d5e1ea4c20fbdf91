#include <algorithm>
#include <nlohmann/json.hpp>

#include "Kernel/Digest.h"
#include "Services/bramleyspand/Entry/Calls.h"

namespace bramleyspan::entry {

namespace {

using nlohmann::json;

constexpr uint32_t kMostKeys = 64;

}  // namespace

void HandleClaims(EntryState& state,
                  const http::Request& request,
                  const ExchangePointer& exchange) {
  const auto entry = FindEntry(state, request);
  if (entry.has_error()) {
    exchange->Respond(ToResponse({.error = entry.error()}));
    return;
  }
  const auto candidates = routing::PickCandidates(
      FindCandidates(state, *entry.value()), 1, RandomBits());
  if (candidates.empty()) {
    Refuse(exchange, ErrorCode::kUnavailable, entry.value()->name,
           "no target is reachable", kRetryAfter);
    return;
  }
  const json document = json::parse(request.body, nullptr, false);
  uint32_t count = 1;
  if (document.is_object() && document.contains("count") &&
      document["count"].is_number_unsigned()) {
    count = std::min(document["count"].get<uint32_t>(), kMostKeys);
  }
  wire::ClaimRequestT frame;
  frame.request = ++state.last_id;
  frame.owner = entry.value()->owner;
  frame.catalogue_entry = entry.value()->name;
  frame.count = count;
  const std::string& target = candidates.front().target;
  state.claim_requests.emplace(frame.request,
                               OpenClaimRequest{exchange, target});
  state.links.at(target).connection->Send(wire::Encode(std::move(frame)));
}

void HandleClaimReply(EntryState& state, const wire::ClaimReplyT& reply) {
  const auto found = state.claim_requests.find(reply.request);
  if (found == state.claim_requests.end()) {
    return;
  }
  const ExchangePointer exchange = found->second.exchange;
  state.claim_requests.erase(found);
  if (!reply.error.empty()) {
    Refuse(exchange, ErrorCodeFromStableCode(reply.error), "claims",
           "the agent issues no keys now", kRetryAfter);
    return;
  }
  const auto keep = std::chrono::duration_cast<std::chrono::seconds>(
      Duration(reply.keep_microseconds));
  exchange->Respond(JsonResponse(
      200, {{"keys", reply.keys}, {"keep_seconds", keep.count()}}));
}

}  // namespace bramleyspan::entry

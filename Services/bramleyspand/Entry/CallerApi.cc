#include "Services/bramleyspand/Entry/Calls.h"

namespace bramleyspan::entry {

namespace {

constexpr size_t kMaxCallerBodyBytes = 1 << 20;
constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicePrefix = "/v1/services/";

// Returns the run state of a request that this entry sends to no agent. With a
// claim key, another attempt may have run through another entry or at another
// revision of the catalogue. A wrong "not run" would make the caller take a new
// key and run the call twice; only the key's agent may state it.
RunState RunStateWithoutAgent(const http::Request& request) {
  const bool has_claim =
      !http::FindHeader(request.headers, "bramleyspan-claim").empty();
  return has_claim ? RunState::kUnknown : RunState::kNotRun;
}

void RefuseWithoutAgent(const http::Request& request,
                        const ExchangePointer& exchange,
                        const Error& error,
                        std::optional<Duration> retry_after = std::nullopt) {
  exchange->Respond(ToResponse({.error = error,
                                .run = RunStateWithoutAgent(request),
                                .retry_after = retry_after}));
}

void HandleChat(EntryState& state,
                const http::Request& request,
                const ExchangePointer& exchange) {
  const auto entry = FindEntry(state, request);
  if (entry.has_error()) {
    exchange->Respond(ToResponse({.error = entry.error()}));
    return;
  }
  if (entry.value()->kind != catalogue::BackEndKind::kModel) {
    Refuse(exchange, ErrorCode::kMalformedRequest, entry.value()->name,
           "this entry is served by a plain service");
    return;
  }
  const uint64_t id = OpenNewCall(state, *entry.value(), request, exchange);
  RouteByProbes(state, *entry.value(), id);
}

void HandleService(EntryState& state,
                   const http::Request& request,
                   const ExchangePointer& exchange) {
  const auto found = FindEntry(state, request);
  if (found.has_error()) {
    RefuseWithoutAgent(request, exchange, found.error());
    return;
  }
  const catalogue::Entry& entry = *found.value();
  const std::string prefix = std::string(kServicePrefix) + entry.back_end + "/";
  if (entry.kind != catalogue::BackEndKind::kService ||
      !request.path.starts_with(prefix)) {
    RefuseWithoutAgent(request, exchange,
                       {ErrorCode::kForbidden, entry.name,
                        "the path is not this entry's service"});
    return;
  }
  const std::string claim(
      http::FindHeader(request.headers, "bramleyspan-claim"));
  const bool is_at_most_once =
      entry.repetition == catalogue::Repetition::kAtMostOnce;
  if (is_at_most_once != !claim.empty()) {
    // A key that the caller made up names no agent that could detect
    // duplicates: two entries would send it to two agents, and the call would
    // run twice.
    RefuseWithoutAgent(
        request, exchange,
        {ErrorCode::kMalformedRequest, entry.name,
         is_at_most_once
             ? "needs a key in the header Bramleyspan-Claim; take one by "
               "POST /v1/claims (an Idempotency-Key does not stand for it)"
             : "takes no claim key: it is repeatable"});
    return;
  }
  const uint64_t id = OpenNewCall(state, entry, request, exchange);
  state.calls.at(id).call.path =
      request.path.substr(prefix.size() - 1) +
      (request.query.empty() ? "" : "?" + request.query);
  if (is_at_most_once) {
    RouteByClaim(state, claim, id);
    return;
  }
  RouteByProbes(state, entry, id);
}

}  // namespace

void HandleCallerRequest(EntryState& state,
                         const http::Request& request,
                         const ExchangePointer& exchange) {
  if (request.body.size() > kMaxCallerBodyBytes) {
    RefuseWithoutAgent(request, exchange,
                       {ErrorCode::kTooLarge, request.path,
                        "a request's body may have up to a mebibyte"});
    return;
  }
  if (state.is_ending) {
    RefuseWithoutAgent(request, exchange,
                       {ErrorCode::kLeaving, state.settings.name,
                        "this entry stops; use another one"},
                       kRetryAfter);
    return;
  }
  // An entry without the current catalogue could admit requests by one that was
  // replaced long ago, and refuse owners that were added since.
  if (!state.is_ready) {
    RefuseWithoutAgent(request, exchange,
                       {ErrorCode::kUnavailable, state.settings.name,
                        "this entry has not caught up yet; use another one"},
                       kRetryAfter);
    return;
  }
  if (request.path == "/v1/addresses") {
    HandleAddresses(state, exchange);
  } else if (request.path == "/v1/claims" && request.method == "POST") {
    HandleClaims(state, request, exchange);
  } else if (request.path == kChatPath && request.method == "POST") {
    HandleChat(state, request, exchange);
  } else if (request.path.starts_with(kServicePrefix)) {
    HandleService(state, request, exchange);
  } else {
    Refuse(exchange, ErrorCode::kNotFound, request.path, "no such path");
  }
}

}  // namespace bramleyspan::entry

#include <algorithm>
#include <nlohmann/json.hpp>

#include "Kernel/Digest.h"
#include "LibJSON/Read.h"
#include "LibRouting/Hash.h"
#include "Services/bramleyspand/Entry/Calls.h"

namespace bramleyspan::entry {

namespace {

using nlohmann::json;

// Accurate enough to choose a target; billing uses the engine's own count.
constexpr size_t kBytesPerToken = 4;
constexpr size_t kPrefixBytes = 2048;

// Returns the text of a chat request, or the whole body if it is not one.
std::string PromptOf(const std::string& body) {
  const json document = json_text::Parse(body);
  if (!document.is_object() || !document.contains("messages") ||
      !document["messages"].is_array()) {
    return body;
  }
  std::string prompt;
  for (const json& message : document["messages"]) {
    if (message.is_object() && message.contains("content")) {
      prompt += json_text::Write(message["content"]);
    }
  }
  return prompt;
}

// Sets the estimated prompt length and the prefix hash. The hash includes the
// owner, so that prompts of different owners never match.
void DescribePrompt(wire::CallT& call) {
  const std::string prompt = PromptOf(call.body);
  call.prompt_tokens =
      static_cast<uint32_t>(prompt.size() / kBytesPerToken) + 1;
  if (prompt.size() >= kPrefixBytes) {
    call.prefix = routing::HashPrefix(call.owner + prompt,
                                      call.owner.size() + kPrefixBytes);
  }
}

routing::Query QueryOf(const OpenCall& open) {
  return {.prefix = open.call.prefix,
          .random = RandomBits(),
          .service_class = std::min<uint8_t>(open.call.service_class,
                                             routing::kClasses - 1)};
}

void StartRound(EntryState& state,
                uint64_t call,
                std::vector<routing::Candidate> candidates,
                bool is_second);

void SendTo(EntryState& state, uint64_t id, const routing::Choice& choice) {
  const uint8_t service_class = QueryOf(state.calls.at(id)).service_class;
  SendCall(state, id, choice.candidate.target);
  const auto call = state.calls.find(id);
  if (call != state.calls.end()) {
    routing::HandleSent(state.router, call->second.call.call, choice,
                        service_class, EventLoop::Now());
  }
}

bool is_reachable(const EntryState& state,
                  const routing::Candidate& candidate) {
  return FindUsableLink(state.links, candidate.target) != nullptr;
}

// Returns the reachable candidates that a round did not probe.
std::vector<routing::Candidate> UnprobedCandidates(const EntryState& state,
                                                   const ProbeRound& round) {
  std::vector<routing::Candidate> others = round.all;
  std::erase_if(others, [&](const routing::Candidate& candidate) {
    const bool is_unanswered = std::ranges::any_of(
        round.outstanding,
        [&](const auto& item) { return item.second == candidate; });
    const bool is_answered = std::ranges::any_of(
        round.answers,
        [&](const auto& answer) { return answer.candidate == candidate; });
    return is_unanswered || is_answered || !is_reachable(state, candidate);
  });
  return others;
}

void RecordUnansweredProbes(EntryState& state, const ProbeRound& round) {
  for (const auto& [probe, candidate] : round.outstanding) {
    state.round_of_probe.erase(probe);
    routing::HandleTargetFailure(state.router, candidate.target, round.all,
                                 EventLoop::Now());
  }
}

void FinishRound(EntryState& state, uint64_t round_id) {
  ProbeRound round = std::move(state.rounds.at(round_id));
  state.rounds.erase(round_id);
  state.loop.Cancel(round.timer);
  RecordUnansweredProbes(state, round);
  auto others = UnprobedCandidates(state, round);
  const auto lost = std::ranges::find_if(
      round.answers, [&state](const routing::ProbeAnswer& answer) {
        return !is_reachable(state, answer.candidate);
      });
  const std::string lost_target =
      lost == round.answers.end() ? "" : lost->candidate.target;
  std::erase_if(round.answers, [&state](const routing::ProbeAnswer& answer) {
    return !is_reachable(state, answer.candidate);
  });
  const auto call = state.calls.find(round.call);
  if (call == state.calls.end()) {
    return;
  }
  const TimePoint now = EventLoop::Now();
  const routing::Query query = QueryOf(call->second);
  const Duration remaining = call->second.first_byte_deadline - now;
  const auto choice = routing::ChooseCandidate(state.router, query,
                                               round.answers, remaining, now);
  if (choice) {
    SendTo(state, round.call, *choice);
    return;
  }
  // Failure: a target stops after it has answered its probe. The call has not
  // been sent anywhere, so another target may take it.
  if (round.answers.empty() && !lost_target.empty()) {
    RouteToAnother(state, round.call, lost_target);
    return;
  }
  if (round.answers.empty() && !round.is_second && !others.empty()) {
    StartRound(state, round.call, std::move(others), /*is_second=*/true);
    return;
  }
  RefuseCall(state, round.call, ErrorCode::kDeadlineUnmeetable,
             "no group can answer in time",
             routing::RetryAfterOf(state.router, query, round.answers,
                                   remaining, now));
}

void SendProbe(EntryState& state,
               const OpenCall& open,
               uint64_t probe,
               const routing::Candidate& candidate) {
  wire::ProbeT frame;
  frame.probe = probe;
  frame.service_class = open.call.service_class;
  frame.prompt_tokens = open.call.prompt_tokens;
  frame.prefix = open.call.prefix;
  state.links.at(candidate.target).connection->Send(wire::Encode(frame));
}

void StartRound(EntryState& state,
                uint64_t call,
                std::vector<routing::Candidate> candidates,
                bool is_second) {
  const uint64_t round_id = ++state.last_id;
  const OpenCall& open = state.calls.at(call);
  ProbeRound round;
  round.call = call;
  round.is_second = is_second;
  for (routing::Candidate& candidate : state.policy(
           state.router, QueryOf(open), candidates, EventLoop::Now())) {
    const uint64_t probe = ++state.last_id;
    SendProbe(state, open, probe, candidate);
    state.round_of_probe.emplace(probe, round_id);
    round.outstanding.emplace(probe, std::move(candidate));
  }
  round.all = std::move(candidates);
  round.timer =
      state.loop.RunAfter(state.router.settings.probe_timeout,
                          [&state, round_id] { FinishRound(state, round_id); });
  state.rounds.emplace(round_id, std::move(round));
}

}  // namespace

std::vector<routing::Candidate> FindCandidates(const EntryState& state,
                                               const catalogue::Entry& entry) {
  std::vector<routing::Candidate> candidates;
  for (const auto& [name, group] : state.feed.current().groups) {
    if (group.kind != entry.kind || group.back_end != entry.back_end) {
      continue;
    }
    // Calls enter a model group at its first rank; replicas of a service are
    // interchangeable.
    const size_t entry_points =
        group.kind == catalogue::BackEndKind::kModel ? 1 : group.targets.size();
    for (size_t i = 0; i < entry_points; ++i) {
      if (FindUsableLink(state.links, group.targets[i]) != nullptr) {
        candidates.push_back({name, group.targets[i]});
      }
    }
  }
  return candidates;
}

void RouteByProbes(EntryState& state,
                   const catalogue::Entry& entry,
                   uint64_t id) {
  auto candidates = FindCandidates(state, entry);
  const auto& tried = state.calls.at(id).tried;
  std::erase_if(candidates, [&tried](const routing::Candidate& candidate) {
    return tried.contains(candidate.target);
  });
  if (candidates.empty()) {
    RefuseCall(state, id, ErrorCode::kUnavailable, "no group is reachable");
    return;
  }
  DescribePrompt(state.calls.at(id).call);
  StartRound(state, id, std::move(candidates), /*is_second=*/false);
}

void HandleEstimate(EntryState& state, const wire::EstimateT& estimate) {
  const auto owner = state.round_of_probe.find(estimate.probe);
  if (owner == state.round_of_probe.end()) {
    return;
  }
  const uint64_t round_id = owner->second;
  state.round_of_probe.erase(owner);
  ProbeRound& round = state.rounds.at(round_id);
  const auto probed = round.outstanding.find(estimate.probe);
  round.answers.push_back(
      {.candidate = probed->second,
       .is_admitting = estimate.is_admitting,
       .in_flight = estimate.in_flight,
       .first_token = Duration(estimate.first_token_microseconds),
       .cached_tokens = estimate.cached_tokens});
  routing::HandleProbeAnswered(state.router, probed->second.target);
  round.outstanding.erase(probed);
  if (round.outstanding.empty()) {
    FinishRound(state, round_id);
  }
}

void RecordFirstByte(EntryState& state, uint64_t attempt) {
  routing::HandleFirstByte(state.router, attempt, EventLoop::Now());
}

void RecordAttemptEnd(EntryState& state,
                      const OpenCall& open,
                      const calls::Ending& ending) {
  routing::HandleNoFirstByte(state.router, open.call.call);
  const auto& entries = state.feed.current().entries;
  const auto entry = entries.find(open.call.catalogue_entry);
  // An unknown outcome that the agent itself reports, such as a key whose
  // record has expired, is no failure of its target.
  const bool is_failure = ending.error == ErrorCode::kTimeout ||
                          ending.error == ErrorCode::kOutcomeUnknown;
  if (is_failure && !open.target.empty() && entry != entries.end()) {
    routing::HandleTargetFailure(state.router, open.target,
                                 FindCandidates(state, entry->second),
                                 EventLoop::Now());
  }
}

}  // namespace bramleyspan::entry

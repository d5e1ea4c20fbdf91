#include "Kernel/Digest.h"
#include "Services/bramleyspand/Entry/Calls.h"

namespace bramleyspan::entry {

namespace {

constexpr size_t kProbes = 2;
constexpr Duration kProbeTimeout = std::chrono::milliseconds(50);

void FinishRound(EntryState& state, uint64_t round_id) {
  const ProbeRound round = std::move(state.rounds.at(round_id));
  state.rounds.erase(round_id);
  state.loop.Cancel(round.timer);
  for (const auto& [probe, candidate] : round.outstanding) {
    state.round_of_probe.erase(probe);
  }
  const auto call = state.calls.find(round.call);
  if (call == state.calls.end()) {
    return;
  }
  const auto chosen = routing::ChooseCandidate(
      {}, {}, round.answers, call->second.deadline, EventLoop::Now());
  if (!chosen) {
    RefuseCall(state, round.call, ErrorCode::kDeadlineUnmeetable,
               "no group can answer in time");
    return;
  }
  SendCall(state, round.call, chosen->candidate.target);
}

void StartRound(EntryState& state,
                uint64_t call,
                std::vector<routing::Candidate> candidates) {
  const uint64_t round_id = ++state.last_id;
  ProbeRound round;
  round.call = call;
  for (routing::Candidate& candidate :
       routing::PickCandidates(std::move(candidates), kProbes, RandomBits())) {
    const uint64_t probe = ++state.last_id;
    wire::ProbeT frame;
    frame.probe = probe;
    frame.service_class = state.calls.at(call).call.service_class;
    frame.prompt_tokens = state.calls.at(call).call.prompt_tokens;
    state.links.at(candidate.target).connection->Send(wire::Encode(frame));
    state.round_of_probe.emplace(probe, round_id);
    round.outstanding.emplace(probe, std::move(candidate));
  }
  round.timer = state.loop.RunAfter(
      kProbeTimeout, [&state, round_id] { FinishRound(state, round_id); });
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
    // A model group is entered at its first rank; replicas are all alike.
    const size_t doors =
        group.kind == catalogue::BackEndKind::kModel ? 1 : group.targets.size();
    for (size_t i = 0; i < doors; ++i) {
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
  StartRound(state, id, std::move(candidates));
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
       .first_token = Duration(estimate.first_token_microseconds)});
  round.outstanding.erase(probed);
  if (round.outstanding.empty()) {
    FinishRound(state, round_id);
  }
}

}  // namespace bramleyspan::entry

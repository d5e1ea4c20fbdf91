#include "LibRouting/Routing.h"

#include <algorithm>
#include <random>
#include <tuple>

namespace bramleyspan::routing {

std::vector<Candidate> PickCandidates(std::vector<Candidate> all,
                                      size_t count,
                                      uint64_t random) {
  std::mt19937_64 generator(random);
  std::shuffle(all.begin(), all.end(), generator);
  all.resize(std::min(all.size(), count));
  return all;
}

std::optional<Candidate> ChooseCandidate(
    const std::vector<ProbeAnswer>& answers,
    Duration deadline) {
  const ProbeAnswer* best = nullptr;
  for (const ProbeAnswer& answer : answers) {
    if (!answer.is_admitting || answer.first_token > deadline) {
      continue;
    }
    if (best == nullptr || std::tie(answer.first_token, answer.in_flight) <
                               std::tie(best->first_token, best->in_flight)) {
      best = &answer;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->candidate);
}

}  // namespace bramleyspan::routing

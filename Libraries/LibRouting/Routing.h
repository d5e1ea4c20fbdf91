// Which group gets a request: a few candidates are probed, the best that can
// meet the deadline is taken.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Kernel/Time.h"

namespace bramleyspan::routing {

// A group that could answer, by the target whose agent admits for it.
struct Candidate {
  std::string group;
  std::string target;

  bool operator==(const Candidate&) const = default;
};

// A candidate's answer to a probe.
struct ProbeAnswer {
  Candidate candidate;
  bool is_admitting = false;
  uint32_t in_flight = 0;
  Duration first_token{};
};

// Picks up to `count` distinct candidates; `random` drives the choice.
std::vector<Candidate> PickCandidates(std::vector<Candidate> all,
                                      size_t count,
                                      uint64_t random);

// The admitting candidate with the least time to the first token, if it can
// meet the deadline.
std::optional<Candidate> ChooseCandidate(
    const std::vector<ProbeAnswer>& answers,
    Duration deadline);

}  // namespace bramleyspan::routing

#include "LibPlacement/PassChoices.h"

#include <utility>

namespace bramleyspan::placement {

namespace {

// Agents read their ranks every 30 ms, and datagrams take a millisecond.
constexpr Duration kLongestWait = std::chrono::milliseconds(45);

std::optional<Choices> GiveOut(PassChoices& pass) {
  if (std::exchange(pass.is_given_out, true)) {
    return std::nullopt;
  }
  return std::exchange(pass.sums, {});
}

void Begin(PassChoices& pass,
           const RankChoices& chosen,
           const ChoicesShape& shape,
           TimePoint now) {
  pass = {.epoch = chosen.epoch,
          .step = chosen.step,
          .sums = Choices(shape.sets, std::vector<double>(shape.experts, 0)),
          .ranks = {},
          .began = now,
          .is_given_out = false};
}

void Add(PassChoices& pass, const RankChoices& chosen) {
  size_t at = 0;
  for (auto& set : pass.sums) {
    for (double& sum : set) {
      sum += chosen.counts[at++];
    }
  }
  pass.ranks.insert(chosen.rank);
}

}  // namespace

std::optional<Choices> AddChoices(PassChoices& pass,
                                  const RankChoices& chosen,
                                  const ChoicesShape& shape,
                                  TimePoint now) {
  const bool is_well_formed =
      chosen.counts.size() == size_t{shape.sets} * shape.experts &&
      shape.sets > 0;
  if (!is_well_formed) {
    return std::nullopt;
  }
  const bool is_newer = chosen.epoch > pass.epoch ||
                        (chosen.epoch == pass.epoch && chosen.step > pass.step);
  std::optional<Choices> overtaken;
  if (is_newer) {
    overtaken = GiveOut(pass);
    Begin(pass, chosen, shape, now);
  } else if (pass.is_given_out || chosen.epoch != pass.epoch ||
             chosen.step != pass.step) {
    return std::nullopt;
  }
  Add(pass, chosen);
  // One pass at a time: of two that are due the newer says more.
  if (pass.ranks.size() >= shape.ranks) {
    return GiveOut(pass);
  }
  return overtaken;
}

std::optional<Choices> TakeOverdue(PassChoices& pass, TimePoint now) {
  const bool is_overdue = !pass.is_given_out && now - pass.began > kLongestWait;
  return is_overdue ? GiveOut(pass) : std::nullopt;
}

}  // namespace bramleyspan::placement

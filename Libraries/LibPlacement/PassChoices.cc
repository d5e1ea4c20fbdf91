#include "LibPlacement/PassChoices.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleyspan::placement {

namespace {

// Agents poll their ranks every 30 ms, and datagrams take about 1 ms.
constexpr Duration kMaxPassAge = std::chrono::milliseconds(45);

// The approximate number of ranks that report each pass; enough to estimate
// demand.
constexpr uint32_t kReportersPerPass = 8;

uint32_t CountReporters(uint32_t ranks, uint64_t step) {
  uint32_t count = 0;
  for (uint32_t rank = 0; rank < ranks; ++rank) {
    count += is_reporter(rank, ranks, step) ? 1 : 0;
  }
  return count;
}

std::optional<Choices> Emit(PassChoices& pass) {
  if (std::exchange(pass.is_emitted, true)) {
    return std::nullopt;
  }
  return std::exchange(pass.sums, {});
}

void StartPass(PassChoices& pass,
               const RankChoices& chosen,
               const ChoicesShape& shape,
               TimePoint now) {
  pass = {.epoch = chosen.epoch,
          .step = chosen.step,
          .sums = Choices(shape.sets, std::vector<double>(shape.experts, 0)),
          .ranks = {},
          .started_at = now,
          .is_emitted = false};
}

void AddCounts(PassChoices& pass, const RankChoices& chosen) {
  size_t index = 0;
  for (auto& set : pass.sums) {
    for (double& sum : set) {
      sum += chosen.counts[index++];
    }
  }
  pass.ranks.insert(chosen.rank);
}

}  // namespace

bool is_reporter(uint32_t rank, uint32_t ranks, uint64_t step) {
  const uint32_t period = std::max(1U, ranks / kReportersPerPass);
  return rank % period == step % period;
}

PackedCounts PackCounts(std::span<const uint32_t> counts) {
  constexpr float kLargest = 255;
  PackedCounts packed;
  const auto largest = std::max_element(counts.begin(), counts.end());
  if (largest == counts.end()) {
    return packed;
  }
  packed.unit = std::max(1.0F, static_cast<float>(*largest) / kLargest);
  for (const uint32_t count : counts) {
    packed.counts.push_back(static_cast<uint8_t>(
        std::lround(static_cast<float>(count) / packed.unit)));
  }
  return packed;
}

std::vector<uint32_t> UnpackCounts(const PackedCounts& packed) {
  std::vector<uint32_t> counts;
  for (const uint8_t count : packed.counts) {
    counts.push_back(static_cast<uint32_t>(
        std::lround(static_cast<float>(count) * packed.unit)));
  }
  return counts;
}

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
  std::optional<Choices> superseded;
  if (is_newer) {
    superseded = Emit(pass);
    StartPass(pass, chosen, shape, now);
  } else if (pass.is_emitted || chosen.epoch != pass.epoch ||
             chosen.step != pass.step) {
    return std::nullopt;
  }
  AddCounts(pass, chosen);
  // At most one pass is returned. If both are due, the newer one is more
  // useful.
  const uint32_t reporters = shape.reporters != 0
                                 ? shape.reporters
                                 : CountReporters(shape.ranks, pass.step);
  if (pass.ranks.size() >= reporters) {
    return Emit(pass);
  }
  return superseded;
}

std::optional<Choices> EmitIfOverdue(PassChoices& pass, TimePoint now) {
  const bool is_overdue =
      !pass.is_emitted && now - pass.started_at > kMaxPassAge;
  return is_overdue ? Emit(pass) : std::nullopt;
}

}  // namespace bramleyspan::placement

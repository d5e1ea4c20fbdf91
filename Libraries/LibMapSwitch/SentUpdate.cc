#include "LibMapSwitch/SentUpdate.h"

namespace bramleyspan::mapswitch {

namespace {

// A new owner can finish what it finds only with news of all ranks that are
// fresh at the same time.
constexpr Duration kLongestSilence = std::chrono::milliseconds(55);

}  // namespace

bool is_change(const RankStatus& status, const RankStatus& told) {
  RankStatus same_load = status;
  same_load.step = told.step;
  same_load.running = told.running;
  same_load.queued = told.queued;
  return same_load != told;
}

bool is_due(const Telling& telling,
            const RankStatus& status,
            bool has_counts,
            TimePoint now) {
  if (has_counts || now - telling.told_at > kLongestSilence) {
    return true;
  }
  return is_change(status, telling.told);
}

}  // namespace bramleyspan::mapswitch

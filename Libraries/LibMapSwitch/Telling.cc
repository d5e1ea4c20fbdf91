#include "LibMapSwitch/Telling.h"

namespace bramleyspan::mapswitch {

namespace {

// A new owner can finish what it finds only with news of all ranks that are
// fresh at the same time.
constexpr Duration kLongestSilence = std::chrono::milliseconds(55);

}  // namespace

bool is_due(const Telling& telling,
            const RankStatus& status,
            bool has_counts,
            TimePoint now) {
  if (has_counts || now - telling.told_at > kLongestSilence) {
    return true;
  }
  RankStatus told = status;
  told.step = telling.told.step;
  told.running = telling.told.running;
  told.queued = telling.told.queued;
  return told != telling.told;
}

}  // namespace bramleyspan::mapswitch

#include "LibMapSwitch/SentUpdate.h"

namespace bramleyspan::mapswitch {

namespace {

// A new owner can complete a switch only while it has a fresh status of every
// rank at the same time.
constexpr Duration kLongestUpdateInterval = std::chrono::milliseconds(55);

}  // namespace

bool is_state_change(const RankStatus& status, const RankStatus& sent_status) {
  RankStatus same_load = status;
  same_load.step = sent_status.step;
  same_load.running = sent_status.running;
  same_load.queued = sent_status.queued;
  return same_load != sent_status;
}

bool is_update_due(const SentUpdate& last_update,
                   const RankStatus& status,
                   bool has_counts,
                   TimePoint now) {
  if (has_counts || now - last_update.sent_at > kLongestUpdateInterval) {
    return true;
  }
  return is_state_change(status, last_update.sent_status);
}

}  // namespace bramleyspan::mapswitch

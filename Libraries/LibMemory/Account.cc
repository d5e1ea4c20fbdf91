#include "LibMemory/Account.h"

#include <algorithm>

namespace bramleyspan::memory {

namespace {

constexpr size_t kShareDivisor = 4;
constexpr size_t kReserveDivisor = 4;
constexpr size_t kSingleDivisor = 2;
// The span in which freed bytes are counted.
constexpr Duration kFreedSpan = std::chrono::seconds(2);
constexpr Duration kMinRetryTime = std::chrono::milliseconds(100);

bool is_large(const Account& account, size_t bytes) {
  return bytes > account.limits.small;
}

size_t LargePart(const Account& account, size_t bytes) {
  return is_large(account, bytes) ? bytes : 0;
}

// What all holders would have if one of them changed.
struct Totals {
  size_t held = 0;
  size_t held_by_large = 0;
};

Totals TotalsAfter(const Account& account, size_t before, size_t after) {
  return {.held = account.held - before + after,
          .held_by_large = account.held_by_large - LargePart(account, before) +
                           LargePart(account, after)};
}

size_t LimitOfLarge(const AccountLimits& limits) {
  return limits.all - limits.reserve;
}

bool is_within(const Account& account, const Totals& totals, size_t wanted) {
  const AccountLimits& limits = account.limits;
  // What a single large holder has beyond the limit is no loss of small ones.
  const size_t counted = totals.held - totals.held_by_large +
                         std::min(totals.held_by_large, LimitOfLarge(limits));
  if (counted > limits.all) {
    return false;
  }
  const bool is_single =
      totals.held_by_large == wanted && wanted <= limits.single;
  return !is_large(account, wanted) || is_single ||
         totals.held_by_large <= LimitOfLarge(limits);
}

bool is_stalled(const Holder& holder, TimePoint now) {
  return now - holder.progressed_at >= kStallTime;
}

// Whether a holder can be ended for another one that wants `wanted` bytes.
bool may_end(const Holder& holder, Stage stage, size_t wanted, TimePoint now) {
  switch (holder.stage) {
    case Stage::kComing:
    case Stage::kDelivering:
      return is_stalled(holder, now);
    case Stage::kAnswerComing:
      return stage == Stage::kAnswerComing && holder.bytes > wanted;
    case Stage::kAtWork:
      return false;
  }
  return false;
}

// Returns the holders that can be ended for `id`, the largest first.
std::vector<HolderId> FindEndable(const Account& account,
                                  HolderId id,
                                  size_t wanted,
                                  TimePoint now) {
  const Stage stage = account.holders.at(id).stage;
  std::vector<HolderId> found;
  for (const auto& [other, holder] : account.holders) {
    if (other != id && holder.bytes > 0 &&
        may_end(holder, stage, wanted, now)) {
      found.push_back(other);
    }
  }
  std::ranges::stable_sort(found, [&account](HolderId left, HolderId right) {
    return account.holders.at(left).bytes > account.holders.at(right).bytes;
  });
  return found;
}

// Returns the holders that are ended so that `id` can have `wanted` bytes;
// empty if that can't be reached.
std::vector<HolderId> ChooseEnded(const Account& account,
                                  HolderId id,
                                  size_t wanted,
                                  TimePoint now) {
  Totals totals = TotalsAfter(account, account.holders.at(id).bytes, wanted);
  std::vector<HolderId> ended;
  for (const HolderId other : FindEndable(account, id, wanted, now)) {
    const size_t bytes = account.holders.at(other).bytes;
    totals.held -= bytes;
    totals.held_by_large -= LargePart(account, bytes);
    ended.push_back(other);
    if (is_within(account, totals, wanted)) {
      return ended;
    }
  }
  return {};
}

void CountFreed(Account& account, size_t bytes, TimePoint now) {
  if (now - account.freed_since > kFreedSpan) {
    account.freed = 0;
    account.freed_since = now;
  }
  account.freed += bytes;
}

void SetBytes(Account& account, Holder& holder, size_t bytes, TimePoint now) {
  if (bytes < holder.bytes) {
    CountFreed(account, holder.bytes - bytes, now);
  }
  const Totals totals = TotalsAfter(account, holder.bytes, bytes);
  account.held = totals.held;
  account.held_by_large = totals.held_by_large;
  holder.bytes = bytes;
}

}  // namespace

AccountLimits LimitsOf(uint64_t process_bytes) {
  const auto all = static_cast<size_t>(process_bytes / kShareDivisor);
  return {.all = all,
          .reserve = all / kReserveDivisor,
          .single = static_cast<size_t>(process_bytes / kSingleDivisor)};
}

bool can_ever_fit(const AccountLimits& limits, size_t bytes) {
  return bytes <= std::max(LimitOfLarge(limits), limits.single);
}

HolderId AddHolder(Account& account, Stage stage, TimePoint now) {
  const HolderId id = ++account.last_holder;
  account.holders.emplace(id, Holder{.stage = stage, .progressed_at = now});
  return id;
}

Room Resize(Account& account, HolderId id, size_t bytes, TimePoint now) {
  const auto found = account.holders.find(id);
  if (found == account.holders.end()) {
    return {.is_granted = bytes == 0};
  }
  Holder& holder = found->second;
  Room room{
      .is_granted =
          bytes <= holder.bytes ||
          is_within(account, TotalsAfter(account, holder.bytes, bytes), bytes)};
  if (!room.is_granted) {
    room.ended = ChooseEnded(account, id, bytes, now);
    room.is_granted = !room.ended.empty();
  }
  for (const HolderId other : room.ended) {
    RemoveHolder(account, other, now);
  }
  if (room.is_granted) {
    SetBytes(account, holder, bytes, now);
  }
  return room;
}

void RecordProgress(Account& account,
                    HolderId id,
                    size_t bytes,
                    TimePoint now) {
  const auto found = account.holders.find(id);
  if (found == account.holders.end()) {
    return;
  }
  Holder& holder = found->second;
  holder.progress += bytes;
  if (holder.progress >= kProgressBytes) {
    holder.progress = 0;
    holder.progressed_at = now;
  }
}

void SetStage(Account& account, HolderId id, Stage stage, TimePoint now) {
  const auto found = account.holders.find(id);
  if (found != account.holders.end()) {
    found->second.stage = stage;
    found->second.progress = 0;
    found->second.progressed_at = now;
  }
}

void RemoveHolder(Account& account, HolderId id, TimePoint now) {
  const auto found = account.holders.find(id);
  if (found != account.holders.end()) {
    SetBytes(account, found->second, 0, now);
    account.holders.erase(found);
  }
}

Duration TimeUntilRoom(const Account& account, size_t bytes, TimePoint now) {
  const size_t limit = is_large(account, bytes) ? LimitOfLarge(account.limits)
                                                : account.limits.all;
  const size_t held =
      is_large(account, bytes) ? account.held_by_large : account.held;
  const size_t lacking = held + bytes > limit ? held + bytes - limit : 0;
  const Duration counted_for = now - account.freed_since;
  if (lacking == 0) {
    return kMinRetryTime;
  }
  if (account.freed == 0 || counted_for > kFreedSpan) {
    return kStallTime;
  }
  const std::chrono::duration<double> until =
      std::chrono::duration<double>(counted_for) *
      (static_cast<double>(lacking) / static_cast<double>(account.freed));
  return std::clamp(std::chrono::duration_cast<Duration>(until), kMinRetryTime,
                    kStallTime);
}

}  // namespace bramleyspan::memory

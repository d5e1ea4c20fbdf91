// One account of the bytes that a process holds for others: requests that are
// coming, requests at work, answers that come and answers that wait for their
// readers. It decides who gets room when not all have some.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "Kernel/Time.h"

namespace bramleyspan::memory {

// Identifies a holder of an account. Zero is never one.
using HolderId = uint64_t;

// What a holder's bytes are, which decides whether it can be ended for others.
enum class Stage {
  // A request that is still coming; it has not run.
  kComing,
  // A request that waits or runs, with all of its bytes. It is never ended.
  kAtWork,
  // An answer that comes from a target.
  kAnswerComing,
  // An answer that waits for its reader.
  kDelivering,
};

struct Holder {
  Stage stage = Stage::kComing;
  // Bytes that it holds or will hold, as far as that is known.
  size_t bytes = 0;
  // When it last progressed, and by how many bytes since.
  TimePoint progressed_at;
  size_t progress = 0;
};

struct AccountLimits {
  // Bytes of all holders together.
  size_t all = 0;
  // The part of `all` that large holders can't take, so that many large ones
  // leave room for the small ones that most callers send.
  size_t reserve = 0;
  // A holder with more bytes is large.
  size_t small = 65536;
  // What one large holder may have while there is no other, even if that is
  // more than large ones may have together: a limit on requests may allow it.
  size_t single = 0;
};

// Whether a holder can have so many bytes when there is no other.
bool can_ever_fit(const AccountLimits& limits, size_t bytes);

// Returns the limits for a process that may take so much memory in all. The
// rest is for the process itself, for buffers that are copied as they grow, and
// for what has come on its connections and was not read yet.
AccountLimits LimitsOf(uint64_t process_bytes);

struct Account {
  AccountLimits limits;
  size_t held = 0;
  size_t held_by_large = 0;
  // Bytes that became free lately, and since when they are counted.
  size_t freed = 0;
  TimePoint freed_since;
  HolderId last_holder = 0;
  std::map<HolderId, Holder> holders;
};

// Outcome of a holder's wish for room.
struct Room {
  bool is_granted = false;
  // Holders that were removed from the account for it and have to be ended.
  std::vector<HolderId> ended;
};

HolderId AddHolder(Account& account, Stage stage, TimePoint now);

// Lets a holder have `bytes` in all. If there is no room, holders that don't
// progress are removed for it, the largest first; if that does not suffice,
// none is, and the holder keeps what it had. An answer that comes is granted
// room before larger ones that come. A holder that is not in the account gets
// none.
Room Resize(Account& account, HolderId id, size_t bytes, TimePoint now);

// Records that `bytes` came or went. A holder progresses if it moves
// kProgressBytes in kStallTime.
void RecordProgress(Account& account, HolderId id, size_t bytes, TimePoint now);

inline constexpr size_t kProgressBytes = 16384;
inline constexpr Duration kStallTime = std::chrono::seconds(1);

void SetStage(Account& account, HolderId id, Stage stage, TimePoint now);

// Does nothing if the holder was removed before.
void RemoveHolder(Account& account, HolderId id, TimePoint now);

// Returns after what time there will be room for so many bytes, by what became
// free lately; kStallTime if nothing did, since holders without progress leave
// then.
Duration TimeUntilRoom(const Account& account, size_t bytes, TimePoint now);

}  // namespace bramleyspan::memory

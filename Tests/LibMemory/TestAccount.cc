#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

#include "LibMemory/Account.h"

namespace bramleyspan::memory {

namespace {

constexpr size_t kMegabyte = size_t{1} << 20;
constexpr uint64_t kSmallestMachine = uint64_t{112} << 20;
constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

TimePoint At(int milliseconds) {
  return kStart + std::chrono::milliseconds(milliseconds);
}

HolderId Add(Account& account, Stage stage, size_t bytes, TimePoint now) {
  const HolderId id = AddHolder(account, stage, now);
  CHECK(Resize(account, id, bytes, now).is_granted);
  return id;
}

}  // namespace

// Failure: requests of 4 MB are refused in calm on the smallest machine.
TEST_CASE("Five requests of the largest body fit on the smallest machine") {
  Account account{.limits = LimitsOf(kSmallestMachine)};
  CHECK(account.limits.all == 28 * kMegabyte);
  for (int n = 0; n < 5; ++n) {
    Add(account, Stage::kComing, 4 * kMegabyte, kStart);
  }
  const HolderId sixth = AddHolder(account, Stage::kComing, kStart);
  CHECK_FALSE(Resize(account, sixth, 4 * kMegabyte, kStart).is_granted);
}

// Failure: ordinary callers are refused because of large requests.
TEST_CASE("Large requests leave room for small ones") {
  Account account{.limits = LimitsOf(kSmallestMachine)};
  for (int n = 0; n < 100; ++n) {
    Resize(account, AddHolder(account, Stage::kAtWork, kStart), kMegabyte,
           kStart);
  }
  CHECK(account.held == 21 * kMegabyte);
  for (int n = 0; n < 1000; ++n) {
    Add(account, Stage::kComing, 4000, kStart);
  }
}

// Failure: a single request inside the limits of a desired state is refused for
// ever, since it is larger than what large ones may have together.
TEST_CASE("A single large request fits, and small ones beside it") {
  Account account{.limits = LimitsOf(kSmallestMachine)};
  CHECK(can_ever_fit(account.limits, 50 * kMegabyte));
  CHECK_FALSE(can_ever_fit(account.limits, 60 * kMegabyte));
  const HolderId single = Add(account, Stage::kAtWork, 50 * kMegabyte, kStart);
  const HolderId next = AddHolder(account, Stage::kComing, kStart);
  CHECK_FALSE(Resize(account, next, kMegabyte, kStart).is_granted);
  for (int n = 0; n < 1000; ++n) {
    Add(account, Stage::kComing, 4000, kStart);
  }
  RemoveHolder(account, single, kStart);
  CHECK(Resize(account, next, kMegabyte, kStart).is_granted);
  const HolderId other = AddHolder(account, Stage::kComing, kStart);
  CHECK_FALSE(Resize(account, other, 50 * kMegabyte, kStart).is_granted);
}

// Failure: bodies that stop short of their end keep all others out.
TEST_CASE("A request that does not progress makes room, the largest first") {
  Account account{.limits = {.all = 1000, .reserve = 0, .small = 100}};
  const HolderId smaller = Add(account, Stage::kComing, 300, kStart);
  const HolderId larger = Add(account, Stage::kComing, 500, kStart);
  const HolderId at_work = Add(account, Stage::kAtWork, 200, kStart);
  const HolderId next = AddHolder(account, Stage::kComing, At(500));
  CHECK_FALSE(Resize(account, next, 150, At(999)).is_granted);
  const Room room = Resize(account, next, 150, At(1000));
  CHECK(room.is_granted);
  CHECK(room.ended == std::vector{larger});
  CHECK(account.holders.contains(smaller));
  CHECK(account.holders.contains(at_work));
  CHECK(account.held == 650);
  CHECK_FALSE(Resize(account, larger, 10, At(1000)).is_granted);
}

TEST_CASE("A request that comes fast enough is not ended for others") {
  Account account{.limits = {.all = 100'000, .reserve = 0, .small = 100}};
  const HolderId coming = Add(account, Stage::kComing, 100'000, kStart);
  const HolderId next = AddHolder(account, Stage::kComing, kStart);
  for (int step = 1; step <= 50; ++step) {
    RecordProgress(account, coming, kProgressBytes / 5, At(step * 100));
    CHECK_FALSE(Resize(account, next, 10, At(step * 100)).is_granted);
  }
  // 10 bytes a second are no progress.
  RecordProgress(account, coming, 10, At(5900));
  CHECK(Resize(account, next, 10, At(6000)).is_granted);
}

TEST_CASE("Nobody is ended if that does not suffice") {
  Account account{.limits = {.all = 1000, .reserve = 0, .small = 100}};
  Add(account, Stage::kAtWork, 900, kStart);
  const HolderId stalled = Add(account, Stage::kComing, 90, kStart);
  const HolderId next = AddHolder(account, Stage::kComing, At(5000));
  CHECK_FALSE(Resize(account, next, 200, At(5000)).is_granted);
  CHECK(account.holders.contains(stalled));
  CHECK(account.held == 990);
}

// Failure: answers without end take all memory, or sound answers are cut for
// them.
TEST_CASE("Answers that grow without end are cut and spare small ones") {
  constexpr size_t kBlock = 16384;
  Account account{.limits = LimitsOf(kSmallestMachine)};
  std::map<HolderId, size_t> growing;
  std::vector<HolderId> small;
  size_t cut = 0;
  for (size_t step = 0; step < 20'000; ++step) {
    const TimePoint now = At(static_cast<int>(step));
    while (growing.size() < 20) {
      growing[AddHolder(account, Stage::kAnswerComing, now)] = 0;
    }
    const auto at = std::next(growing.begin(), static_cast<long>(step % 20));
    const HolderId id = at->first;
    const Room room = Resize(account, id, at->second + kBlock, now);
    if (room.is_granted) {
      growing[id] += kBlock;
    } else {
      RemoveHolder(account, id, now);
      growing.erase(id);
      ++cut;
    }
    for (const HolderId ended : room.ended) {
      CHECK(growing.erase(ended) == 1);
      ++cut;
    }
    small.push_back(Add(account, Stage::kAnswerComing, 800, now));
    if (small.size() > 50) {
      CHECK(account.holders.contains(small.front()));
      RemoveHolder(account, small.front(), now);
      small.erase(small.begin());
    }
    CHECK(account.held <= account.limits.all);
  }
  CHECK(cut > 0);
}

TEST_CASE("A large answer that fits is read whole") {
  Account account{.limits = {.all = 1000, .reserve = 0, .small = 100}};
  const HolderId large = Add(account, Stage::kAnswerComing, 600, kStart);
  CHECK(Resize(account, large, 1000, kStart).is_granted);
  const HolderId next = AddHolder(account, Stage::kAnswerComing, kStart);
  const Room room = Resize(account, next, 1, kStart);
  CHECK(room.is_granted);
  CHECK(room.ended == std::vector{large});
  CHECK(account.held == 1);
}

TEST_CASE("A caller is told to come back when its room will be free") {
  Account account{.limits = {.all = 1000, .reserve = 0, .small = 2000}};
  const HolderId held = Add(account, Stage::kAtWork, 900, kStart);
  CHECK(TimeUntilRoom(account, 100, kStart) == std::chrono::milliseconds(100));
  CHECK(TimeUntilRoom(account, 500, kStart) == kStallTime);
  const HolderId other = Add(account, Stage::kAtWork, 100, kStart);
  RemoveHolder(account, other, At(0));
  const HolderId third = Add(account, Stage::kAtWork, 100, At(0));
  RemoveHolder(account, third, At(100));
  // 200 bytes in 0.4 s; 400 are lacking.
  CHECK(TimeUntilRoom(account, 500, At(400)) == std::chrono::milliseconds(800));
  RemoveHolder(account, held, At(400));
  CHECK(account.held == 0);
}

// Any order of steps keeps the sums right and the bounds kept, never ends a
// request at work, and leaves a small request room while there is some.
TEST_CASE("The account is right after any steps") {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    Account account{.limits = LimitsOf(8 * kMegabyte)};
    const auto draw = [&random](int below) {
      return static_cast<int>(random() % static_cast<unsigned>(below));
    };
    std::vector<HolderId> ids;
    TimePoint now = kStart;
    for (int step = 0; step < 500; ++step) {
      now += std::chrono::milliseconds(draw(200));
      const int kind = draw(5);
      if (kind == 0 || ids.empty()) {
        ids.push_back(AddHolder(account, static_cast<Stage>(draw(4)), now));
        continue;
      }
      const HolderId id =
          ids[static_cast<size_t>(draw(static_cast<int>(ids.size())))];
      if (kind == 1) {
        RemoveHolder(account, id, now);
      } else if (kind == 2) {
        RecordProgress(account, id, static_cast<size_t>(draw(40'000)), now);
      } else {
        const auto wanted =
            static_cast<size_t>(draw(4) == 0 ? draw(2'000'000) : draw(60'000));
        const auto before = account.holders;
        const Room room = Resize(account, id, wanted, now);
        for (const HolderId ended : room.ended) {
          CHECK(before.at(ended).stage != Stage::kAtWork);
          CHECK_FALSE(account.holders.contains(ended));
        }
      }
      size_t held = 0;
      size_t large = 0;
      for (const auto& [other, holder] : account.holders) {
        held += holder.bytes;
        large += holder.bytes > account.limits.small ? holder.bytes : 0;
      }
      REQUIRE(account.held == held);
      REQUIRE(account.held_by_large == large);
      const size_t limit = account.limits.all - account.limits.reserve;
      REQUIRE(held - large + std::min(large, limit) <= account.limits.all);
      REQUIRE(large <= std::max(limit, account.limits.single));
    }
  }
}

}  // namespace bramleyspan::memory

#include <doctest/doctest.h>

#include "LibGateway/Permits.h"

namespace bramleyspan::gateway {

namespace {

constexpr Duration kLongestPause = std::chrono::milliseconds(120);
const TimePoint kStart{std::chrono::seconds(100)};

Service EngineService() {
  return {.name = "models", .engine = EngineShape{.slots = 12}};
}

TargetTable GroupOfRanks(uint32_t ranks) {
  TargetTable table;
  for (uint32_t rank = 0; rank < ranks; ++rank) {
    const std::string id = "r" + std::to_string(rank);
    ApplyTarget(table,
                {.id = id,
                 .service = "models",
                 .address = {"10.0.0.1", static_cast<uint16_t>(80 + rank)},
                 .slots = 12});
    table.by_id[id].rank = RankView{.group = "g", .rank = rank, .size = ranks};
  }
  return table;
}

// Starts streams until no permit is left; returns how many.
uint32_t Fill(Permits& permits, TargetTable& table, const Sharing& sharing) {
  for (uint32_t started = 0;; ++started) {
    const TargetView* found = ChooseTargetWithPermit(
        permits, table, EngineService(), sharing, {}, started, kStart);
    if (found == nullptr) {
      return started;
    }
    ++table.by_id[found->target.id].open;
  }
}

void Adjust(Permits& permits,
            const TargetTable& table,
            Duration pause,
            int times) {
  for (int i = 0; i < times; ++i) {
    for (int sample = 0; sample < 20; ++sample) {
      RecordPause(permits, "g", pause, kLongestPause, kStart);
    }
    AdjustLimits(permits, table, EngineService(), kLongestPause);
  }
}

}  // namespace

TEST_CASE(
    "A gateway uses its share of the limit, and all of it if it is alone") {
  Permits permits;
  TargetTable table = GroupOfRanks(8);
  SUBCASE("alone") {
    CHECK(Fill(permits, table, {.gateways = 1}) == 40);
  }
  SUBCASE("one of four that all have waiting requests") {
    for (auto& [id, view] : table.by_id) {
      view.open_elsewhere = 4;
    }
    CHECK(Fill(permits, table, {.gateways = 4, .others_waiting = 3}) >= 8);
  }
}

TEST_CASE("Streams are spread evenly over the ranks of a group") {
  Permits permits;
  TargetTable table = GroupOfRanks(8);
  Fill(permits, table, {});
  for (const auto& [id, view] : table.by_id) {
    CHECK(view.open >= 4);
    CHECK(view.open <= 6);
  }
}

// Failure: every gateway sends its next stream to the group and rank that was
// the least loaded one a heartbeat ago, so that groups fill and empty in turns.
TEST_CASE("Gateways with the same view do not all choose the same rank") {
  Permits permits;
  const TargetTable table = GroupOfRanks(8);
  std::set<std::string> chosen;
  for (uint64_t bits = 1; bits < 40; ++bits) {
    chosen.insert(ChooseTargetWithPermit(permits, table, EngineService(), {},
                                         {}, bits * 7919, kStart)
                      ->target.id);
  }
  CHECK(chosen.size() == 8);
}

// Failure: the first gateway that learns of one rank sets the limit of the
// whole group by it. Gateways ran a fifth of the streams that the groups could
// hold for half a minute.
TEST_CASE("A rank that becomes known raises the limit of its group") {
  Permits permits;
  TargetTable one = GroupOfRanks(1);
  CHECK(Fill(permits, one, {}) == 5);
  TargetTable all = GroupOfRanks(8);
  CHECK(Fill(permits, all, {}) == 40);
}

// Failure: with 12 streams per rank every pass takes longer than the longest
// pause, and all streams are late.
TEST_CASE("Long pauses lower the limit, short ones raise it if it is used") {
  Permits permits;
  TargetTable table = GroupOfRanks(8);
  Fill(permits, table, {});
  const double before = permits.groups["g"].streams_per_rank;
  Adjust(permits, table, std::chrono::milliseconds(200), 5);
  const double lowered = permits.groups["g"].streams_per_rank;
  CHECK(lowered < before);
  Adjust(permits, table, std::chrono::milliseconds(50), 5);
  CHECK(permits.groups["g"].streams_per_rank > lowered);
}

TEST_CASE("Short pauses of an idle group do not raise the limit") {
  Permits permits;
  TargetTable table = GroupOfRanks(8);
  ChooseTargetWithPermit(permits, table, EngineService(), {}, {}, 1, kStart);
  Adjust(permits, table, std::chrono::milliseconds(20), 50);
  CHECK(permits.groups["g"].streams_per_rank == doctest::Approx(5));
}

TEST_CASE("A group that is being formed gets no streams") {
  Permits permits;
  TargetTable table = GroupOfRanks(8);
  table.by_id["r3"].rank->is_open = false;
  CHECK(Fill(permits, table, {}) == 0);
}

// Failure: after a demand shift passes take 150 ms and all streams of the group
// are late; the prompts that arrive in that second make it worse.
TEST_CASE("A group whose pauses are too long gets no streams for 100 ms") {
  Permits permits;
  TargetTable table = GroupOfRanks(8);
  const auto is_open_at = [&](Duration after) {
    return ChooseTargetWithPermit(permits, table, EngineService(), {}, {}, 1,
                                  kStart + after) != nullptr;
  };
  CHECK(is_open_at(Duration(0)));
  RecordPause(permits, "g", std::chrono::milliseconds(118), kLongestPause,
              kStart);
  CHECK_FALSE(is_open_at(std::chrono::milliseconds(50)));
  CHECK(is_open_at(std::chrono::milliseconds(150)));
}

// Failure: after a power outage each request is rejected by two ranks within 6
// ms and refused. The group is being formed, which takes 600 ms, and no agent
// has reported it yet.
TEST_CASE("After a rejection by a rank its group gets no streams for 150 ms") {
  Permits permits;
  const TargetTable table = GroupOfRanks(8);
  RecordRejection(permits, "g", kStart);
  CHECK(ChooseTargetWithPermit(permits, table, EngineService(), {}, {}, 1,
                               kStart) == nullptr);
  CHECK(ChooseTargetWithPermit(permits, table, EngineService(), {}, {}, 1,
                               kStart + std::chrono::milliseconds(200)) !=
        nullptr);
}

TEST_CASE("A slow rank gets fewer streams") {
  Permits permits;
  TargetTable table = GroupOfRanks(8);
  table.by_id["r3"].rank->pace = 7;
  Fill(permits, table, {});
  CHECK(table.by_id["r3"].open <= 1);
}

}  // namespace bramleyspan::gateway

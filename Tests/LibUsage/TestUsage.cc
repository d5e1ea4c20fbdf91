#include <doctest/doctest.h>

#include "LibUsage/Aggregator.h"
#include "LibUsage/Ledger.h"
#include "LibUsage/Totals.h"
#include "Tests/Property.h"

namespace bramleyspan::usage {

namespace {

constexpr Window kNow = 100;
constexpr uint64_t kRequestTokens = 7;

const Counts kOneRequest{.requests = 1, .tokens_out = kRequestTokens};

// Two agents and two keepers on a network that delivers any message at any
// time and any number of times, and a store that outlives them all.
struct World {
  std::vector<Ledger> agents{{"target-1", 1, {}, 0}, {"target-2", 2, {}, 0}};
  std::vector<Aggregator> aggregators{{"entry-1", 11, {}, {}},
                                      {"entry-2", 12, {}, {}}};
  std::map<std::string, std::string> stored;
  std::vector<Rows> reports;
  std::vector<Rows> acknowledgements;
  Window window = kNow;
  uint64_t next_incarnation = 100;
  uint64_t counted = 0;
  uint64_t at_risk_in_kills = 0;

  Rows Read() const {
    Rows all;
    for (const auto& [key, text] : this->stored) {
      MergeRows(all, ParseDocument(text).value());
    }
    return all;
  }

  uint64_t CountStored() const {
    return TotalsByEntry(this->Read())["draft"].requests;
  }

  void Count(Ledger& agent) {
    CountWork(agent, {"owner", "draft"}, this->window, kOneRequest);
    ++this->counted;
  }

  void Write(Aggregator& aggregator) {
    for (const DocumentWrite& write : DueWrites(aggregator)) {
      this->stored[write.key] = write.text;
      HandleWritten(aggregator, write);
      this->acknowledgements.push_back(write.rows);
    }
  }

  // A kill may lose what the agent had counted and the store does not hold.
  void KillAgent(Ledger& agent) {
    const Rows held = this->Read();
    for (const auto& [source, counts] : agent.rows) {
      const auto row = held.find(source);
      this->at_risk_in_kills +=
          counts.requests - (row == held.end() ? 0 : row->second.requests);
    }
    agent = {agent.agent, ++this->next_incarnation, {}, 0};
  }

  // All that live tell what they know, and it is written.
  void Settle() {
    for (const Ledger& agent : this->agents) {
      ApplyReport(this->aggregators[0], ReportFor(agent, "owner"));
    }
    for (Aggregator& aggregator : this->aggregators) {
      this->Write(aggregator);
    }
  }
};

template <typename Item>
Item& Pick(std::vector<Item>& items) {
  return items[*rc::gen::inRange<size_t>(0, items.size())];
}

void Step(World& world) {
  switch (*rc::gen::inRange(0, 9)) {
    case 0:
    case 1:
      world.Count(Pick(world.agents));
      break;
    case 2:
      world.reports.push_back(ReportFor(Pick(world.agents), "owner"));
      break;
    case 3:
      if (!world.reports.empty()) {
        ApplyReport(Pick(world.aggregators), Pick(world.reports));
      }
      break;
    case 4:
      world.Write(Pick(world.aggregators));
      break;
    case 5:
      if (!world.acknowledgements.empty()) {
        const Rows stored = Pick(world.acknowledgements);
        HandleStored(Pick(world.agents), stored, world.window);
      }
      break;
    case 6:
      world.KillAgent(Pick(world.agents));
      break;
    case 7: {
      Aggregator& aggregator = Pick(world.aggregators);
      aggregator = {aggregator.process, ++world.next_incarnation, {}, {}};
      break;
    }
    case 8:
      ++world.window;
      for (Aggregator& aggregator : world.aggregators) {
        RemoveWindows(aggregator, world.window);
      }
      break;
  }
}

}  // namespace

// The parent's bill shows more work than was done, or work is missing though
// no agent died. Reports come twice, late and out of order, keepers change and
// restart, agents restart.
TEST_CASE("property: nothing is added, and only an agent's kill loses") {
  tests::CheckProperty("stored counts are within what kills put at risk", [] {
    World world;
    const auto steps = *rc::gen::inRange(0, 80);
    for (int step = 0; step < steps; ++step) {
      Step(world);
      RC_ASSERT(world.CountStored() <= world.counted);
    }
    world.Settle();
    RC_ASSERT(world.CountStored() <= world.counted);
    RC_ASSERT(world.CountStored() + world.at_risk_in_kills >= world.counted);
  });
}

// An agent dies a moment after it has told its keeper, and the keeper dies
// before it has written: the work since the last write is lost, no more.
TEST_CASE("a kill of agent and keeper loses what was counted since the write") {
  World world;
  world.Count(world.agents[0]);
  ApplyReport(world.aggregators[0], ReportFor(world.agents[0], "owner"));
  world.Write(world.aggregators[0]);
  world.Count(world.agents[0]);
  world.Count(world.agents[0]);
  ApplyReport(world.aggregators[0], ReportFor(world.agents[0], "owner"));
  world.KillAgent(world.agents[0]);
  world.aggregators[0] = {"entry-1", 50, {}, {}};
  world.Settle();
  CHECK(world.counted == 3);
  CHECK(world.CountStored() == 1);
  CHECK(world.at_risk_in_kills == 2);
}

// Work of a closed window is counted while the keeper's acknowledgement of an
// older report is on its way; the agent then forgets the counter with it.
TEST_CASE("a counter that grew after the stored report is kept") {
  World world;
  Ledger& agent = world.agents[0];
  world.Count(agent);
  const Rows reported = ReportFor(agent, "owner");
  world.Count(agent);
  HandleStored(agent, reported, kNow + 1);
  CHECK(ReportFor(agent, "owner").size() == 1);
  HandleStored(agent, ReportFor(agent, "owner"), kNow + 1);
  CHECK(ReportFor(agent, "owner").empty());
}

// A keeper restarts and hears of a closed window from one agent only; the other
// has forgotten its counter, as it was stored. Under the old name the write
// would take that counter away.
TEST_CASE("a restarted keeper overwrites nothing of its former incarnation") {
  World world;
  world.Count(world.agents[0]);
  ApplyReport(world.aggregators[0], ReportFor(world.agents[0], "owner"));
  world.Write(world.aggregators[0]);
  HandleStored(world.agents[0], world.acknowledgements[0], kNow + 1);
  world.Count(world.agents[1]);
  world.aggregators[0] = {"entry-1", 50, {}, {}};
  world.Settle();
  CHECK(world.CountStored() == 2);
}

// A late report of a window that the keeper has forgotten begins the window
// anew, and the short document takes the place of the long one: the work of an
// agent that has died since is missing from the bill. Found by Meta/explore
// with seed 2856188958.
TEST_CASE("a late report overwrites nothing of a forgotten window") {
  World world;
  world.Count(world.agents[0]);
  world.Count(world.agents[1]);
  const Rows late = ReportFor(world.agents[1], "owner");
  ApplyReport(world.aggregators[0], ReportFor(world.agents[0], "owner"));
  world.Write(world.aggregators[0]);
  world.KillAgent(world.agents[0]);
  RemoveWindows(world.aggregators[0], kNow + 1);
  ApplyReport(world.aggregators[0], late);
  world.Write(world.aggregators[0]);
  CHECK(world.at_risk_in_kills == 0);
  CHECK(world.CountStored() == 2);
}

// Failure: a key is taken for one that is not written any more, or the reverse.
TEST_CASE("Once a window is forgotten no earlier key is written") {
  World world;
  Aggregator& aggregator = world.aggregators[0];
  world.Count(world.agents[0]);
  ApplyReport(aggregator, ReportFor(world.agents[0], "owner"));
  const auto writes = DueWrites(aggregator);
  REQUIRE(writes.size() == 1);
  CHECK_FALSE(RemoveWindows(aggregator, kNow + 1));
  HandleWritten(aggregator, writes.front());
  CHECK_FALSE(RemoveWindows(aggregator, kNow));
  CHECK(RemoveWindows(aggregator, kNow + 1));
  ApplyReport(aggregator, ReportFor(world.agents[0], "owner"));
  for (const DocumentWrite& write : DueWrites(aggregator)) {
    CHECK(write.key != writes.front().key);
  }
}

// Agents repeat their reports; if each caused a write, the key-value service
// would be busy with usage alone.
TEST_CASE("a repeated report causes no write") {
  World world;
  world.Count(world.agents[0]);
  ApplyReport(world.aggregators[0], ReportFor(world.agents[0], "owner"));
  world.Write(world.aggregators[0]);
  ApplyReport(world.aggregators[0], ReportFor(world.agents[0], "owner"));
  CHECK(DueWrites(world.aggregators[0]).empty());
}

// A report arrives while its window's document is being written; forgetting
// that it is due would leave the last work of a window out of the bill.
TEST_CASE("rows that came during a write stay due") {
  World world;
  world.Count(world.agents[0]);
  ApplyReport(world.aggregators[0], ReportFor(world.agents[0], "owner"));
  const auto writes = DueWrites(world.aggregators[0]);
  world.Count(world.agents[0]);
  ApplyReport(world.aggregators[0], ReportFor(world.agents[0], "owner"));
  HandleWritten(world.aggregators[0], writes.at(0));
  CHECK(DueWrites(world.aggregators[0]).size() == 1);
}

// The time of day jumps ten minutes ahead on a gateway, its counters of the
// window before are stored and forgotten, and the time jumps back. Counted from
// nothing under the same name, the next requests hide behind the larger value
// that is stored, and the bill lacks them.
TEST_CASE("work after a clock that jumped back is counted anew nowhere") {
  using std::chrono::system_clock;
  const system_clock::time_point noon(kWindowLength * kNow);
  World world;
  Ledger& agent = world.agents[0];
  const auto count = [&](system_clock::time_point time) {
    world.window = CurrentWindow(agent, time);
    world.Count(agent);
  };
  count(noon);
  count(noon);
  count(noon + kWindowLength);
  world.Settle();
  HandleStored(agent, world.acknowledgements[0], world.window);
  count(noon);
  world.Settle();
  CHECK(world.CountStored() == 4);
}

// 2,000 customers are served in one window: as one document their rows pass the
// key-value service's megabyte, the write is refused for good, and the whole
// window is missing from the bill.
TEST_CASE("a large window is cut, and no row moves to another document") {
  World world;
  Ledger& agent = world.agents[0];
  const auto count_owners = [&](int step) {
    for (int owner = 0; owner < 2000; owner += step) {
      CountWork(agent, {"owner-" + std::to_string(owner), "draft"}, kNow,
                kOneRequest);
    }
    ApplyReport(world.aggregators[0], agent.rows);
  };
  count_owners(2);
  world.Write(world.aggregators[0]);
  count_owners(1);
  const auto writes = DueWrites(world.aggregators[0]);
  REQUIRE(writes.size() == 2);
  CHECK(writes[0].rows.size() == kMostRowsPerDocument);
  CHECK(writes[0].key != writes[1].key);
  // Only the first write is done: nothing that was stored before may go.
  world.stored[writes[0].key] = writes[0].text;
  CHECK(world.CountStored() >= 1000 + 1000);
  CHECK(WindowOfKey(writes[1].key) == kNow);
  CHECK_FALSE(WindowOfKey("bramleyspan/usage/100").has_value());
  CHECK_FALSE(WindowOfKey("bramleyspan/usage/10x/a").has_value());
}

// Every unit of a row survives the way through a document.
TEST_CASE("a document holds what was counted") {
  Aggregator aggregator{"entry-1", 11, {}, {}};
  Rows rows;
  Counts& counts = rows[{"front", 7, kNow, "owner", "draft", "drafting"}];
  uint64_t value = 0;
  for (const Unit& unit : kUnits) {
    counts.*unit.value = ++value;
  }
  ApplyReport(aggregator, rows);
  CHECK(ParseDocument(DueWrites(aggregator).at(0).text).value() == rows);
}

// The parent asks for every byte that moved; rounding must not lose any.
TEST_CASE("property: the parts of a load sum to its bytes") {
  tests::CheckProperty("no byte is lost or added", [](uint64_t bytes) {
    const auto tokens = *rc::gen::container<std::vector<uint32_t>>(
        rc::gen::inRange<uint32_t>(0, 1000));
    std::map<std::string, uint64_t> by_entry;
    uint64_t all = 0;
    for (size_t index = 0; index < tokens.size(); ++index) {
      by_entry["entry-" + std::to_string(index)] = tokens[index];
      all += tokens[index];
    }
    uint64_t sum = 0;
    for (const auto& [entry, part] : SplitBytes(bytes, by_entry)) {
      sum += part;
    }
    RC_ASSERT(sum == (all == 0 ? 0 : bytes));
  });
}

TEST_CASE("reconciling names the entries that differ by more than tolerated") {
  const auto mismatches =
      Reconcile({{"draft", 10}, {"issue", 5}, {"lost", 3}},
                {{"draft", {.requests = 9}}, {"issue", {.requests = 5}}}, 1);
  REQUIRE(mismatches.size() == 1);
  CHECK(mismatches[0].entry == "lost");
}

}  // namespace bramleyspan::usage

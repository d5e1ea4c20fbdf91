#include <doctest/doctest.h>

#include "LibGateway/Targets.h"

namespace bramleyspan::gateway {

namespace {

Target TargetOf(const std::string& id, uint16_t port, uint64_t revision) {
  return {.id = id,
          .service = "invoices",
          .zone = "north",
          .address = {"10.0.0.1", port},
          .slots = 6,
          .revision = revision};
}

std::set<std::string> Usable(const TargetTable& table) {
  std::set<std::string> ids;
  ForEachUsable(table, "invoices", {},
                [&ids](const TargetView& view) { ids.insert(view.target.id); });
  return ids;
}

const TimePoint kStart{std::chrono::seconds(100)};

}  // namespace

// Story: after a loss of power half of the requests were answered 421 and the
// groups were overloaded for seconds. Every server had come back under a new
// name at its old address while the old name was still listed, so that both
// names were sent to and both counted as places.
TEST_CASE("A target is replaced by the newer one at its address") {
  TargetTable table;
  ApplyTarget(table, TargetOf("old", 80, 5));
  ApplyTarget(table, TargetOf("other", 81, 6));
  ApplyTarget(table, TargetOf("new", 80, 9));
  CHECK(Usable(table) == std::set<std::string>{"new", "other"});
  SUBCASE("News that come late do not bring the old one back") {
    ApplyTarget(table, TargetOf("old", 80, 7));
    CHECK(Usable(table) == std::set<std::string>{"new", "other"});
  }
}

// Story: a server that says that it is another one got the next request too,
// and the next. Its address had been given away, and its record outlived it.
TEST_CASE(
    "A target that was misdirected gets nothing until it is listed anew") {
  TargetTable table;
  ApplyTarget(table, TargetOf("a", 80, 1));
  RecordOutcome(table, "a", Outcome::kMisdirected, kStart);
  CHECK(Usable(table).empty());
  ApplyTarget(table, TargetOf("a", 80, 2));
  CHECK(Usable(table) == std::set<std::string>{"a"});
}

TEST_CASE("A leaving target and one that was tried get nothing") {
  TargetTable table;
  Target leaving = TargetOf("a", 80, 1);
  leaving.is_leaving = true;
  ApplyTarget(table, leaving);
  CHECK(Usable(table).empty());
  ApplyTarget(table, TargetOf("b", 81, 1));
  CHECK(ChooseLeastLoaded(table, "invoices", {"b"}, "north", 1, kStart) ==
        nullptr);
}

// Story: a server that fails half of its requests while its health is good
// kept its share of them.
TEST_CASE("A failing target is passed over until its failures have worn off") {
  TargetTable table;
  ApplyTarget(table, TargetOf("a", 80, 1));
  ApplyTarget(table, TargetOf("b", 81, 1));
  RecordOutcome(table, "a", Outcome::kFailed, kStart);
  for (uint64_t bits = 0; bits < 20; ++bits) {
    CHECK(ChooseLeastLoaded(table, "invoices", {}, "north", bits, kStart)
              ->target.id == "b");
  }
  table.by_id["b"].open = 1;
  const TimePoint later = kStart + std::chrono::seconds(10);
  CHECK(
      ChooseLeastLoaded(table, "invoices", {}, "north", 1, later)->target.id ==
      "a");
}

TEST_CASE("An unreachable target comes last but is not ruled out") {
  TargetTable table;
  ApplyTarget(table, TargetOf("a", 80, 1));
  RecordOutcome(table, "a", Outcome::kUnreachable, kStart);
  CHECK(
      ChooseLeastLoaded(table, "invoices", {}, "north", 1, kStart)->target.id ==
      "a");
  ApplyTarget(table, TargetOf("b", 81, 1));
  table.by_id["b"].open = 6;
  CHECK(
      ChooseLeastLoaded(table, "invoices", {}, "north", 1, kStart)->target.id ==
      "b");
}

}  // namespace bramleyspan::gateway

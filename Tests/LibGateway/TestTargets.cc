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

// Failure: after a power outage every server runs again at its old address
// under a new name, while the old name is still listed. Requests are sent to
// both names and both count as capacity: half of the requests were answered 421
// and the groups were overloaded for seconds.
TEST_CASE("A target is replaced by the newer one at its address") {
  TargetTable table;
  ApplyTarget(table, TargetOf("old", 80, 5));
  ApplyTarget(table, TargetOf("other", 81, 6));
  ApplyTarget(table, TargetOf("new", 80, 9));
  CHECK(Usable(table) == std::set<std::string>{"new", "other"});
  SUBCASE("A late update does not restore the old target") {
    ApplyTarget(table, TargetOf("old", 80, 7));
    CHECK(Usable(table) == std::set<std::string>{"new", "other"});
  }
}

// Failure: records of a service that no desired state names take the addresses
// of a service's servers from them, and all its requests are refused for as
// long as these records are there.
TEST_CASE("A target of a service that nobody knows replaces none") {
  Target stranger = TargetOf("stranger", 80, 9);
  stranger.service = "inventory";
  TargetTable table;
  SUBCASE("The desired state was known before") {
    ApplyServices(table, {"invoices"});
    ApplyTarget(table, TargetOf("a", 80, 5));
    ApplyTarget(table, stranger);
  }
  SUBCASE("A process that begins anew reads the records first") {
    ApplyTarget(table, stranger);
    ApplyTarget(table, TargetOf("a", 80, 5));
    ApplyServices(table, {"invoices"});
  }
  CHECK(Usable(table) == std::set<std::string>{"a"});
  // Once the service is named, its target is the newest one there.
  ApplyServices(table, {"inventory", "invoices"});
  CHECK(Usable(table).empty());
  RemoveTarget(table, "stranger");
  CHECK(Usable(table) == std::set<std::string>{"a"});
}

// Failure: a record of a known service names the address of another service's
// server. The server answers there that it is not the one, and gets no requests
// under its own record either.
TEST_CASE("A target that is misdirected replaces none") {
  TargetTable table;
  ApplyServices(table, {"invoices", "archive"});
  Target stranger = TargetOf("stranger", 80, 9);
  stranger.service = "archive";
  ApplyTarget(table, TargetOf("a", 80, 5));
  ApplyTarget(table, stranger);
  CHECK(Usable(table).empty());
  RecordOutcome(table, "stranger", Outcome::kMisdirected, kStart);
  CHECK(Usable(table) == std::set<std::string>{"a"});
}

TEST_CASE("A target that moves replaces no longer at its old address") {
  TargetTable table;
  ApplyTarget(table, TargetOf("a", 80, 5));
  ApplyTarget(table, TargetOf("b", 80, 6));
  ApplyTarget(table, TargetOf("b", 81, 7));
  CHECK(Usable(table) == std::set<std::string>{"a", "b"});
}

// Failure: a server answers that it is another target, because its address was
// reassigned while its record remained. It keeps getting requests.
TEST_CASE("A misdirected target gets no requests until it is listed again") {
  TargetTable table;
  ApplyTarget(table, TargetOf("a", 80, 1));
  RecordOutcome(table, "a", Outcome::kMisdirected, kStart);
  CHECK(Usable(table).empty());
  ApplyTarget(table, TargetOf("a", 80, 2));
  CHECK(Usable(table) == std::set<std::string>{"a"});
}

TEST_CASE("A leaving target and one that was tried get no requests") {
  TargetTable table;
  Target leaving = TargetOf("a", 80, 1);
  leaving.is_leaving = true;
  ApplyTarget(table, leaving);
  CHECK(Usable(table).empty());
  ApplyTarget(table, TargetOf("b", 81, 1));
  CHECK(ChooseLeastLoaded(table, "invoices", {"b"}, "north", 1, kStart) ==
        nullptr);
}

// Failure: a server that fails half of its requests while its health check
// succeeds keeps its share of them.
TEST_CASE("A failing target is not chosen until its failures have decayed") {
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

TEST_CASE("An unreachable target comes last but is not excluded") {
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

// Failure: a target says that it leaves, and a late or stale record of the
// store brings it back.
TEST_CASE("A target that says it leaves gets nothing until it has left") {
  TargetTable table;
  ApplyTarget(table, TargetOf("a", 80, 1));
  CHECK(RecordLeaving(table, "a", kStart));
  CHECK_FALSE(RecordLeaving(table, "a", kStart));
  CHECK(Usable(table).empty());
  ApplyTarget(table, TargetOf("a", 80, 2));
  CHECK(Usable(table).empty());
  SUBCASE("It leaves and is listed anew") {
    Target leaving = TargetOf("a", 80, 3);
    leaving.is_leaving = true;
    ApplyTarget(table, leaving);
    ApplyTarget(table, TargetOf("a", 80, 4));
    CHECK(Usable(table) == std::set<std::string>{"a"});
  }
  SUBCASE("It is removed and listed anew") {
    RemoveTarget(table, "a");
    ApplyTarget(table, TargetOf("a", 80, 4));
    CHECK(Usable(table) == std::set<std::string>{"a"});
  }
}

// Failure: the operator evacuates a zone and its targets keep getting requests;
// or a service that has no other targets holds its callers instead of refusing
// them.
TEST_CASE("Targets in an evacuated zone get no requests until it is restored") {
  TargetTable table;
  ApplyTarget(table, TargetOf("a", 80, 1));
  Target other = TargetOf("b", 81, 1);
  other.zone = "south";
  ApplyTarget(table, other);
  CHECK(ApplyEvacuation(table.evacuated, "north", 7, kStart));
  CHECK_FALSE(ApplyEvacuation(table.evacuated, "north", 9, kStart));
  CHECK(table.evacuated.by_name.at("north").revision == 9);
  CHECK(Usable(table) == std::set<std::string>{"b"});
  CHECK(is_staying(table, table.by_id.at("a")));
  CHECK_FALSE(has_only_evacuated_targets(table, "invoices"));
  SUBCASE("All zones are evacuated") {
    ApplyEvacuation(table.evacuated, "south", 8, kStart);
    CHECK(Usable(table).empty());
    CHECK(has_only_evacuated_targets(table, "invoices"));
    CHECK_FALSE(has_only_evacuated_targets(table, "unknown"));
  }
  SUBCASE("The other zone has only a leaving target") {
    other.is_leaving = true;
    ApplyTarget(table, other);
    CHECK(has_only_evacuated_targets(table, "invoices"));
  }
  SUBCASE("The zone is restored") {
    CHECK(ApplyRestoration(table.evacuated, "north"));
    CHECK_FALSE(ApplyRestoration(table.evacuated, "north"));
    CHECK(Usable(table) == std::set<std::string>{"a", "b"});
  }
}

}  // namespace bramleyspan::gateway

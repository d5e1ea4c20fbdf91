#include <doctest/doctest.h>

#include <limits>

#include "LibGateway/RouteTable.h"

namespace bramleyspan::gateway {

namespace {

RouteTable TableOf(const std::vector<std::string>& prefixes) {
  RouteTable table;
  for (const std::string& prefix : prefixes) {
    AddRoute(table, {.name = prefix,
                     .host = "Halls.example",
                     .prefix = prefix,
                     .split = {{.service = "a"}}});
  }
  SortRoutes(table);
  return table;
}

}  // namespace

TEST_CASE("The longest prefix of the host selects the route") {
  const RouteTable table = TableOf({"/a/", "/a/b/", "/"});
  CHECK(FindRoute(table, "halls.example", "/a/b/c")->prefix == "/a/b/");
  CHECK(FindRoute(table, "HALLS.example:80", "/a/c")->prefix == "/a/");
  CHECK(FindRoute(table, "halls.example", "/x")->prefix == "/");
  CHECK(FindRoute(table, "other.example", "/a/") == nullptr);
}

TEST_CASE("A port is no part of a host, the end of an IPv6 number is") {
  RouteTable table;
  AddRoute(table, {.name = "bare", .host = "FD00::1", .prefix = "/"});
  AddRoute(table, {.name = "bracketed", .host = "[fd00::1]", .prefix = "/"});
  CHECK(FindRoute(table, "fd00::1", "/")->name == "bare");
  CHECK(FindRoute(table, "fd00::2", "/") == nullptr);
  CHECK(FindRoute(table, "[fd00::1]", "/")->name == "bracketed");
  CHECK(FindRoute(table, "[fd00::1]:8080", "/")->name == "bracketed");
  CHECK(FindRoute(table, ":80", "/") == nullptr);
}

TEST_CASE(
    "A prefix that the path does not start with in full is not selected") {
  const RouteTable table = TableOf({"/book/"});
  CHECK(FindRoute(table, "halls.example", "/books/1") == nullptr);
  CHECK(FindRoute(table, "halls.example", "/book") == nullptr);
}

TEST_CASE("A split sends each service its part, and none to weight 0") {
  Route route;
  route.split = {{.service = "a", .weight = 90},
                 {.service = "b", .weight = 0},
                 {.service = "c", .weight = 10}};
  CHECK(PickService(route, 0.0) == "a");
  CHECK(PickService(route, 0.899) == "a");
  CHECK(PickService(route, 0.901) == "c");
  CHECK(PickService(route, 0.9999) == "c");
}

TEST_CASE("The time of a copy is its size over the bandwidth of the link") {
  EngineShape engine{.expert_megabytes = 210,
                     .link_megabits_per_second = 92000};
  CHECK(CopyTimeOf(engine) / std::chrono::milliseconds(1) == 18);
  engine.link_megabits_per_second = 0;
  CHECK(CopyTimeOf(engine) == Duration(0));
}

// Failure: all tenants have the same priority, which takes the place of those
// of the routes, and the most urgent kind waits like any other.
TEST_CASE("A route's priority decides among tenants of the same priority") {
  CHECK(CombinedPriority(1, 0) < CombinedPriority(1, 2));
  CHECK(CombinedPriority(0, 2) < CombinedPriority(1, 0));
  CHECK(CombinedPriority(std::nullopt, 0) < CombinedPriority(std::nullopt, 1));
  CHECK(CombinedPriority(std::nullopt, 1) == CombinedPriority(1, 1));
  constexpr int kLargest = std::numeric_limits<int>::max();
  CHECK(CombinedPriority(-1, -1) == 0);
  CHECK(CombinedPriority(kLargest, kLargest) > CombinedPriority(0, kLargest));
}

TEST_CASE("A service has priorities if its streaming routes differ in them") {
  RouteTable table;
  table.services["models"] = {.name = "models"};
  table.services["plain"] = {.name = "plain"};
  const auto add = [&table](const std::string& service, RouteKind kind,
                            int priority) {
    AddRoute(table, {.host = "app.test",
                     .kind = kind,
                     .priority = priority,
                     .split = {{.service = service}}});
  };
  add("models", RouteKind::kStreaming, 1);
  add("models", RouteKind::kIdempotent, 0);
  add("plain", RouteKind::kIdempotent, 0);
  add("plain", RouteKind::kIdempotent, 2);
  SetPriorityRanges(table);
  CHECK_FALSE(table.services["models"].has_priorities());
  CHECK_FALSE(table.services["plain"].has_priorities());
  add("models", RouteKind::kStreaming, 2);
  SetPriorityRanges(table);
  CHECK(table.services["models"].has_priorities());
  CHECK(table.services["models"].most_urgent_priority == 1);
}

}  // namespace bramleyspan::gateway

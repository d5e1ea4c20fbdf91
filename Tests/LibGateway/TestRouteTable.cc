#include <doctest/doctest.h>

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

}  // namespace bramleyspan::gateway

#include <doctest/doctest.h>

#include <string>

#include "Kernel/Plugin.h"
#include "LibMapSwitch/Rank.h"
#include "platform/Documents.h"

namespace bramleyspan::users_platform {

TEST_CASE(
    "A desired state is parsed into routes, engines, tenants and limits") {
  const auto table = ParseTable(R"({"version":7,"routes":[
    {"name":"r","host":"H.example","path_prefix":"/a/","route_kind":"streaming",
     "timeout_ms":8000,"target_latency_ms":500,"priority":1,"resumable":true,
     "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}],
     "max_attempts":2,"target_gap_ms":120}],
    "services":[{"name":"s","engine":{"slots":12,"sets":6,"experts":64}}],
    "limits":{"max_header_bytes":100,"idle_timeout_ms":5000},
    "tenants":[{"name":"n","api_keys":["k"],"priority":0}]})");
  REQUIRE(table.has_value());
  const auto route = gateway::FindRoute(table.value(), "h.example", "/a/x");
  REQUIRE(route != nullptr);
  CHECK(route->is_repeatable());
  CHECK(route->longest_pause == std::chrono::milliseconds(120));
  CHECK(route->split.size() == 2);
  CHECK(table.value().services.at("s").engine->experts == 64);
  CHECK(table.value().tenants_by_key.at("k").priority == 0);
  CHECK(table.value().limits.idle_timeout == std::chrono::seconds(5));
}

TEST_CASE("A malformed desired state is a typed error") {
  CHECK(ParseTable("[]").has_error());
  CHECK(ParseTable("{\"version\":\"x\"}").has_error());
  CHECK(ParseTable("{").error().code == ErrorCode::kMalformedDocument);
}

// Failure: a document that is nested deeply ends each process that reads it.
TEST_CASE("A document that is nested too deeply is refused") {
  const std::string deep =
      std::string(200'000, '[') + std::string(200'000, ']');
  CHECK(ParseTable(R"({"version":1,"limits":{"x":)" + deep + "}}").has_error());
  CHECK_FALSE(ParseTarget(
      "servers/i-1",
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,)"
      R"("state":"ready","x":)" +
          deep + "}"));
}

TEST_CASE("Only a complete record of a server is parsed into a target") {
  const std::string good =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,)"
      R"("state":"ready"})";
  CHECK(ParseTarget("servers/i-1", good)->id == "i-1");
  for (const char* bad :
       {"", "nonsense", "[]", R"({"service":"s"})",
        R"({"service":"s","address":7,"zone":"z","slots":6,"state":"ready"})",
        R"({"service":"s","address":"here","zone":"z","slots":6,)"
        R"("state":"ready"})",
        R"({"service":"s","address":"10.0.0.1:65536","zone":"z","slots":6,)"
        R"("state":"ready"})",
        R"({"service":"s","address":"10.0.0.1:0","zone":"z","slots":6,)"
        R"("state":"ready"})",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z",)"
        R"("slots":4294967296,"state":"ready"})",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z",)"
        R"("slots":99999999999999999999,"state":"ready"})",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":"6",)"
        R"("state":"ready"})",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,)"
        R"("state":"resting"})"}) {
    CAPTURE(bad);
    CHECK_FALSE(ParseTarget("servers/i-1", bad).has_value());
  }
}

// Failure: a record with a cold time that makes no sense takes its server out
// of service, or slows it down for good.
TEST_CASE("A cold time that is not plausible is bounded") {
  const auto cold_for = [](const std::string& value) {
    const auto target = ParseTarget(
        "servers/i-1",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,)"
        R"("state":"ready","cold_left_ms":)" +
            value + "}");
    REQUIRE(target);
    return target->cold_for;
  };
  CHECK(cold_for("2500") == std::chrono::milliseconds(2500));
  CHECK(cold_for("0.5") == std::chrono::milliseconds(0));
  CHECK(cold_for("-7") == std::chrono::milliseconds(0));
  CHECK(cold_for("1e300") == std::chrono::minutes(1));
  for (const char* other : {"\"2500\"", "null", "[]", "{}", "true"}) {
    CAPTURE(other);
    CHECK(cold_for(other) == std::chrono::milliseconds(0));
  }
}

TEST_CASE(
    "A rank's report is parsed, and an order has its operation and epoch") {
  const auto make =
      PluginRegistry<mapswitch::MakeRankAdapter>::Instance().Find("kv");
  REQUIRE(make.has_value());
  const mapswitch::RankAdapter adapter = make.value()();
  const auto status = adapter.parse_report(
      R"({"group":{"name":"g","epoch":2,"rank":3,"state":"open"},"size":8,)"
      R"("seq":4,"running":5,"pace":1.5,"step":9,"map":1,"prepared":2,)"
      R"("armed":{"version":2,"step":11},"held":11})");
  REQUIRE(status.has_value());
  CHECK(status.value().armed == 2);
  CHECK(status.value().armed_step == 11);
  CHECK(status.value().held == 11);
  CHECK(adapter.parse_report(R"({"seq":4})").has_error());
  const std::string order = adapter.write_order(
      {.epoch = 2, .expected_sequence = 4, .body = mapswitch::Hold{.step = 5}});
  CHECK(order.find("\"hold\"") != std::string::npos);
  CHECK(order.find("\"epoch\":2") != std::string::npos);
}

}  // namespace bramleyspan::users_platform

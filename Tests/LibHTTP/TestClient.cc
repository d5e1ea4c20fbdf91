#include "Tests/LibHTTP/Fixture.h"

namespace bramleyspan::http {

// A caller is told "may have run" for a request that never left: a refused
// connection and a lost answer must have different types.
TEST_CASE("a refused connection has its own type") {
  Fixture fixture;
  fixture.Serve(
      [](const Request&, const auto& exchange) { exchange->Respond({}); });
  const Address closed = fixture.address();
  fixture.server = nullptr;
  Result<Response> outcome = Succeed();
  ClientRequest request{.target = closed};
  fixture.client.Fetch(request, [&](Result<Response> response) {
    outcome = std::move(response);
    fixture.loop.Stop();
  });
  fixture.loop.Run();
  REQUIRE(outcome.has_error());
  CHECK(outcome.error().code == ErrorCode::kConnectionFailed);
}

TEST_CASE("an answer that does not come in time has its own type") {
  Fixture fixture;
  std::shared_ptr<Exchange> held;
  fixture.Serve([&](const Request&, const auto& exchange) { held = exchange; });
  const auto answer = fixture.Fetch({.timeout = std::chrono::milliseconds(20)});
  REQUIRE(answer.has_error());
  CHECK(answer.error().code == ErrorCode::kTimeout);
}

TEST_CASE("a kept connection carries many requests") {
  Fixture fixture;
  int served = 0;
  fixture.Serve([&](const Request&, const auto& exchange) {
    exchange->Respond({.body = std::to_string(++served)});
  });
  for (int i = 1; i <= 20; ++i) {
    const auto answer = fixture.Fetch({});
    REQUIRE(answer.has_value());
    CHECK(answer.value().body == std::to_string(i));
  }
}

}  // namespace bramleyspan::http

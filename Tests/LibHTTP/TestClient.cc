#include "Tests/LibHTTP/Fixture.h"

namespace bramleyspan::http {

// Guards against reporting "may have run" for a request that was never sent: a
// refused connection and a lost answer must give different error codes.
TEST_CASE("a refused connection is reported as kConnectionFailed") {
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

TEST_CASE("an answer that is not received in time is reported as kTimeout") {
  Fixture fixture;
  std::shared_ptr<Exchange> held;
  fixture.Serve([&](const Request&, const auto& exchange) { held = exchange; });
  const auto answer = fixture.Fetch({.timeout = std::chrono::milliseconds(20)});
  REQUIRE(answer.has_error());
  CHECK(answer.error().code == ErrorCode::kTimeout);
}

TEST_CASE("a persistent connection carries many requests") {
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

#include "LibHTTP/DirectCall.h"
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

// Failure: a peer, an engine or a store sends a body without end, and the
// reader keeps it until no memory is left.
TEST_CASE("A body without end is fetched up to a bound") {
  Fixture fixture;
  fixture.Serve([&](const Request&, const std::shared_ptr<Exchange>& exchange) {
    exchange->StartStream(200, {});
    auto write = std::make_shared<std::function<void()>>();
    *write = [&, exchange, write] {
      constexpr size_t kBlockBytes = 1 << 18;
      if (exchange->is_closed()) {
        return;
      }
      if (exchange->pending_bytes() < kBlockBytes) {
        exchange->Write(std::string(kBlockBytes, 'a'));
      }
      fixture.loop.RunAfter(Duration(0), [write] { (*write)(); });
    };
    (*write)();
  });
  SUBCASE("by the client with persistent connections") {
    const auto outcome = fixture.Fetch({.timeout = std::chrono::seconds(60)});
    REQUIRE(outcome.has_error());
    CHECK(outcome.error().code == ErrorCode::kTooLarge);
  }
  SUBCASE("by the strict client") {
    CallEnd ended = CallEnd::kWhole;
    size_t received = 0;
    DirectCall::Fetch(fixture.loop,
                      {.target = fixture.address(),
                       .headers = {{"host", "test"}},
                       .timeout = std::chrono::seconds(60)},
                      [&](CallEnd end, const Response& response) {
                        ended = end;
                        received = response.body.size();
                        fixture.loop.Stop();
                      });
    fixture.loop.Run();
    CHECK(ended == CallEnd::kTooLong);
    CHECK(received <= kMaxFetchedBytes);
  }
}

}  // namespace bramleyspan::http

#include <doctest/doctest.h>

#include "Fixture.h"

namespace bramleyspan::http {

namespace {

ServerLimits LimitsWithin(EventLoop& loop, size_t bytes) {
  return {
      .guard = {.holds = memory::MakeHoldTable({.all = bytes}, TimersOf(loop))},
      .refusal = {.status = 503, .headers = {}, .body = "no room"}};
}

std::string PostOf(size_t bytes) {
  return "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: " +
         std::to_string(bytes) + "\r\n\r\n";
}

}  // namespace

TEST_CASE("a request without room is refused though its body does not come") {
  Fixture fixture;
  fixture.Serve([](const Request&, const auto&) { FAIL("it was passed on"); },
                LimitsWithin(fixture.loop, 10'000));
  RawCaller caller(fixture.loop, fixture.address(), PostOf(20'000) + "begin");
  fixture.loop.Run();
  CHECK(caller.received.starts_with("HTTP/1.1 503"));
}

// Failure: a request that runs is cut since another one needs its room.
TEST_CASE("a request at work is not ended for others") {
  Fixture fixture;
  std::vector<std::shared_ptr<Exchange>> open;
  fixture.Serve(
      [&](const Request&, const auto& exchange) { open.push_back(exchange); },
      LimitsWithin(fixture.loop, 100'000));
  RawCaller first(fixture.loop, fixture.address(),
                  PostOf(40'000) + std::string(40'000, 'x'));
  std::unique_ptr<RawCaller> second;
  const auto begin_second = [&] {
    second =
        std::make_unique<RawCaller>(fixture.loop, fixture.address(),
                                    PostOf(50'000) + std::string(50'000, 'x'));
  };
  fixture.loop.RunAfter(memory::kStallTime + std::chrono::milliseconds(300),
                        begin_second);
  fixture.loop.Run();
  REQUIRE(second != nullptr);
  CHECK(second->received.starts_with("HTTP/1.1 503"));
  REQUIRE(open.size() == 1);
  open[0]->Respond({.status = 200, .headers = {}, .body = "whole"});
  fixture.loop.Run();
  CHECK(first.received.ends_with("whole"));
}

}  // namespace bramleyspan::http

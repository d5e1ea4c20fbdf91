#include <doctest/doctest.h>

#include "IngressFixture.h"
#include "LibHTTP/DirectCall.h"
#include "RawServer.h"

namespace bramleyspan::http {

namespace {

// An ingress whose callers together may have so many bytes.
struct BoundedFixture : IngressFixture {
  std::shared_ptr<memory::HoldTable> holds;
  std::vector<TurnedAwayCause> turned_away;

  void ServeWithin(size_t bytes,
                   IngressHandler handler,
                   const IngressLimits& limits = {},
                   size_t max_connections = 100) {
    this->holds = memory::MakeHoldTable({.all = bytes}, TimersOf(this->loop));
    auto listening = Ingress::Listen(
        this->loop, {"127.0.0.1", 0}, limits, std::move(handler),
        {.holds = this->holds,
         .max_connections = max_connections,
         .on_turned_away = [this](const TurnedAway& caller) {
           this->turned_away.push_back(caller.cause);
         }});
    REQUIRE(listening.has_value());
    this->ingress = std::move(listening).assume_value();
  }
};

void NeverCalled(const IngressRequest&,
                 const std::shared_ptr<IngressExchange>&) {
  FAIL("a request that was refused has reached its handler");
}

}  // namespace

TEST_CASE("A request without room is refused before its body is read") {
  BoundedFixture fixture;
  fixture.ServeWithin(10'000, NeverCalled);
  const std::string answer =
      fixture.Exchange("POST / HTTP/1.1\r\ncontent-length: 20000\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("retry-after: ") != std::string::npos);
  CHECK(fixture.turned_away == std::vector{TurnedAwayCause::kNoRoom});
  CHECK(fixture.holds->account.held == 0);
}

// Failure: clients send heads of thousands of lines of a few bytes and not the
// whole body. Each head takes twenty times the memory that is counted for it,
// and the process ends by its memory long before a request is refused.
TEST_CASE("A head of many short lines counts as much as it takes") {
  constexpr size_t kLines = 3000;
  BoundedFixture fixture;
  std::string bytes = "POST / HTTP/1.1\r\ncontent-length: 9\r\n";
  for (size_t line = 0; line < kLines; ++line) {
    bytes += "a:\r\n";
  }
  bytes += "\r\n";
  const size_t taken = kLines * sizeof(HeaderList::value_type);
  REQUIRE(taken > 10 * bytes.size());
  SUBCASE("Without room it is refused before its body is read") {
    fixture.ServeWithin(taken, NeverCalled, {.max_head_bytes = 16384});
    CHECK(fixture.Exchange(bytes).starts_with("HTTP/1.1 503"));
    CHECK(fixture.turned_away == std::vector{TurnedAwayCause::kNoRoom});
  }
  SUBCASE("With room it is served") {
    size_t held = 0;
    fixture.ServeWithin(4 * taken,
                        [&](const IngressRequest& request,
                            const std::shared_ptr<IngressExchange>& exchange) {
                          held = fixture.holds->account.held;
                          CHECK(request.headers.size() == kLines + 1);
                          exchange->Respond(200, {{"connection", "close"}}, "");
                        },
                        {.max_head_bytes = 16384});
    CHECK(fixture.Exchange(bytes + "123456789").starts_with("HTTP/1.1 200"));
    CHECK(held >= taken);
  }
}

TEST_CASE("A chunked request that outgrows what is free is refused") {
  BoundedFixture fixture;
  fixture.ServeWithin(10'000, NeverCalled);
  CHECK(fixture
            .Exchange("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
                      "5000\r\n" +
                      std::string(0x5000, 'x') + "\r\n")
            .starts_with("HTTP/1.1 503"));
  CHECK(fixture.holds->account.held == 0);
}

TEST_CASE("A request counts until its handler lets it go") {
  BoundedFixture fixture;
  IngressRequest kept;
  fixture.ServeWithin(100'000,
                      [&](IngressRequest request,
                          const std::shared_ptr<IngressExchange>& exchange) {
                        kept = std::move(request);
                        exchange->Respond(200, {{"connection", "close"}}, "");
                      });
  fixture.Exchange(
      "POST / HTTP/1.1\r\nconnection: close\r\ncontent-length: 20000\r\n\r\n" +
      std::string(20'000, 'x'));
  CHECK(kept.body.size() == 20'000);
  CHECK(fixture.holds->account.held >= 20'000);
  kept = {};
  CHECK(fixture.holds->account.held == 0);
}

// Failure: a body whose frames grow without end is read on and on.
TEST_CASE("Chunk extensions and trailers are bounded") {
  BoundedFixture fixture;
  fixture.ServeWithin(100'000, NeverCalled, {.max_head_bytes = 1000});
  const std::string begin =
      "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1";
  CHECK(fixture.Exchange(begin + ";" + std::string(2000, 'e'))
            .starts_with("HTTP/1.1 413"));
  CHECK(fixture.Exchange(begin + "\r\nx\r\n0\r\na: " + std::string(2000, 't'))
            .starts_with("HTTP/1.1 413"));
}

TEST_CASE("A body in chunks of one byte is read whole") {
  IngressFixture fixture;
  fixture.Serve(Echo, {.max_head_bytes = 1000, .max_body_bytes = 3000});
  std::string bytes =
      "POST / HTTP/1.1\r\nconnection: close\r\n"
      "transfer-encoding: chunked\r\n\r\n";
  for (int n = 0; n < 3000; ++n) {
    bytes += "0000000000001\r\nx\r\n";
  }
  const std::string answer = fixture.Exchange(bytes + "0\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.ends_with(std::string(3000, 'x')));
}

// Failure: requests with many short headers are answered 400.
TEST_CASE("A head is bounded by its bytes, not by its headers") {
  IngressFixture fixture;
  fixture.Serve(Echo, {.max_head_bytes = 16384});
  std::string bytes = "GET /many HTTP/1.1\r\nconnection: close\r\n";
  for (int n = 0; n < 1500; ++n) {
    bytes += "a: b\r\n";
  }
  CHECK(fixture.Exchange(bytes + "\r\n").starts_with("HTTP/1.1 200"));
  CHECK(fixture.seen[0].headers.size() == 1501);
}

// Failure: an answer that nobody takes is held for ever.
TEST_CASE("An answer that is not taken ends its connection") {
  BoundedFixture fixture;
  fixture.ServeWithin(size_t{64} << 20,
                      [](const IngressRequest&,
                         const std::shared_ptr<IngressExchange>& exchange) {
                        exchange->Respond(200, {},
                                          std::string(size_t{32} << 20, 'x'));
                      },
                      {.idle_timeout = std::chrono::milliseconds(100)});
  LateReader reader(fixture.address(), "GET / HTTP/1.1\r\n\r\n");
  const TimePoint begin = EventLoop::Now();
  std::function<void()> check = [&] {
    const bool is_closed =
        begin + std::chrono::milliseconds(300) < EventLoop::Now() &&
        fixture.ingress->open_connections() == 0;
    if (is_closed || EventLoop::Now() - begin > std::chrono::seconds(20)) {
      fixture.loop.Stop();
      return;
    }
    fixture.loop.RunAfter(std::chrono::milliseconds(20), check);
  };
  check();
  fixture.loop.Run();
  CHECK(fixture.ingress->open_connections() == 0);
  CHECK(fixture.turned_away == std::vector{TurnedAwayCause::kAnswerNotTaken});
  CHECK(fixture.holds->account.held == 0);
}

// Failure: a port without a free connection serves nobody until idle ones time
// out.
TEST_CASE("An idle connection is closed for a new one") {
  BoundedFixture fixture;
  fixture.ServeWithin(100'000, Echo, {}, 2);
  RawCaller first(fixture.loop, fixture.address(), "\r\n");
  RawCaller second(fixture.loop, fixture.address(), "\r\n");
  fixture.loop.RunAfter(std::chrono::milliseconds(100),
                        [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  const std::string answer =
      fixture.Exchange("GET /third HTTP/1.1\r\nconnection: close\r\n\r\n");
  // The first one's close stops the loop before.
  if (answer.empty()) {
    fixture.loop.Run();
  }
  CHECK(fixture.turned_away ==
        std::vector{TurnedAwayCause::kTooManyConnections});
  CHECK(fixture.ingress->open_connections() <= 2);
}

TEST_CASE("A call that is paused passes nothing on until it is resumed") {
  EventLoop loop;
  RawServer server(loop, "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
                   true, false);
  std::shared_ptr<DirectCall> call;
  std::string body;
  CallEnd outcome = CallEnd::kNotSent;
  call = DirectCall::Start(
      loop,
      {.target = {"127.0.0.1", server.listener->port()},
       .headers = {{"host", "x"}}},
      {.on_head =
           [&](const AnswerHead&, const MessageFraming&) {
             call->Pause();
             loop.RunAfter(std::chrono::milliseconds(100), [&] {
               CHECK(body.empty());
               call->Resume();
             });
           },
       .on_bytes = [&](std::string_view bytes) { body.append(bytes); },
       .on_end =
           [&](CallEnd end) {
             outcome = end;
             loop.Stop();
           }});
  loop.Run();
  CHECK(outcome == CallEnd::kWhole);
  CHECK(body == "hello");
}

}  // namespace bramleyspan::http

#include <atomic>
#include <thread>

#include "Tests/LibHTTP/Fixture.h"

namespace bramleyspan::http {

namespace {

constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";

void RunFor(EventLoop& loop, Duration time) {
  loop.RunAfter(time, [&loop] { loop.Stop(); });
  loop.Run();
}

// Runs the loop until the condition holds, for at most 5 s.
template <typename Condition>
bool RunUntil(EventLoop& loop, Condition condition) {
  constexpr int kMostRounds = 500;
  for (int i = 0; i < kMostRounds && !condition(); ++i) {
    RunFor(loop, std::chrono::milliseconds(10));
  }
  return condition();
}

void AnswerOk(const Request&, const std::shared_ptr<Exchange>& exchange) {
  exchange->Respond({.status = 200, .body = "ok"});
}

}  // namespace

TEST_CASE("a body that is still coming counts as being read") {
  for (const std::string_view framing :
       {"content-length: 8\r\n\r\nhalf",
        "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"}) {
    Fixture fixture;
    fixture.Serve(AnswerOk);
    const LateReader caller(
        fixture.address(),
        "POST / HTTP/1.1\r\nhost: x\r\n" + std::string(framing));
    CHECK(RunUntil(fixture.loop,
                   [&] { return fixture.server->CountWork().reading == 1; }));
    fixture.server->StartDrain();
    fixture.server->CloseIdle(Duration(0));
    RunFor(fixture.loop, std::chrono::milliseconds(50));
    CHECK(fixture.server->CountWork().reading == 1);
    const bool is_chunked = framing.starts_with("transfer");
    caller.Send(is_chunked ? "4\r\nhalf\r\n0\r\n\r\n" : "half");
    CHECK(RunUntil(fixture.loop, [&] {
      fixture.server->CloseIdle(Duration(0));
      const ServerWork work = fixture.server->CountWork();
      return work.reading + work.delivering + work.idle == 0;
    }));
  }
}

// Failure: a connection that closes with a request unread drops the answer that
// its caller has not taken.
TEST_CASE("an answer that is read late is delivered though its server stops") {
  Fixture fixture;
  const std::string body(3 << 20, 'x');
  fixture.Serve([&body](const Request&, const auto& exchange) {
    exchange->Respond({.status = 200, .body = body});
  });
  fixture.server->StartDrain();
  LateReader caller(fixture.address(), std::string(kRequest));
  RunFor(fixture.loop, std::chrono::milliseconds(50));
  caller.Send(std::string(kRequest));
  RunFor(fixture.loop, std::chrono::milliseconds(50));
  CHECK(fixture.server->open_exchanges() +
            fixture.server->CountWork().delivering ==
        1);
  bool is_closed_in_order = false;
  std::atomic<bool> has_ended = false;
  std::thread reader([&] {
    is_closed_in_order = caller.ReadAll();
    has_ended = true;
  });
  CHECK(RunUntil(fixture.loop, [&] {
    fixture.server->CountWork();
    return has_ended.load();
  }));
  reader.join();
  CHECK(is_closed_in_order);
  CHECK(caller.received.ends_with("\r\n\r\n" + body));
}

TEST_CASE("idle connections end, and those in use don't") {
  Fixture fixture;
  std::shared_ptr<Exchange> open;
  fixture.Serve([&open](const Request& request, const auto& exchange) {
    if (request.path == "/open") {
      open = exchange;
    } else {
      exchange->Respond({.status = 200, .body = "ok"});
    }
  });
  RawCaller idle(fixture.loop, fixture.address(), std::string(kRequest));
  LateReader in_use(fixture.address(), "GET /open HTTP/1.1\r\nhost: x\r\n\r\n");
  CHECK(RunUntil(fixture.loop, [&] {
    return open != nullptr && fixture.server->CountWork().idle == 1;
  }));
  fixture.server->StartDrain();
  fixture.server->StopListening();
  fixture.server->CloseIdle(Duration(0));
  CHECK(RunUntil(fixture.loop,
                 [&] { return fixture.server->CountWork().idle == 0; }));
  CHECK(fixture.server->open_exchanges() == 1);
  open->Respond({.status = 200, .body = "last"});
  CHECK(RunUntil(fixture.loop, [&] {
    fixture.server->CloseIdle(Duration(0));
    const ServerWork work = fixture.server->CountWork();
    return fixture.server->open_exchanges() == 0 &&
           work.delivering + work.idle == 0;
  }));
  CHECK(in_use.ReadAll());
  CHECK(in_use.received.ends_with("last"));
}

TEST_CASE("a request that is still coming is refused as its server ends") {
  Fixture fixture;
  fixture.Serve(AnswerOk);
  RawCaller caller(
      fixture.loop, fixture.address(),
      "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 8\r\n\r\nhalf");
  CHECK(RunUntil(fixture.loop,
                 [&] { return fixture.server->CountWork().reading == 1; }));
  fixture.server->StartDrain();
  fixture.server->RefuseReading({.status = 503, .body = "stops"});
  CHECK(RunUntil(fixture.loop, [&] {
    fixture.server->CountWork();
    return caller.is_closed_in_order;
  }));
  CHECK(caller.received.starts_with("HTTP/1.1 503 "));
  CHECK(caller.received.ends_with("\r\n\r\nstops"));
}

TEST_CASE("a connection that the system has accepted is served") {
  Fixture fixture;
  fixture.Serve(AnswerOk);
  LateReader caller(fixture.address(), std::string(kRequest));
  fixture.server->StartDrain();
  fixture.server->StopListening();
  CHECK(RunUntil(fixture.loop, [&] {
    const ServerWork work = fixture.server->CountWork();
    return fixture.server->open_exchanges() + work.reading + work.idle +
               work.delivering ==
           0;
  }));
  CHECK(caller.ReadAll());
  CHECK(caller.received.ends_with("ok"));
}

}  // namespace bramleyspan::http

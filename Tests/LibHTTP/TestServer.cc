#include <atomic>
#include <random>
#include <thread>

#include "Tests/LibHTTP/Fixture.h"

namespace bramleyspan::http {

TEST_CASE("a request and its answer arrive unchanged") {
  Fixture fixture;
  fixture.Serve([](const Request& request, const auto& exchange) {
    exchange->Respond({.status = 200,
                       .headers = {{"x-query", request.query}},
                       .body = request.method + request.path + request.body});
  });
  const auto answer = fixture.Fetch(
      {.method = "POST", .path = "/a?b=c", .body = std::string(100'000, 'x')});
  REQUIRE(answer.has_value());
  CHECK(answer.value().body == "POST/a" + std::string(100'000, 'x'));
  CHECK(FindHeader(answer.value().headers, "x-query") == "b=c");
}

// Guards against an answer that is truncated behind the entry and looks
// complete to the caller.
TEST_CASE("an aborted stream is reported as truncated") {
  Fixture fixture;
  fixture.Serve([](const Request&, const auto& exchange) {
    exchange->StartStream(200, {});
    exchange->Write("half of ");
    exchange->Abort();
  });
  const auto answer = fixture.Fetch({});
  REQUIRE(answer.has_error());
  CHECK(answer.error().code == ErrorCode::kTruncated);
}

// Guards against truncated answers of other statuses that look complete: h2o
// uses chunks for 200 and 206 only and ends all other streams by closing the
// connection, whether they are complete or not.
TEST_CASE("an aborted stream of any status never looks complete") {
  for (const int status : {200, 201, 404, 503}) {
    Fixture fixture;
    fixture.Serve([status](const Request&, const auto& exchange) {
      exchange->StartStream(status, {});
      exchange->Write("half of ");
      exchange->Abort();
    });
    const auto answer = fixture.Fetch({});
    CHECK((answer.has_error() || answer.value().status == 502));
  }
}

// Failure: the end of an answer is sent though its last bytes were dropped,
// since its caller has closed its sending direction.
TEST_CASE(
    "a finished stream whose bytes were dropped is reported as truncated") {
  Fixture fixture;
  fixture.Serve(
      [&fixture](const Request&, const auto& exchange) {
        exchange->OnDisconnect([&fixture] { fixture.loop.Stop(); });
        exchange->StartStream(200, {});
        fixture.loop.RunAfter(std::chrono::milliseconds(5), [exchange] {
          exchange->Write(std::string(1 << 23, 'x'));
          exchange->Write("last bytes");
          exchange->Finish();
        });
      },
      {.max_pending_bytes = 1 << 24,
       .disconnect_check_interval = std::chrono::milliseconds(10)});
  LateReader caller(fixture.address(), "GET / HTTP/1.1\r\n\r\n");
  caller.StopSending();
  fixture.loop.Run();
  std::atomic<bool> has_ended = false;
  std::thread reader([&caller, &has_ended] {
    caller.ReadAll();
    has_ended = true;
  });
  while (!has_ended) {
    fixture.loop.RunAfter(std::chrono::milliseconds(1),
                          [&fixture] { fixture.loop.Stop(); });
    fixture.loop.Run();
  }
  reader.join();
  CHECK_FALSE(caller.received.ends_with("\r\n0\r\n\r\n"));
}

TEST_CASE("a stream of any status arrives complete") {
  for (const int status : {200, 201, 404, 503}) {
    Fixture fixture;
    fixture.Serve([status](const Request&, const auto& exchange) {
      exchange->StartStream(status, {});
      exchange->Write("both ");
      exchange->Write("halves");
      exchange->Finish();
    });
    const auto answer = fixture.Fetch({});
    REQUIRE(answer.has_value());
    CHECK(answer.value().status == status);
    CHECK(answer.value().body == "both halves");
  }
}

// Guards against back ends working for callers that have disconnected: h2o
// detects a closed connection only at the next write, and a queued request
// writes nothing.
TEST_CASE("a disconnect before the start of the answer is detected") {
  Fixture fixture;
  std::unique_ptr<RawCaller> caller;
  std::shared_ptr<Exchange> held;
  bool is_disconnected = false;
  fixture.Serve(
      [&](const Request&, const auto& exchange) {
        held = exchange;
        exchange->OnDisconnect([&] {
          is_disconnected = true;
          fixture.loop.Stop();
        });
        caller->Close();
      },
      {.disconnect_check_interval = std::chrono::milliseconds(5)});
  caller = std::make_unique<RawCaller>(fixture.loop, fixture.address(),
                                       "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  fixture.loop.RunAfter(std::chrono::seconds(20), [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  CHECK(is_disconnected);
  CHECK(held->is_closed());
}

// Guards against unbounded memory use: without a bound, the stream to a caller
// that reads nothing grows until the system kills the process.
TEST_CASE("the answer to a caller that reads too slowly is truncated") {
  Fixture fixture;
  bool is_disconnected = false;
  fixture.Serve(
      [&](const Request&, const auto& exchange) {
        exchange->OnDisconnect([&] { is_disconnected = true; });
        exchange->StartStream(200, {});
        for (int i = 0; i < 100 && !exchange->is_closed(); ++i) {
          exchange->Write(std::string(1 << 16, 'x'));
        }
        CHECK(exchange->pending_bytes() <= (1U << 20));
        exchange->Finish();
      },
      {.max_pending_bytes = 1 << 20});
  const auto answer = fixture.Fetch({});
  CHECK(answer.has_error());
  CHECK(is_disconnected);
}

TEST_CASE("a body over the limit is refused with 413") {
  Fixture fixture;
  fixture.Serve(
      [](const Request&, const auto& exchange) { exchange->Respond({}); },
      {.max_body_bytes = 1000});
  const auto answer =
      fixture.Fetch({.method = "POST", .body = std::string(2000, 'x')});
  REQUIRE(answer.has_value());
  CHECK(answer.value().status == 413);
}

TEST_CASE("seeded random bytes do not affect other connections") {
  Fixture fixture;
  fixture.Serve([](const Request&, const auto& exchange) {
    exchange->Respond({.body = "fine"});
  });
  std::mt19937 random(20261203);
  for (int round = 0; round < 50; ++round) {
    std::string bytes = round % 2 == 0 ? "GET / HTTP/1.1\r\n" : "";
    for (int i = 0; i < 300; ++i) {
      bytes += static_cast<char>(random());
    }
    RawCaller caller(fixture.loop, fixture.address(), bytes + "\r\n\r\n");
    const auto answer = fixture.Fetch({});
    REQUIRE(answer.has_value());
    CHECK(answer.value().body == "fine");
  }
}

}  // namespace bramleyspan::http

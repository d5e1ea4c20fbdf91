#include <doctest/doctest.h>

#include <random>

#include "IngressFixture.h"
#include "LibHTTP/DirectCall.h"
#include "RawServer.h"

namespace bramleyspan::http {

namespace {

// Returns how a call ends if the server answers with these bytes.
CallEnd EndOf(const std::string& answer,
              bool is_closing,
              std::string& body,
              bool is_resetting = false) {
  EventLoop loop;
  RawServer server(loop, answer, is_closing, is_resetting);
  CallEnd outcome = CallEnd::kNotSent;
  DirectCall::Fetch(loop,
                    {.target = {"127.0.0.1", server.listener->port()},
                     .headers = {{"host", "x"}},
                     .timeout = std::chrono::milliseconds(400)},
                    [&](CallEnd end, const Response& response) {
                      outcome = end;
                      body = response.body;
                      loop.Stop();
                    });
  loop.Run();
  return outcome;
}

CallEnd EndOf(const std::string& answer, bool is_closing) {
  std::string body;
  return EndOf(answer, is_closing, body);
}

}  // namespace

TEST_CASE("Requests on one connection are answered in order") {
  IngressFixture fixture;
  fixture.Serve(Echo);
  const std::string received = fixture.Exchange(
      "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\none"
      "POST /b?q=1 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
      "3\r\ntwo\r\n0\r\n\r\n"
      "GET /c HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
  CHECK(received.find("/a|one") < received.find("/b|two"));
  CHECK(received.find("/b|two") < received.find("/c|"));
  CHECK(fixture.seen[1].query == "q=1");
  CHECK(fixture.seen[1].host == "h");
}

// Guards against request smuggling: if proxy and back end determine the length
// of a body differently, a second request hidden in the body runs with another
// caller's key.
TEST_CASE(
    "A request with contradictory lengths is refused and ends the connection") {
  for (const std::string head :
       {"content-length: 5\r\ntransfer-encoding: chunked\r\n",
        "content-length: 5\r\ncontent-length: 6\r\n",
        "transfer-encoding: gzip, chunked\r\n", "content-length: -1\r\n",
        "host : h\r\n", " folded: x\r\n"}) {
    CAPTURE(head);
    IngressFixture fixture;
    fixture.Serve(Echo);
    const std::string received = fixture.Exchange(
        "POST / HTTP/1.1\r\n" + head + "\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n");
    CHECK(received.starts_with("HTTP/1.1 400"));
    CHECK(received.find("/x") == std::string::npos);
    CHECK(fixture.seen.empty());
  }
}

// Port scanners send TLS and HTTP/2 to this port, and faulty clients send
// malformed bodies. None of this must reach the handler or affect other
// callers.
TEST_CASE("Bytes of other protocols and malformed bodies reach no handler") {
  for (const std::string& bytes : std::vector<std::string>{
           std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11),
           std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
           std::string("GET /x\r\n\r\n"),
           std::string("SSH-2.0-OpenSSH_9.2\r\n\r\n"),
           std::string("POST /x HTTP/1.1\r\nhost: h\r\n"
                       "transfer-encoding: chunked\r\n\r\n"
                       "zz\r\nabc\r\n0\r\n\r\n"),
           std::string("POST /x HTTP/1.1\r\nhost: h\r\n"
                       "transfer-encoding: chunked\r\n\r\n"
                       "2\r\nabcd\r\n0\r\n\r\n"),
           std::string("POST /x HTTP/1.1\r\nhost: h\r\n"
                       "content-length: 99999999999999999999\r\n\r\nx"),
           std::string("GET /\0x HTTP/1.1\r\nhost: h\r\n\r\n", 29),
       }) {
    CAPTURE(bytes);
    IngressFixture fixture;
    fixture.Serve(Echo, {.head_timeout = std::chrono::milliseconds(200),
                         .idle_timeout = std::chrono::milliseconds(200)});
    const std::string received = fixture.Exchange(bytes);
    CHECK(received.find("200 OK") == std::string::npos);
    CHECK(fixture.seen.empty());
    CHECK(fixture
              .Exchange("GET /good HTTP/1.1\r\nhost: h\r\n"
                        "connection: close\r\n\r\n")
              .find("/good|") != std::string::npos);
  }
}

// A request with one random byte replaced reaches the handler at most once,
// with a body no longer than the original.
TEST_CASE("A request with a seeded random byte never becomes two requests") {
  const std::string whole =
      "POST /pay HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n"
      "connection: close\r\n\r\nhello";
  std::minstd_rand random(20261203);
  for (int round = 0; round < 60; ++round) {
    std::string bytes = whole;
    const size_t at = random() % bytes.size();
    bytes[at] = static_cast<char>(random() % 256);
    CAPTURE(round);
    CAPTURE(at);
    IngressFixture fixture;
    fixture.Serve(Echo, {.head_timeout = std::chrono::milliseconds(30),

                         .idle_timeout = std::chrono::milliseconds(30)});
    fixture.Exchange(bytes);
    CHECK(fixture.seen.size() <= 1);
    if (!fixture.seen.empty()) {
      CHECK(fixture.seen[0].body.size() <= 5);
    }
  }
}

TEST_CASE("Heads and bodies over their limits are refused") {
  IngressFixture fixture;
  fixture.Serve(Echo, {.max_head_bytes = 200, .max_body_bytes = 10});
  CHECK(fixture.Exchange("GET / HTTP/1.1\r\na: " + std::string(300, 'x'))
            .starts_with("HTTP/1.1 431"));
  CHECK(fixture.Exchange("POST / HTTP/1.1\r\ncontent-length: 11\r\n\r\n")
            .starts_with("HTTP/1.1 413"));
  CHECK(fixture
            .Exchange("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
                      "b\r\nelevenbytes\r\n0\r\n\r\n")
            .starts_with("HTTP/1.1 413"));
}

TEST_CASE("A head that is not complete in time is refused with 408") {
  IngressFixture fixture;
  fixture.Serve(Echo, {.head_timeout = std::chrono::milliseconds(100)});
  CHECK(
      fixture.Exchange("GET / HTTP/1.1\r\nhost:").starts_with("HTTP/1.1 408"));
}

// Guards against model servers working for seconds on requests whose callers
// have disconnected.
TEST_CASE("A caller's disconnect is detected while its answer is pending") {
  IngressFixture fixture;
  bool is_disconnected = false;
  std::shared_ptr<IngressExchange> kept;
  auto caller = std::make_unique<RawCaller*>(nullptr);
  fixture.Serve([&](const IngressRequest&,
                    const std::shared_ptr<IngressExchange>& exchange) {
    kept = exchange;
    exchange->OnDisconnect([&] {
      is_disconnected = true;
      fixture.loop.Stop();
    });
    (*caller)->Close();
  });
  RawCaller leaving(fixture.loop, fixture.address(), "GET / HTTP/1.1\r\n\r\n");
  *caller = &leaving;
  fixture.loop.Run();
  CHECK(is_disconnected);
  CHECK(kept->is_closed());
  kept->Respond(200, {}, "late");
}

TEST_CASE("An aborted stream does not end with the last chunk") {
  IngressFixture fixture;
  fixture.Serve([](const IngressRequest&,
                   const std::shared_ptr<IngressExchange>& exchange) {
    exchange->StartStream(200, {});
    exchange->Write("id: 1\n\n");
    exchange->Abort();
  });
  const std::string received = fixture.Exchange("GET / HTTP/1.1\r\n\r\n");
  CHECK(received.find("\r\n0\r\n\r\n") == std::string::npos);
}

TEST_CASE("A draining server closes each connection after its answer") {
  IngressFixture fixture;
  fixture.Serve(Echo);
  fixture.ingress->StartDrain();
  const std::string received = fixture.Exchange("GET /a HTTP/1.1\r\n\r\n");
  CHECK(received.find("connection: close") != std::string::npos);
  CHECK(received.find("/a|") != std::string::npos);
}

TEST_CASE("A complete answer ends as kWhole without the bytes that follow it") {
  std::string body;
  CHECK(EndOf("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", false, body) ==
        CallEnd::kWhole);
  CHECK(body == "ok");
  CHECK(EndOf("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK",
              false, body) == CallEnd::kWhole);
  CHECK(body == "ok");
  CHECK(EndOf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
              "transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
              false, body) == CallEnd::kWhole);
  CHECK(body == "ok");
  CHECK(EndOf("HTTP/1.1 200 OK\r\n\r\nok", true, body) == CallEnd::kWhole);
}

// Failure: an answer without length that was reset on the way looks complete.
TEST_CASE(
    "An answer without length is whole only if its connection is closed") {
  std::string body;
  for (const std::string version : {"HTTP/1.1", "HTTP/1.0"}) {
    const std::string answer = version + " 200 OK\r\n\r\nok";
    CHECK(EndOf(answer, true, body) == CallEnd::kWhole);
    CHECK(body == "ok");
    CHECK(EndOf(answer, true, body, /*is_resetting=*/true) ==
          CallEnd::kTruncated);
    CHECK(EndOf(answer, false, body) == CallEnd::kTimeout);
  }
}

// Failure: a caller of HTTP/1.0, whose streams end with the connection, takes a
// stream that was broken off for a complete one.
TEST_CASE(
    "A stream to an HTTP/1.0 caller is closed if whole, reset if aborted") {
  for (const bool is_whole : {true, false}) {
    IngressFixture fixture;
    fixture.Serve([is_whole](const IngressRequest&,
                             const std::shared_ptr<IngressExchange>& exchange) {
      exchange->StartStream(200, {});
      exchange->Write("id: 1\n\n");
      if (is_whole) {
        exchange->Finish();
      } else {
        exchange->Abort();
      }
    });
    RawCaller caller(fixture.loop, fixture.address(), "GET / HTTP/1.0\r\n\r\n");
    fixture.loop.Run();
    CHECK(caller.is_closed_in_order == is_whole);
    CHECK(caller.received.find("transfer-encoding") == std::string::npos);
  }
}

// Failure: as above, for a caller that reads too slowly.
TEST_CASE("A stream to an HTTP/1.0 caller that reads too slowly is reset") {
  IngressFixture fixture;
  fixture.Serve(
      [&fixture](const IngressRequest&,
                 const std::shared_ptr<IngressExchange>& exchange) {
        exchange->OnDisconnect([&fixture] { fixture.loop.Stop(); });
        exchange->StartStream(200, {});
        while (!exchange->is_closed()) {
          exchange->Write(std::string(1 << 16, 'x'));
        }
      },
      {.max_pending_bytes = 1 << 17});
  LateReader caller(fixture.address(), "GET / HTTP/1.0\r\n\r\n");
  fixture.loop.Run();
  CHECK_FALSE(caller.ReadAll());
}

// Failure: as above, for a stream that a stop cuts, finished or not.
TEST_CASE("A stream to an HTTP/1.0 caller that a stop cuts is reset") {
  for (const bool is_finished : {false, true}) {
    CAPTURE(is_finished);
    IngressFixture fixture;
    fixture.Serve(
        [&fixture, is_finished](
            const IngressRequest&,
            const std::shared_ptr<IngressExchange>& exchange) {
          exchange->StartStream(200, {});
          exchange->Write(std::string(1 << 23, 'x'));
          if (is_finished) {
            exchange->Finish();
          }
          fixture.loop.RunAfter(std::chrono::milliseconds(50),
                                [&fixture] { fixture.loop.Stop(); });
        },
        {.max_pending_bytes = 1 << 24});
    LateReader caller(fixture.address(), "GET / HTTP/1.0\r\n\r\n");
    fixture.loop.Run();
    fixture.ingress = nullptr;
    CHECK_FALSE(caller.ReadAll());
  }
}

// Guards against taking a truncated answer for a complete one: a server died
// while it wrote an answer with status 200.
TEST_CASE("Each kind of failed answer ends with its own outcome") {
  CHECK(EndOf("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", true) ==
        CallEnd::kTruncated);
  CHECK(
      EndOf("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
            true) == CallEnd::kTruncated);
  CHECK(EndOf("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
              true) == CallEnd::kMalformed);
  CHECK(EndOf("garbage that is no answer\r\n\r\n", true) ==
        CallEnd::kMalformed);
  CHECK(EndOf("", true) == CallEnd::kClosed);
  CHECK(EndOf("HTTP/1.1 200", false) == CallEnd::kTimeout);
}

// Failure: a server in trouble answers with a status that is none, 000. It was
// taken for an interim answer: its caller waited for the whole time limit, and
// an answer that lay in its body went to the caller as the server's own.
TEST_CASE("An answer whose status is none is malformed at once") {
  const std::string inner = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
  // Returns how an answer with this status ends whose content is the inner one.
  const auto end_of = [&inner](const char* status, const std::string& headers) {
    std::string answer = "HTTP/1.1 ";
    answer.append(status).append(" X\r\n").append(headers).append("\r\n");
    return EndOf(answer + inner, false);
  };
  const std::string length =
      "content-length: " + std::to_string(inner.size()) + "\r\n";
  for (const char* status : {"000", "001", "042", "099", "600", "777", "999"}) {
    CAPTURE(status);
    CHECK(end_of(status, length) == CallEnd::kMalformed);
    CHECK(end_of(status, "") == CallEnd::kMalformed);
  }
  // Nobody asked to switch protocols, and an interim answer has no body.
  CHECK(end_of("101", "") == CallEnd::kMalformed);
  for (const char* status : {"100", "103", "199"}) {
    CAPTURE(status);
    CHECK(end_of(status, length) == CallEnd::kMalformed);
    CHECK(end_of(status, "transfer-encoding: chunked\r\n") ==
          CallEnd::kMalformed);
    CHECK(end_of(status, "") == CallEnd::kWhole);
  }
  CHECK(EndOf("HTTP/1.1 599 X\r\ncontent-length: 0\r\n\r\n", false) ==
        CallEnd::kWhole);
}

TEST_CASE("A call that never connected ends as kNotSent") {
  EventLoop loop;
  CallEnd outcome = CallEnd::kWhole;
  DirectCall::Fetch(loop, {.target = {"127.0.0.1", 1}},
                    [&](CallEnd end, const Response&) {
                      outcome = end;
                      loop.Stop();
                    });
  loop.Run();
  CHECK(outcome == CallEnd::kNotSent);
}

}  // namespace bramleyspan::http

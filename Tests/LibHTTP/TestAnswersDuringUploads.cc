// Answers without a length that end while their requests are still written.
#include <map>
#include <optional>

#include "LibHTTP/Client.h"
#include "LibHTTP/DirectCall.h"
#include "LibHTTP/UnframedEnd.h"
#include "UploadServer.h"

namespace bramleyspan::http {

namespace {

// More than the system holds for a connection, in both directions.
constexpr size_t kLongUpload = size_t{16} << 20;
// More than the system takes of a connection that its server does not read, and
// less than it holds for the client.
constexpr size_t kHeldUpload = size_t{1} << 20;
// The system takes all of it at once.
constexpr size_t kShortUpload = 1000;
const std::string kHead = "HTTP/1.1 200 OK\r\n";
const std::string kPart = kHead + "\r\nfirst ";

enum class Caller { kDirect, kPooled, kFresh };
constexpr Caller kAllCallers[] = {Caller::kDirect, Caller::kPooled,
                                  Caller::kFresh};

// Returns the body if the answer looks whole.
std::optional<std::string> Upload(Caller caller,
                                  size_t bytes,
                                  const std::string& answer,
                                  AfterAnswer after,
                                  AnswerTime time = AnswerTime::kFirstBytes) {
  EventLoop loop;
  Client client(loop);
  UploadServer server(loop, answer, after, time);
  std::optional<std::string> body;
  if (caller == Caller::kDirect) {
    DirectCall::Fetch(loop,
                      {.target = server.address(),
                       .method = "POST",
                       .body = std::string(bytes, 'x')},
                      [&](CallEnd end, const Response& response) {
                        if (end == CallEnd::kWhole) {
                          body = response.body;
                        }
                        loop.Stop();
                      });
  } else {
    client.Fetch(
        {.target = server.address(),
         .method = "POST",
         .body = std::string(bytes, 'x'),
         .connection_use = caller == Caller::kPooled ? ConnectionUse::kShared
                                                     : ConnectionUse::kFresh},
        [&](Result<Response> response) {
          if (response.has_value()) {
            body = response.value().body;
          }
          loop.Stop();
        });
  }
  loop.Run();
  return body;
}

}  // namespace

TEST_CASE("An end in order is whole only behind a request that was taken") {
  for (const bool has_write_failed : {false, true}) {
    for (const bool is_writing : {false, true}) {
      for (const size_t unacknowledged_bytes : {0, 1}) {
        for (const bool has_failed : {false, true}) {
          UnframedEnd end{.is_read_in_order = false,
                          .has_write_failed = has_write_failed,
                          .is_writing = is_writing,
                          .unacknowledged_bytes = unacknowledged_bytes,
                          .has_failed = has_failed};
          CHECK(JudgeUnframedEnd(end) == UnframedVerdict::kCut);
          end.is_read_in_order = true;
          const bool is_taken = !is_writing && unacknowledged_bytes == 0;
          const UnframedVerdict expected =
              has_write_failed ? UnframedVerdict::kCut
              : is_taken       ? UnframedVerdict::kWhole
              : has_failed     ? UnframedVerdict::kCut
                               : UnframedVerdict::kUndecided;
          CHECK(JudgeUnframedEnd(end) == expected);
        }
      }
    }
  }
}

// Failure: a server answers a long upload at once, sends a part of a body that
// has no length and resets the connection while the upload is still written.
// The write meets the reset, which the system reports once; the read that
// follows finds the part and an end that looks orderly, and the client takes
// the part for the whole answer.
TEST_CASE("An answer that is reset as its request is written is not whole") {
  for (const Caller caller : kAllCallers) {
    CAPTURE(caller);
    CHECK_FALSE(Upload(caller, kLongUpload, kPart, AfterAnswer::kReset));
    CHECK_FALSE(
        Upload(caller, kLongUpload, kHead + "\r\n", AfterAnswer::kReset));
    CHECK_FALSE(Upload(caller, kLongUpload, kPart, AfterAnswer::kResetLater));
  }
}

// Failure: a server's process dies while it waits for more of the upload. Its
// system closes the connection in order, and resets it as the next bytes come.
// The upload lies with the client's system, so that no write meets the reset.
TEST_CASE("An end in order before the request is taken is not whole") {
  for (const Caller caller : kAllCallers) {
    CAPTURE(caller);
    for (const size_t bytes : {kHeldUpload, kLongUpload}) {
      CAPTURE(bytes);
      CHECK_FALSE(Upload(caller, bytes, kPart, AfterAnswer::kClose,
                         AnswerTime::kAccept));
      CHECK_FALSE(Upload(caller, bytes, kPart, AfterAnswer::kEndThenReset,
                         AnswerTime::kAccept));
    }
    CHECK_FALSE(Upload(caller, kLongUpload, kPart, AfterAnswer::kClose));
  }
}

// Failure: as above, but the server's machine is silent in place of a reset.
TEST_CASE("An answer whose request is never taken ends with its time limit") {
  EventLoop loop;
  UploadServer server(loop, kPart, AfterAnswer::kEndThenKeep,
                      AnswerTime::kAccept);
  CallEnd outcome = CallEnd::kNotSent;
  DirectCall::Fetch(loop,
                    {.target = server.address(),
                     .method = "POST",
                     .body = std::string(kHeldUpload, 'x'),
                     .timeout = std::chrono::milliseconds(200)},
                    [&](CallEnd end, const Response&) {
                      outcome = end;
                      loop.Stop();
                    });
  loop.Run();
  CHECK(outcome == CallEnd::kTimeout);
}

TEST_CASE("An answer that ends early is whole once its request is taken") {
  for (const Caller caller : kAllCallers) {
    CAPTURE(caller);
    CHECK(Upload(caller, kLongUpload, kPart, AfterAnswer::kEndThenTake) ==
          "first ");
    CHECK(Upload(caller, kShortUpload, kPart, AfterAnswer::kEndThenTake) ==
          "first ");
    CHECK(Upload(caller, kShortUpload, kPart, AfterAnswer::kClose) == "first ");
  }
}

TEST_CASE("An answer with a length is whole though its connection is reset") {
  const std::string answer = kHead + "content-length: 6\r\n\r\nfirst ";
  for (const Caller caller : kAllCallers) {
    CAPTURE(caller);
    CHECK(Upload(caller, kLongUpload, answer, AfterAnswer::kReset) == "first ");
    CHECK(Upload(caller, kLongUpload, answer, AfterAnswer::kKeep) == "first ");
  }
}

// Failure: as above, for a call that is not read while the write fails.
TEST_CASE("An answer that is reset while its call is paused is not whole") {
  EventLoop loop;
  UploadServer server(loop, kPart, AfterAnswer::kResetLater);
  std::shared_ptr<DirectCall> call;
  CallEnd outcome = CallEnd::kNotSent;
  call = DirectCall::Start(loop,
                           {.target = server.address(),
                            .method = "POST",
                            .body = std::string(kLongUpload, 'x')},
                           {.on_bytes =
                                [&](std::string_view) {
                                  call->Pause();
                                  loop.RunAfter(std::chrono::milliseconds(100),
                                                [&] { call->Resume(); });
                                },
                            .on_end =
                                [&](CallEnd end) {
                                  outcome = end;
                                  loop.Stop();
                                }});
  loop.Run();
  CHECK(outcome == CallEnd::kTruncated);
}

// Failure: a request whose write fails on a connection from the pool is said to
// have not run, though its server may have taken a part of it.
TEST_CASE("A request on a connection that is reset may have run") {
  EventLoop loop;
  Client client(loop);
  UploadServer server(loop, kHead + "content-length: 2\r\n\r\nok",
                      AfterAnswer::kKeep);
  std::optional<ErrorCode> code;
  const ClientRequest short_request{.target = server.address()};
  const ClientRequest upload{.target = server.address(),
                             .method = "POST",
                             .body = std::string(kLongUpload, 'x')};
  client.Fetch(short_request, [&](const Result<Response>& first) {
    REQUIRE(first.has_value());
    server.answer.clear();
    server.after = AfterAnswer::kReset;
    client.Fetch(upload, [&](const Result<Response>& second) {
      REQUIRE(second.has_error());
      code = second.error().code;
      loop.Stop();
    });
  });
  loop.Run();
  CHECK(code == ErrorCode::kConnectionClosed);
}

}  // namespace bramleyspan::http

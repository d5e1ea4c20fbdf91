// Answers that servers break off must not look whole, to any client.
#include <optional>

#include "LibHTTP/Client.h"
#include "LibHTTP/DirectCall.h"
#include "RawServer.h"

namespace bramleyspan::http {

namespace {

constexpr Duration kTimeout = std::chrono::seconds(2);

// A server that breaks its answers off, and both clients.
struct CutFixture {
  explicit CutFixture(bool is_resetting)
      : server(this->loop, "", /*is_closing=*/true, is_resetting),
        client(this->loop) {}

  Address address() const {
    return {"127.0.0.1", this->server.listener->port()};
  }

  // Returns the body if the answer looks whole.
  std::optional<std::string> FetchByClient(const std::string& answer,
                                           ConnectionUse use) {
    this->server.answer = answer;
    std::optional<std::string> body;
    this->client.Fetch(
        {.target = this->address(), .timeout = kTimeout, .connection_use = use},
        [&](Result<Response> response) {
          if (response.has_value()) {
            body = response.value().body;
          }
          this->loop.Stop();
        });
    this->loop.Run();
    return body;
  }

  std::optional<std::string> FetchDirectly(const std::string& answer) {
    this->server.answer = answer;
    std::optional<std::string> body;
    DirectCall::Fetch(this->loop,
                      {.target = this->address(), .timeout = kTimeout},
                      [&](CallEnd end, const Response& response) {
                        if (end == CallEnd::kWhole) {
                          body = response.body;
                        }
                        this->loop.Stop();
                      });
    this->loop.Run();
    return body;
  }

  EventLoop loop;
  RawServer server;
  Client client;
};

const std::string kHead = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n";
const std::string kByLength = kHead + "content-length: 12\r\n\r\nfirst second";
const std::string kByChunks = kHead +
                              "transfer-encoding: chunked\r\n\r\n"
                              "6\r\nfirst \r\n6\r\nsecond\r\n0\r\n\r\n";

void ExpectNoPrefixIsWhole(const std::string& answer, bool is_resetting) {
  CutFixture fixture(is_resetting);
  for (size_t bytes = 0; bytes < answer.size(); ++bytes) {
    CAPTURE(bytes);
    const std::string cut = answer.substr(0, bytes);
    CHECK_FALSE(fixture.FetchDirectly(cut));
    CHECK_FALSE(fixture.FetchByClient(cut, ConnectionUse::kShared));
    CHECK_FALSE(fixture.FetchByClient(cut, ConnectionUse::kFresh));
  }
}

}  // namespace

// Failure: a server ends in the head, the framing or the body of its answer,
// and the part that came is taken for a whole answer.
TEST_CASE("An answer that is cut anywhere is whole to no client") {
  for (const bool is_resetting : {false, true}) {
    CAPTURE(is_resetting);
    ExpectNoPrefixIsWhole(kByLength, is_resetting);
    ExpectNoPrefixIsWhole(kByChunks, is_resetting);
  }
}

TEST_CASE("An answer that is not cut is whole to each client") {
  CutFixture fixture(/*is_resetting=*/false);
  for (const std::string& answer : {kByLength, kByChunks}) {
    CHECK(fixture.FetchDirectly(answer) == "first second");
    CHECK(fixture.FetchByClient(answer, ConnectionUse::kShared) ==
          "first second");
    CHECK(fixture.FetchByClient(answer, ConnectionUse::kFresh) ==
          "first second");
  }
}

// Failure: an answer without a length that was reset on the way looks whole.
TEST_CASE("An answer without a length that is reset is whole to no client") {
  CutFixture fixture(/*is_resetting=*/true);
  const std::string answer = kHead + "\r\nfirst ";
  CHECK_FALSE(fixture.FetchDirectly(answer));
  CHECK_FALSE(fixture.FetchByClient(answer, ConnectionUse::kShared));
  CHECK_FALSE(fixture.FetchByClient(answer, ConnectionUse::kFresh));
}

// Failure: a length that can't be read ends the process or is passed over.
TEST_CASE("An answer with an unreadable length is whole to no client") {
  CutFixture fixture(/*is_resetting=*/false);
  for (const std::string lines :
       {"content-length: 99999999999999999999999\r\n",
        "content-length: 18446744073709551615\r\n", "content-length: -1\r\n",
        "content-length: 6x\r\n", "content-length: \r\n",
        "content-length: 6\r\ncontent-length: 7\r\n",
        "transfer-encoding: gzip\r\n",
        "content-length: 6\r\ntransfer-encoding: chunked\r\n"}) {
    CAPTURE(lines);
    const std::string answer = kHead + lines + "\r\nfirst ";
    CHECK_FALSE(fixture.FetchDirectly(answer));
    CHECK_FALSE(fixture.FetchByClient(answer, ConnectionUse::kShared));
    CHECK_FALSE(fixture.FetchByClient(answer, ConnectionUse::kFresh));
  }
}

}  // namespace bramleyspan::http

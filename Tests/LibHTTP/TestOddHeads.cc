// Heads with a blank or a control byte in a field's name, and the like, are
// those of no answer, to any client.
#include <optional>
#include <vector>

#include "LibHTTP/Client.h"
#include "LibHTTP/DirectCall.h"
#include "OddHeadServer.h"

namespace bramleyspan::http {

namespace {

using standins::RawAnswer;

const std::string kHeaderLines = "content-type: text/plain\r\nx-own: mark\r\n";
const std::string kBody = "whole body";

struct OddHeadFixture : OddHeadServer {
  // Returns the answer if it looks whole.
  std::optional<Response> FetchByClient(ConnectionUse use) {
    std::optional<Response> found;
    this->client.Fetch({.target = this->address(), .connection_use = use},
                       [&](Result<Response> response) {
                         if (response.has_value()) {
                           found = std::move(response).assume_value();
                         }
                         this->loop.Stop();
                       });
    this->loop.Run();
    return found;
  }

  std::optional<Response> FetchDirectly() {
    std::optional<Response> found;
    DirectCall::Fetch(this->loop, {.target = this->address()},
                      [&](CallEnd end, Response response) {
                        if (end == CallEnd::kWhole) {
                          found = std::move(response);
                        }
                        this->loop.Stop();
                      });
    this->loop.Run();
    return found;
  }

  std::vector<std::optional<Response>> FetchByAll(const RawAnswer& raw) {
    this->answer = raw;
    return {this->FetchDirectly(), this->FetchByClient(ConnectionUse::kShared),
            this->FetchByClient(ConnectionUse::kFresh)};
  }

  Client client{loop};
};

}  // namespace

// Failure: a server in trouble sends a head in which the name of a field holds
// a blank or a control byte. Its caller gets it as an answer, with that line
// passed on, or with a body that is not the server's.
TEST_CASE("An answer with an odd head is whole to no client") {
  OddHeadFixture fixture;
  for (const RawAnswer& odd : standins::OddHeadAnswers(kHeaderLines, kBody)) {
    CAPTURE(odd.name);
    for (const auto& found : fixture.FetchByAll(odd)) {
      CHECK_FALSE(found.has_value());
    }
  }
}

TEST_CASE("An answer whose head is sound is whole, whatever its chunks hold") {
  OddHeadFixture fixture;
  for (const RawAnswer& sound :
       standins::SoundHeadAnswers(kHeaderLines, kBody)) {
    CAPTURE(sound.name);
    for (const auto& found : fixture.FetchByAll(sound)) {
      REQUIRE(found.has_value());
      CHECK(found->body == kBody);
      CHECK(FindHeader(found->headers, "x-own") == "mark");
      CHECK(FindHeader(found->headers, "x-dd").empty());
    }
  }
}

}  // namespace bramleyspan::http

// A server and what a client makes of its odd heads, for tests of the libraries
// that read answers.
#pragma once

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "Kernel/EventLoop.h"
#include "StandIns/AnswerServer.h"

namespace bramleyspan::http {

// A server that sends the answer that is set, on the loop of its client.
struct OddHeadServer {
  OddHeadServer() {
    auto listening = standins::AnswerServer::Listen(
        this->loop, {"127.0.0.1", 0},
        [this](const std::string&) { return this->answer; });
    REQUIRE(listening.has_value());
    this->server = std::move(listening).assume_value();
  }

  Address address() const { return this->server->address(); }

  EventLoop loop;
  standins::RawAnswer answer;
  std::unique_ptr<standins::AnswerServer> server;
};

// Calls `send` with each odd answer that has this body, and the callback that
// gets the outcome: it must be a failure. Then with sound ones, which must not.
template <typename Outcome, typename Send>
void ExpectNoOddHeadIsTaken(OddHeadServer& server,
                            const std::string& body,
                            const Send& send) {
  const std::string header_lines = "content-type: application/json\r\n";
  const auto is_taken = [&server, &send](const standins::RawAnswer& answer) {
    server.answer = answer;
    std::optional<bool> found;
    send([&server, &found](const Outcome& outcome) {
      found = outcome.has_value();
      server.loop.Stop();
    });
    server.loop.Run();
    return found.value_or(false);
  };
  for (const auto& odd : standins::OddHeadAnswers(header_lines, body)) {
    // The clients' own tests send heads in pieces.
    if (odd.border == 0) {
      CAPTURE(odd.name);
      CHECK_FALSE(is_taken(odd));
    }
  }
  CHECK(is_taken(standins::SoundHeadAnswers(header_lines, body).front()));
}

}  // namespace bramleyspan::http

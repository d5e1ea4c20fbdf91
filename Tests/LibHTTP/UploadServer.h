// A server that answers before it has taken a long upload.
#pragma once

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>

#include "Kernel/EventLoop.h"
#include "Kernel/Listener.h"
#include "StandIns/EarlyAnswers.h"

namespace bramleyspan::http {

using standins::AfterAnswer;

// When a server answers: behind the first bytes of a request, or before it
// reads anything.
enum class AnswerTime { kFirstBytes, kAccept };

// Runs on the loop of its client, which meets the answer and what follows at
// once.
struct UploadServer {
  UploadServer(EventLoop& loop,
               std::string answer,
               AfterAnswer after,
               AnswerTime time = AnswerTime::kFirstBytes)
      : loop(loop), answer(std::move(answer)), after(after) {
    auto listening = Listener::Listen(
        loop, {"127.0.0.1", 0}, [this, time](h2o_socket_t* socket) {
          socket->data = this;
          if (time == AnswerTime::kAccept) {
            standins::AnswerEarly(this->loop, socket, this->answer,
                                  this->after);
            return;
          }
          h2o_socket_read_start(socket,
                                [](h2o_socket_t* source, const char* failure) {
                                  static_cast<UploadServer*>(source->data)
                                      ->HandleFirstBytes(source, failure);
                                });
        });
    REQUIRE(listening.has_value());
    this->listener = std::move(listening).assume_value();
  }

  Address address() const { return {"127.0.0.1", this->listener->port()}; }

  void HandleFirstBytes(h2o_socket_t* socket, const char* failure) const {
    if (failure != nullptr) {
      h2o_socket_close(socket);
      return;
    }
    standins::AnswerEarly(this->loop, socket, this->answer, this->after);
  }

  EventLoop& loop;
  std::string answer;
  AfterAnswer after;
  std::unique_ptr<Listener> listener;
};

}  // namespace bramleyspan::http

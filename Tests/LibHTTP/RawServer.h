// A server whose answers are given byte by byte.
#pragma once

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <memory>
#include <string>
#include <utility>

#include "Kernel/EventLoop.h"
#include "Kernel/Listener.h"

namespace bramleyspan::http {

// A server that answers any input with the same bytes.
struct RawServer {
  RawServer(EventLoop& loop,
            std::string answer,
            bool is_closing,
            bool is_resetting = false)
      : answer(std::move(answer)),
        is_closing(is_closing),
        is_resetting(is_resetting) {
    auto listening =
        Listener::Listen(loop, {"127.0.0.1", 0}, [this](h2o_socket_t* socket) {
          socket->data = this;
          h2o_socket_read_start(
              socket, [](h2o_socket_t* source, const char* failure) {
                static_cast<RawServer*>(source->data)->Answer(source, failure);
              });
        });
    REQUIRE(listening.has_value());
    this->listener = std::move(listening).assume_value();
  }

  void Answer(h2o_socket_t* socket, const char* failure) {
    if (failure != nullptr) {
      h2o_socket_close(socket);
      return;
    }
    h2o_buffer_consume(&socket->input, socket->input->size);
    if (this->is_resetting) {
      const linger reset{.l_onoff = 1, .l_linger = 0};
      setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &reset,
                 sizeof reset);
    }
    h2o_iovec_t bytes =
        h2o_iovec_init(this->answer.data(), this->answer.size());
    h2o_socket_write(socket, &bytes, 1, [](h2o_socket_t* source, const char*) {
      if (static_cast<RawServer*>(source->data)->is_closing) {
        h2o_socket_close(source);
      }
    });
  }

  std::string answer;
  bool is_closing;
  bool is_resetting;
  std::unique_ptr<Listener> listener;
};

}  // namespace bramleyspan::http

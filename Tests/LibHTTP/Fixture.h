// A server and clients for tests, all on one event loop.
#pragma once

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <utility>

#include "LibHTTP/Client.h"
#include "LibHTTP/Server.h"

namespace bramleyspan::http {

// A server on a port that the system chooses, and a client.
struct Fixture {
  EventLoop loop;
  Client client{loop};
  std::unique_ptr<Server> server;

  void Serve(Server::Handler handler, const ServerLimits& limits = {}) {
    auto listening = Server::Listen(this->loop, {"127.0.0.1", 0}, limits,
                                    std::move(handler));
    REQUIRE(listening.has_value());
    this->server = std::move(listening).assume_value();
  }

  Address address() const { return {"127.0.0.1", this->server->port()}; }

  // Sends a request and runs the loop until its outcome is known.
  Result<Response> Fetch(ClientRequest request) {
    request.target = this->address();
    Result<Response> outcome = Fail(ErrorCode::kUnavailable, "test");
    bool is_done = false;
    this->client.Fetch(std::move(request), [&](Result<Response> response) {
      outcome = std::move(response);
      is_done = true;
      this->loop.Stop();
    });
    while (!is_done) {
      this->loop.Run();
    }
    return outcome;
  }
};

// A client that sends raw bytes and receives until the server closes the
// connection.
class RawCaller {
 public:
  RawCaller(EventLoop& loop, const Address& address, std::string bytes)
      : loop(loop), bytes(std::move(bytes)) {
    sockaddr_in target = ToSocketAddress(address);
    this->socket = h2o_socket_connect(
        loop.raw(), reinterpret_cast<sockaddr*>(&target), sizeof target,
        [](h2o_socket_t* opened, const char*) {
          static_cast<RawCaller*>(opened->data)->Send();
        });
    this->socket->data = this;
  }

  ~RawCaller() { this->Close(); }

  void Close() {
    if (this->socket != nullptr) {
      h2o_socket_close(std::exchange(this->socket, nullptr));
    }
  }

  std::string received;
  // Whether the server closed the connection, and did not reset it.
  bool is_closed_in_order = false;

 private:
  void Send() {
    h2o_iovec_t buffer = h2o_iovec_init(this->bytes.data(), this->bytes.size());
    h2o_socket_write(this->socket, &buffer, 1,
                     [](h2o_socket_t*, const char*) {});
    h2o_socket_read_start(
        this->socket, [](h2o_socket_t* source, const char* failure) {
          auto* self = static_cast<RawCaller*>(source->data);
          self->received.append(source->input->bytes, source->input->size);
          h2o_buffer_consume(&source->input, source->input->size);
          if (failure != nullptr) {
            self->is_closed_in_order = failure == h2o_socket_error_closed;
            self->Close();
            self->loop.Stop();
          }
        });
  }

  EventLoop& loop;
  std::string bytes;
  h2o_socket_t* socket = nullptr;
};

// Whether somebody listens at the address.
inline bool can_connect(const Address& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in target = ToSocketAddress(address);
  const bool is_connected =
      connect(descriptor, reinterpret_cast<const sockaddr*>(&target),
              sizeof target) == 0;
  close(descriptor);
  return is_connected;
}

// A client that sends raw bytes and reads nothing before ReadAll, which blocks.
class LateReader {
 public:
  LateReader(const Address& address, const std::string& bytes)
      : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in target = ToSocketAddress(address);
    REQUIRE(connect(this->descriptor,
                    reinterpret_cast<const sockaddr*>(&target),
                    sizeof target) == 0);
    this->Send(bytes);
  }
  ~LateReader() { close(this->descriptor); }
  LateReader(const LateReader&) = delete;
  LateReader& operator=(const LateReader&) = delete;

  void Send(const std::string& bytes) const {
    REQUIRE(send(this->descriptor, bytes.data(), bytes.size(), 0) ==
            static_cast<ssize_t>(bytes.size()));
  }

  // Ends the sending direction alone.
  void StopSending() { shutdown(this->descriptor, SHUT_WR); }

  // Reads until the connection ends. Returns whether it was closed, and not
  // reset.
  bool ReadAll() {
    std::string buffer(1 << 16, 0);
    ssize_t count = 0;
    while ((count = recv(this->descriptor, buffer.data(), buffer.size(), 0)) >
           0) {
      this->received.append(buffer, 0, static_cast<size_t>(count));
    }
    return count == 0;
  }

  std::string received;

 private:
  int descriptor;
};

}  // namespace bramleyspan::http

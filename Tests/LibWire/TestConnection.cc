#include <doctest/doctest.h>

#include <random>

#include "Kernel/Listener.h"
#include "LibWire/Connection.h"

namespace bramleyspan::wire {

namespace {

// Accepts a connection and records its frames and its closing.
struct Peer {
  EventLoop loop;
  std::shared_ptr<Connection> accepted;
  std::vector<FrameT> frames;
  std::unique_ptr<Listener> listener;
  std::optional<Error> closed;

  Peer() {
    auto listening = Listener::Listen(
        this->loop, {"127.0.0.1", 0}, [this](h2o_socket_t* socket) {
          ConnectionEvents events;
          events.on_frame = [this](Connection&, FrameT frame) {
            this->frames.push_back(std::move(frame));
            this->loop.Stop();
          };
          events.on_closed = [this](Connection&, Error error) {
            this->closed = std::move(error);
            this->loop.Stop();
          };
          this->accepted = Connection::Accept(socket, std::move(events));
        });
    REQUIRE(listening.has_value());
    this->listener = std::move(listening).assume_value();
  }

  std::shared_ptr<Connection> Connect(ConnectionEvents events = {}) {
    return Connection::Connect(
        this->loop, {"127.0.0.1", this->listener->port()}, std::move(events));
  }

  // Sends raw bytes and runs until the peer has closed the connection.
  Error SendUntilClosed(const std::string& bytes) {
    auto connection = this->Connect();
    connection->Send(bytes);
    while (!this->closed) {
      this->loop.Run();
    }
    connection->Close();
    return *this->closed;
  }
};

}  // namespace

TEST_CASE("frames arrive in order") {
  Peer peer;
  auto connection = peer.Connect();
  for (uint64_t i = 0; i < 100; ++i) {
    CallCancelT cancel;
    cancel.call = i;
    connection->Send(Encode(cancel));
  }
  while (peer.frames.size() < 100) {
    peer.loop.Run();
  }
  for (uint64_t i = 0; i < 100; ++i) {
    CHECK(peer.frames[i].body.AsCallCancel()->call == i);
  }
}

TEST_CASE("a frame length over the limit closes the connection") {
  Peer peer;
  CHECK(peer.SendUntilClosed("\xff\xff\xff\xff").code ==
        ErrorCode::kMalformedFrame);
}

TEST_CASE("a frame that fails verification closes the connection") {
  Peer peer;
  const std::string length("\x08\x00\x00\x00", kLengthPrefixBytes);
  CHECK(peer.SendUntilClosed(length + "notframe").code ==
        ErrorCode::kMalformedFrame);
}

TEST_CASE("frames with seeded random changes are refused or decoded") {
  CallT call;
  call.call = 7;
  call.owner = "studio-huber";
  call.body = std::string(200, 'b');
  const std::string whole = Encode(call).substr(kLengthPrefixBytes);
  std::mt19937 random(20261203);
  size_t refused = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string changed = whole.substr(0, 1 + random() % whole.size());
    for (size_t i = 0; i < 1 + random() % 8; ++i) {
      changed[random() % changed.size()] = static_cast<char>(random());
    }
    refused += Decode(changed).has_error() ? 1 : 0;
  }
  CHECK(refused > 10'000);
}

// Guards against unbounded memory use: without a bound, frames queued for a
// frozen agent grow until the system kills the entry.
TEST_CASE("a connection to a peer that reads nothing is closed") {
  EventLoop loop;
  h2o_socket_t* unread = nullptr;
  auto listener = Listener::Listen(
      loop, {"127.0.0.1", 0}, [&](h2o_socket_t* socket) { unread = socket; });
  REQUIRE(listener.has_value());
  bool is_closed = false;
  ConnectionEvents events;
  events.on_open = [](Connection& connection) {
    connection.Send(std::string(kMaxPendingBytes, 'x'));
    connection.Send(std::string(kMaxPendingBytes, 'x'));
    connection.Send(std::string(1, 'x'));
  };
  events.on_closed = [&](Connection&, const Error&) {
    is_closed = true;
    loop.Stop();
  };
  auto connection = Connection::Connect(
      loop, {"127.0.0.1", listener.value()->port()}, std::move(events));
  loop.RunAfter(std::chrono::seconds(10), [&] { loop.Stop(); });
  loop.Run();
  CHECK(is_closed);
  CHECK_FALSE(connection->is_open());
  h2o_socket_close(unread);
}

}  // namespace bramleyspan::wire

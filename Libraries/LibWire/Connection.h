// A TCP connection that carries frames between two processes.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Kernel/Address.h"
#include "Kernel/EventLoop.h"
#include "LibWire/Codec.h"

namespace bramleyspan::wire {

class Connection;

// Bytes of all frames that this process has sent and received, for the budget
// of each node.
struct ByteTotals {
  uint64_t sent = 0;
  uint64_t received = 0;
};
const ByteTotals& TotalBytes();

// Bytes that may wait for a peer before the connection is given up.
inline constexpr size_t kMaxPendingBytes = 32 << 20;

// What a connection's owner hears. `on_closed` comes once, last.
struct ConnectionEvents {
  std::function<void(Connection&)> on_open;
  std::function<void(Connection&, FrameT)> on_frame;
  std::function<void(Connection&, Error)> on_closed;
};

// Sends and receives frames in order. It closes itself on the first frame that
// does not verify, since nothing after it can be trusted.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  // Takes over an accepted socket.
  static std::shared_ptr<Connection> Accept(h2o_socket_t* socket,
                                            ConnectionEvents events);

  // Starts to connect; `on_open` or `on_closed` tells the outcome.
  static std::shared_ptr<Connection> Connect(EventLoop& loop,
                                             const Address& address,
                                             ConnectionEvents events);
  ~Connection();

  // Queues an encoded frame; does nothing on a closed connection.
  void Send(const std::string& frame);

  // Closes without `on_closed`.
  void Close();

  bool is_open() const { return this->is_connected; }

  // Bytes that the peer has not taken yet.
  size_t pending_bytes() const {
    return this->pending.size() + this->in_flight.size();
  }

  // Distinguishes this connection from every other that this process had.
  const uint64_t id = NextId();

 private:
  static uint64_t NextId();
  void StartReading();
  void HandleInput();
  void Flush();
  void CloseWith(Error error);

  h2o_socket_t* socket = nullptr;
  ConnectionEvents events;
  std::string pending;
  std::string in_flight;
  bool is_connected = false;
};

}  // namespace bramleyspan::wire

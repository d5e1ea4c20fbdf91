// A TCP connection that carries frames between two processes.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Kernel/Address.h"
#include "Kernel/EventLoop.h"
#include "LibMemory/Hold.h"
#include "LibWire/Codec.h"

namespace bramleyspan::wire {

class Connection;

// Bytes of all frames that this process has sent and received. Metrics report
// them, since each node has a traffic budget.
struct ByteTotals {
  uint64_t sent = 0;
  uint64_t received = 0;
};

const ByteTotals& TotalBytes();

// Bytes that may be queued for a peer before the connection is closed.
inline constexpr size_t kMaxPendingBytes = 32 << 20;

// Callbacks of a connection. `on_closed` is called once, as the last one.
struct ConnectionEvents {
  // Counts long frames that are coming. Null counts nothing.
  std::shared_ptr<memory::HoldTable> holds;
  std::function<void(Connection&)> on_open;
  std::function<void(Connection&, FrameT)> on_frame;
  std::function<void(Connection&, Error)> on_closed;
};

// Sends and receives frames in order. Closes itself on the first frame that
// fails verification, since the bytes after it cannot be trusted.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  // Takes ownership of an accepted socket and starts to read.
  static std::shared_ptr<Connection> Accept(h2o_socket_t* socket,
                                            ConnectionEvents events);

  // Starts to connect. `on_open` or `on_closed` reports the outcome.
  static std::shared_ptr<Connection> Connect(EventLoop& loop,
                                             const Address& address,
                                             ConnectionEvents events);
  ~Connection();

  // Queues an encoded frame. Does nothing if the connection is closed.
  void Send(const std::string& frame);

  // Closes the connection without calling `on_closed`.
  void Close();

  // Closes the connection from the event loop, which calls `on_closed`.
  void ShutDown();

  // Whether a whole frame has come.
  bool has_received() const { return this->has_received_frame; }

  bool is_open() const { return this->is_connected; }

  // Returns the bytes that are not yet written to the socket.
  size_t pending_bytes() const {
    return this->pending.size() + this->in_flight.size();
  }

  // Returns the bytes that the peer's machine has not acknowledged. A process
  // that ends with frames unread drops them.
  size_t undelivered_bytes() const;

  // Unique among all connections of this process.
  const uint64_t id = NextId();

 private:
  static uint64_t NextId();
  void StartReading();
  void HandleInput();
  void Flush();
  void CloseWith(Error error);
  // Whether a frame of this length may come.
  bool CountFrame(size_t length);

  h2o_socket_t* socket = nullptr;
  memory::Hold frame_hold;
  size_t bytes_read = 0;
  bool has_received_frame = false;
  ConnectionEvents events;
  std::string pending;
  std::string in_flight;
  bool is_connected = false;
};

}  // namespace bramleyspan::wire

#include "LibWire/Connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

#include "Kernel/SocketBytes.h"

namespace bramleyspan::wire {

namespace {

ByteTotals& MutableTotalBytes() {
  static ByteTotals totals;
  return totals;
}

std::shared_ptr<Connection> OwnerOf(h2o_socket_t* socket) {
  return static_cast<Connection*>(socket->data)->shared_from_this();
}

// Shorter frames are covered by the number of connections.
constexpr size_t kUncountedFrameBytes = 65536;

size_t ReadLength(const char* bytes) {
  size_t length = 0;
  for (size_t i = 0; i < kLengthPrefixBytes; ++i) {
    length |= static_cast<size_t>(static_cast<unsigned char>(bytes[i]))
              << (8 * i);
  }
  return length;
}

}  // namespace

const ByteTotals& TotalBytes() {
  return MutableTotalBytes();
}

std::shared_ptr<Connection> Connection::Accept(h2o_socket_t* socket,
                                               ConnectionEvents events) {
  auto connection = std::make_shared<Connection>();
  connection->socket = socket;
  connection->events = std::move(events);
  connection->is_connected = true;
  socket->data = connection.get();
  connection->StartReading();
  return connection;
}

std::shared_ptr<Connection> Connection::Connect(EventLoop& loop,
                                                const Address& address,
                                                ConnectionEvents events) {
  auto connection = std::make_shared<Connection>();
  connection->events = std::move(events);
  sockaddr_in target = ToSocketAddress(address);
  connection->socket = h2o_socket_connect(
      loop.raw(), reinterpret_cast<sockaddr*>(&target), sizeof target,
      [](h2o_socket_t* socket, const char* failure) {
        auto self = OwnerOf(socket);
        if (failure != nullptr) {
          self->CloseWith(
              Error{ErrorCode::kConnectionFailed, "connection", failure});
          return;
        }
        const int no_delay = 1;
        setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_NODELAY,
                   &no_delay, sizeof no_delay);
        self->is_connected = true;
        self->StartReading();
        if (self->events.on_open) {
          self->events.on_open(*self);
        }
        self->Flush();
      });
  if (connection->socket != nullptr) {
    connection->socket->data = connection.get();
    return connection;
  }
  loop.RunAfter(Duration(0), [connection] {
    connection->CloseWith(
        Error{ErrorCode::kConnectionFailed, "connection", "cannot start"});
  });
  return connection;
}

uint64_t Connection::NextId() {
  static uint64_t last_id = 0;
  return ++last_id;
}

Connection::~Connection() {
  this->Close();
}

void Connection::Send(const std::string& frame) {
  if (this->socket == nullptr) {
    return;
  }
  MutableTotalBytes().sent += frame.size();
  this->pending += frame;
  this->Flush();
  // Bounds the memory that is queued for a peer that reads nothing. The socket
  // is only shut down here, and `on_closed` follows from the event loop, since
  // callers of Send may be iterating over their connections.
  if (this->is_connected && this->pending.size() > kMaxPendingBytes) {
    this->ShutDown();
  }
}

void Connection::ShutDown() {
  if (this->socket != nullptr) {
    ::shutdown(h2o_socket_get_fd(this->socket), SHUT_RDWR);
  }
}

bool Connection::CountFrame(size_t length) {
  if (length <= kUncountedFrameBytes) {
    return true;
  }
  if (!this->frame_hold.is_counted()) {
    this->frame_hold =
        memory::Hold(this->events.holds, memory::Stage::kComing,
                     [weak = this->weak_from_this()] {
                       const auto self = weak.lock();
                       if (self != nullptr && self->frame_hold.is_ended()) {
                         self->ShutDown();
                       }
                     });
  }
  this->frame_hold.RecordProgress(
      this->socket->bytes_read -
      std::exchange(this->bytes_read, this->socket->bytes_read));
  return length <= this->frame_hold.bytes() || this->frame_hold.Resize(length);
}

size_t Connection::undelivered_bytes() const {
  return this->pending_bytes() +
         (this->is_connected
              ? UnacknowledgedBytes(h2o_socket_get_fd(this->socket))
              : 0);
}

void Connection::Close() {
  this->is_connected = false;
  if (this->socket != nullptr) {
    h2o_socket_close(std::exchange(this->socket, nullptr));
  }
}

void Connection::StartReading() {
  h2o_socket_read_start(
      this->socket, [](h2o_socket_t* source, const char* failure) {
        auto self = OwnerOf(source);
        if (failure != nullptr) {
          self->CloseWith(
              Error{ErrorCode::kConnectionClosed, "connection", failure});
          return;
        }
        self->HandleInput();
      });
}

void Connection::HandleInput() {
  while (this->socket != nullptr) {
    h2o_buffer_t** input = &this->socket->input;
    if ((*input)->size < kLengthPrefixBytes) {
      return;
    }
    const size_t length = ReadLength((*input)->bytes);
    if (length > kMaxFrameBytes) {
      this->CloseWith(Error{ErrorCode::kMalformedFrame, "frame", "too long"});
      return;
    }
    if ((*input)->size < kLengthPrefixBytes + length) {
      if (!this->CountFrame(length)) {
        this->CloseWith(Error{ErrorCode::kUnavailable, "frame", "no room"});
      }
      return;
    }
    // The FlatBuffers verifier requires aligned memory, and a frame inside the
    // input buffer may be unaligned.
    const std::string bytes((*input)->bytes + kLengthPrefixBytes, length);
    ConsumeInput(this->socket, kLengthPrefixBytes + length);
    this->frame_hold.Release();
    this->has_received_frame = true;
    MutableTotalBytes().received += kLengthPrefixBytes + length;
    auto frame = Decode(bytes);
    if (frame.has_error()) {
      this->CloseWith(frame.error());
      return;
    }
    this->events.on_frame(*this, std::move(frame).assume_value());
  }
}

void Connection::Flush() {
  if (!this->is_connected || !this->in_flight.empty() ||
      this->pending.empty()) {
    return;
  }
  this->in_flight = std::exchange(this->pending, {});
  h2o_iovec_t buffer =
      h2o_iovec_init(this->in_flight.data(), this->in_flight.size());
  h2o_socket_write(
      this->socket, &buffer, 1, [](h2o_socket_t* written, const char* failure) {
        auto self = OwnerOf(written);
        self->in_flight.clear();
        if (failure != nullptr) {
          self->CloseWith(
              Error{ErrorCode::kConnectionClosed, "connection", failure});
          return;
        }
        self->Flush();
      });
}

void Connection::CloseWith(Error error) {
  if (this->socket == nullptr && this->events.on_closed == nullptr) {
    return;
  }
  auto keep_until_return = this->shared_from_this();
  this->Close();
  auto on_closed = std::exchange(this->events.on_closed, nullptr);
  if (on_closed) {
    on_closed(*this, std::move(error));
  }
}

}  // namespace bramleyspan::wire

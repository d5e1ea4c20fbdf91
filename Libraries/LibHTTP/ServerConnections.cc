#include "LibHTTP/ServerConnections.h"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

#include "Kernel/EventLoop.h"
#include "Kernel/SocketBytes.h"
#include "LibHTTP/Parser.h"
#include "LibMemory/Connections.h"

namespace bramleyspan::http {

namespace {

// How long a closing connection waits for its caller to close it.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// Pauses of a caller that sends the body of a request are shorter.
constexpr Duration kHttp2IdleTime = std::chrono::seconds(2);
constexpr unsigned kUserTimeoutMilliseconds = 10'000;
// Bytes that frame a request of HTTP/2 besides its body, at most.
constexpr size_t kFramingOfRequest = 16384;
// What each connection may hold besides what is counted.
constexpr size_t kUncountedBytes = 8192;

int DescriptorOf(const ServerConnection& connection) {
  return connection.socket != nullptr ? h2o_socket_get_fd(connection.socket)
                                      : connection.kept;
}

bool is_http2(const ServerConnection& connection) {
  // h2o keeps the bytes of a request in the connection's input until its answer
  // has ended, but not those of HTTP/2.
  const bool has_begun_http2 = !connection.has_had_exchange &&
                               connection.socket->bytes_read != 0 &&
                               connection.socket->input->size == 0;
  return connection.is_http2 || has_begun_http2;
}

// Whether a request of HTTP/1 is still coming.
bool is_reading(const ServerConnection& connection) {
  return connection.open == 0 && !is_http2(connection) &&
         (connection.socket->input->size != 0 ||
          UnreadBytes(DescriptorOf(connection)) != 0);
}

bool is_idle(const ServerConnection& connection) {
  return connection.open == 0 && !is_reading(connection) &&
         UnacknowledgedBytes(DescriptorOf(connection)) == 0;
}

// Returns what h2o holds of requests that are coming, as far as it is counted
// here: those of HTTP/1 are in the connection's input, those of HTTP/2 are what
// was read and used by no request.
size_t BytesHeld(ServerConnection& connection) {
  const h2o_socket_t& socket = *connection.socket;
  if (is_http2(connection)) {
    return socket.bytes_read - connection.used_bytes;
  }
  const size_t input_bytes = socket.input->size;
  if (connection.open == 0 && input_bytes != 0 && !connection.announced_bytes) {
    const auto head = ParseRequestHead({socket.input->bytes, input_bytes});
    if (head.has_value() && head.value()) {
      const auto framing = FramingOfRequest(*head.value());
      connection.announced_bytes =
          head.value()->bytes +
          (framing.has_value() ? framing.value().length : 0);
    }
  }
  return std::max(input_bytes, connection.announced_bytes.value_or(0));
}

memory::ConnectionUse UseOf(const ServerConnection& connection) {
  if (connection.is_shut || connection.open != 0) {
    return memory::ConnectionUse::kBusy;
  }
  return is_reading(connection) ? memory::ConnectionUse::kComing
         : is_idle(connection)  ? memory::ConnectionUse::kIdle
                                : memory::ConnectionUse::kBusy;
}

// Answers without reading what is still coming. h2o reads the end and closes.
void SendLast(const ServerConnection& connection, std::string_view answer) {
  const int descriptor = DescriptorOf(connection);
  send(descriptor, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown(descriptor, SHUT_RD);
}

void Keep(ServerConnection& connection) {
  connection.busy_at = EventLoop::Now();
  connection.kept = fcntl(DescriptorOf(connection), F_DUPFD_CLOEXEC, 0);
}

// Returns whether the caller has closed its side.
bool Discard(int descriptor) {
  std::array<char, 4096> buffer{};
  ssize_t count = 0;
  while ((count = recv(descriptor, buffer.data(), buffer.size(),
                       MSG_DONTWAIT)) > 0) {
  }
  return count == 0 || (errno != EAGAIN && errno != EINTR);
}

// Closing a socket with unread input resets the connection, and drops what its
// caller has not taken. So only the sending side is closed.
void Linger(ServerConnection& connection) {
  connection.closed_at = EventLoop::Now();
  setsockopt(connection.kept, IPPROTO_TCP, TCP_USER_TIMEOUT,
             &kUserTimeoutMilliseconds, sizeof kUserTimeoutMilliseconds);
  shutdown(connection.kept, SHUT_WR);
}

// Whether a connection that h2o has closed needs no more time.
bool is_over(const ServerConnection& connection, TimePoint now) {
  const bool has_left = Discard(connection.kept);
  return UnacknowledgedBytes(connection.kept) == 0 &&
         (has_left || now - connection.closed_at >= kLingerTime);
}

}  // namespace

ServerConnection::~ServerConnection() {
  if (this->kept != -1) {
    close(this->kept);
  }
}

void ServerConnections::Add(h2o_socket_t* socket) {
  auto connection = std::make_unique<ServerConnection>(*this, socket);
  connection->busy_at = EventLoop::Now();
  if (this->is_draining) {
    Keep(*connection);
  }
  socket->on_close.cb = [](void* closed) {
    auto* connection = static_cast<ServerConnection*>(closed);
    connection->owner.HandleClosed(connection->socket);
  };
  socket->on_close.data = connection.get();
  this->connections.emplace(socket, std::move(connection));
}

void ServerConnections::HandleClosed(h2o_socket_t* socket) {
  auto connection = std::move(this->connections.extract(socket).mapped());
  connection->socket = nullptr;
  if (connection->kept != -1 && (UnacknowledgedBytes(connection->kept) != 0 ||
                                 UnreadBytes(connection->kept) != 0)) {
    Linger(*connection);
    this->lingering.push_back(std::move(connection));
  }
}

void ServerConnections::BeginExchange(h2o_socket_t* socket,
                                      bool is_http2,
                                      size_t body_bytes) {
  ServerConnection& connection = *this->connections.at(socket);
  ++connection.open;
  connection.announced_bytes.reset();
  // From now on it is not ended for others.
  connection.hold.SetStage(memory::Stage::kAtWork, nullptr);
  connection.used_bytes =
      std::min(connection.used_bytes + body_bytes + kFramingOfRequest,
               socket->bytes_read);
  connection.has_had_exchange = true;
  connection.is_http2 = is_http2;
}

void ServerConnections::EndExchange(h2o_socket_t* socket) {
  ServerConnection& connection = *this->connections.at(socket);
  --connection.open;
  connection.busy_at = EventLoop::Now();
  if (connection.open == 0) {
    // What comes next is counted anew.
    connection.hold.Release();
  }
}

void ServerConnections::StartDrain() {
  if (std::exchange(this->is_draining, true)) {
    return;
  }
  for (const auto& [socket, connection] : this->connections) {
    Keep(*connection);
  }
}

ServerWork ServerConnections::CountWork() const {
  ServerWork work;
  for (const auto& [socket, connection] : this->connections) {
    if (connection->open != 0) {
      continue;
    }
    if (is_reading(*connection)) {
      ++work.reading;
    } else if (is_idle(*connection)) {
      ++work.idle;
    } else {
      ++work.delivering;
    }
  }
  for (const auto& connection : this->lingering) {
    work.delivering += UnacknowledgedBytes(connection->kept) != 0 ? 1 : 0;
  }
  return work;
}

void ServerConnections::CloseIdle(Duration idle_for) {
  const TimePoint now = EventLoop::Now();
  for (const auto& [socket, connection] : this->connections) {
    const Duration least =
        is_http2(*connection) ? std::max(idle_for, kHttp2IdleTime) : idle_for;
    if (is_idle(*connection) && now - connection->busy_at >= least) {
      // h2o reads the end and closes. A request that has come meanwhile is read
      // and answered before.
      shutdown(DescriptorOf(*connection), SHUT_RD);
    }
  }
}

void ServerConnections::RefuseReading(std::string_view answer) {
  for (const auto& [socket, connection] : this->connections) {
    if (is_reading(*connection)) {
      SendLast(*connection, answer);
    }
  }
}

bool ServerConnections::MakePlace() {
  const auto open = std::ranges::count_if(
      this->connections,
      [](const auto& item) { return !item.second->is_shut; });
  if (static_cast<size_t>(open) < this->guard.max_connections) {
    return true;
  }
  std::vector<memory::ConnectionView> views;
  std::vector<ServerConnection*> by_number;
  for (const auto& [socket, connection] : this->connections) {
    views.push_back({.number = by_number.size(),
                     .use = UseOf(*connection),
                     .since = connection->busy_at});
    by_number.push_back(connection.get());
  }
  const std::vector<uint64_t> closed = memory::ChooseClosed(
      std::move(views), CountToClose(this->guard), EventLoop::Now());
  for (const uint64_t number : closed) {
    ServerConnection& connection = *by_number[number];
    if (UseOf(connection) == memory::ConnectionUse::kComing) {
      this->Refuse(connection, TurnedAwayCause::kTooManyConnections);
    } else {
      this->Close(connection.socket, TurnedAwayCause::kTooManyConnections);
    }
  }
  return !closed.empty();
}

void ServerConnections::CheckHeld() {
  if (this->guard.holds == nullptr) {
    return;
  }
  for (const auto& [socket, connection] : this->connections) {
    if (!connection->is_shut) {
      this->CheckHeld(*connection);
    }
  }
}

void ServerConnections::CheckHeld(ServerConnection& connection) {
  const size_t before = std::exchange(connection.bytes_read_by_hold,
                                      connection.socket->bytes_read);
  const size_t held = BytesHeld(connection);
  if (held <= kUncountedBytes && !connection.hold.is_counted()) {
    return;
  }
  if (!connection.hold.is_counted()) {
    connection.hold = memory::Hold(
        this->guard.holds,
        connection.open == 0 ? memory::Stage::kComing : memory::Stage::kAtWork,
        [this, socket = connection.socket] { this->HandleEnded(socket); });
  }
  connection.hold.RecordProgress(connection.bytes_read_by_hold - before);
  if (held <= kUncountedBytes) {
    connection.hold.Release();
  } else if (held != connection.hold.bytes() && !connection.hold.Resize(held)) {
    this->Refuse(connection, TurnedAwayCause::kNoRoom);
  }
}

void ServerConnections::Refuse(ServerConnection& connection,
                               TurnedAwayCause cause) {
  const int descriptor = DescriptorOf(connection);
  ReportTurnedAway(this->guard, cause, descriptor, connection.hold.bytes());
  connection.is_shut = true;
  if (is_http2(connection) || connection.open != 0) {
    shutdown(descriptor, SHUT_RDWR);
  } else {
    SendLast(connection, this->refusal);
  }
}

void ServerConnections::Close(h2o_socket_t* socket, TurnedAwayCause cause) {
  ServerConnection& connection = *this->connections.at(socket);
  const int descriptor = DescriptorOf(connection);
  ReportTurnedAway(this->guard, cause, descriptor, connection.hold.bytes());
  connection.is_shut = true;
  shutdown(descriptor, SHUT_RDWR);
}

void ServerConnections::HandleEnded(h2o_socket_t* socket) {
  // The connection may be gone, or another one may have its place.
  const auto found = this->connections.find(socket);
  if (found != this->connections.end() && found->second->hold.is_ended() &&
      !found->second->is_shut) {
    this->Refuse(*found->second, TurnedAwayCause::kStalled);
  }
}

void ServerConnections::Check() {
  const TimePoint now = EventLoop::Now();
  for (const auto& [socket, connection] : this->connections) {
    const size_t before =
        std::exchange(connection->bytes_read, socket->bytes_read);
    if (!is_idle(*connection) || connection->bytes_read != before) {
      connection->busy_at = now;
    }
  }
  std::erase_if(this->lingering, [now](const auto& connection) {
    return is_over(*connection, now);
  });
}

}  // namespace bramleyspan::http

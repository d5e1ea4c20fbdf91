#include "Kernel/SocketBytes.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace bramleyspan {

namespace {

constexpr size_t kKeptInputBytes = 16384;

size_t Ask(int descriptor, unsigned long request) {
  int bytes = 0;
  return ioctl(descriptor, request, &bytes) == 0 ? static_cast<size_t>(bytes)
                                                 : 0;
}

// Returns which ends of a connection the system reports.
unsigned PollEvents(int descriptor) {
  pollfd entry{.fd = descriptor, .events = POLLRDHUP, .revents = 0};
  return poll(&entry, 1, 0) == 1 ? static_cast<unsigned>(entry.revents) : 0;
}

}  // namespace

size_t UnreadBytes(int descriptor) {
  return Ask(descriptor, FIONREAD);
}

size_t UnacknowledgedBytes(int descriptor) {
  return Ask(descriptor, SIOCOUTQ);
}

std::optional<uint64_t> AcknowledgedBytes(int descriptor) {
  tcp_info info{};
  socklen_t length = sizeof info;
  constexpr size_t kEnd =
      offsetof(tcp_info, tcpi_bytes_acked) + sizeof info.tcpi_bytes_acked;
  if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) != 0 ||
      length < kEnd) {
    return std::nullopt;
  }
  return info.tcpi_bytes_acked;
}

void ConsumeInput(h2o_socket_t* socket, size_t bytes) {
  h2o_buffer_consume(&socket->input, bytes);
  if (socket->input->size == 0 && socket->input->capacity > kKeptInputBytes) {
    h2o_buffer_dispose(&socket->input);
    h2o_buffer_init(&socket->input, &h2o_socket_buffer_prototype);
  }
}

bool has_peer_closed(int descriptor) {
  return (PollEvents(descriptor) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool has_connection_failed(int descriptor) {
  return (PollEvents(descriptor) & (POLLHUP | POLLERR)) != 0;
}

}  // namespace bramleyspan

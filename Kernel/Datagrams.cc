#include "Kernel/Datagrams.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace bramleyspan {

namespace {

constexpr size_t kMaxDatagramBytes = 65536;

}  // namespace

Result<std::unique_ptr<Datagrams>> Datagrams::Bind(EventLoop& loop,
                                                   const Address& address,
                                                   OnDatagram on_datagram) {
  const int descriptor =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in bound = ToSocketAddress(address);
  if (descriptor < 0 ||
      bind(descriptor, reinterpret_cast<const sockaddr*>(&bound),
           sizeof bound) != 0) {
    const std::string reason = std::strerror(errno);
    close(descriptor);
    return Fail(ErrorCode::kConnectionFailed, Format(address), reason);
  }
  std::unique_ptr<Datagrams> datagrams(new Datagrams);
  datagrams->on_datagram = std::move(on_datagram);
  datagrams->socket = h2o_evloop_socket_create(loop.raw(), descriptor,
                                               H2O_SOCKET_FLAG_DONT_READ);
  datagrams->socket->data = datagrams.get();
  h2o_socket_read_start(datagrams->socket,
                        [](h2o_socket_t* source, const char*) {
                          static_cast<Datagrams*>(source->data)->Receive();
                        });
  return datagrams;
}

void Datagrams::Receive() {
  std::array<char, kMaxDatagramBytes> buffer;
  const int descriptor = h2o_socket_get_fd(this->socket);
  while (true) {
    sockaddr_in from{};
    socklen_t length = sizeof from;
    const ssize_t size =
        recvfrom(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT,
                 reinterpret_cast<sockaddr*>(&from), &length);
    if (size < 0) {
      return;
    }
    std::array<char, INET_ADDRSTRLEN> ip{};
    inet_ntop(AF_INET, &from.sin_addr, ip.data(), ip.size());
    this->on_datagram(ip.data(), {buffer.data(), static_cast<size_t>(size)});
  }
}

void Datagrams::Send(const Address& to, std::string_view bytes) {
  const sockaddr_in target = ToSocketAddress(to);
  sendto(h2o_socket_get_fd(this->socket), bytes.data(), bytes.size(),
         MSG_DONTWAIT, reinterpret_cast<const sockaddr*>(&target),
         sizeof target);
}

Datagrams::~Datagrams() {
  h2o_socket_read_stop(this->socket);
  h2o_socket_close(this->socket);
}

}  // namespace bramleyspan

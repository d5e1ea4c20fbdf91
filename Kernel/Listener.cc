#include "Kernel/Listener.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace bramleyspan {

namespace {

constexpr int kBacklog = 1024;
constexpr Duration kPauseTime = std::chrono::milliseconds(50);

Error LastFailure(const Address& address) {
  return {ErrorCode::kConnectionFailed, Format(address), std::strerror(errno)};
}

}  // namespace

Result<std::unique_ptr<Listener>> Listener::Listen(
    EventLoop& loop,
    const Address& address,
    OnAccept on_accept,
    std::optional<int> receive_bytes) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor == -1) {
    return LastFailure(address);
  }
  const int enabled = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (receive_bytes) {
    // Connections inherit it, so that their windows are small from the start.
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &*receive_bytes,
               sizeof *receive_bytes);
  }
  const sockaddr_in bound = ToSocketAddress(address);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&bound),
           sizeof bound) != 0 ||
      listen(descriptor, kBacklog) != 0) {
    Error failure = LastFailure(address);
    close(descriptor);
    return failure;
  }
  std::unique_ptr<Listener> listener(new Listener(loop));
  listener->on_accept = std::move(on_accept);
  listener->socket = h2o_evloop_socket_create(loop.raw(), descriptor,
                                              H2O_SOCKET_FLAG_DONT_READ);
  listener->socket->data = listener.get();
  listener->StartReading();
  return listener;
}

void Listener::StartReading() {
  h2o_socket_read_start(this->socket,
                        [](h2o_socket_t* source, const char* failure) {
                          if (failure == nullptr) {
                            static_cast<Listener*>(source->data)->AcceptOne();
                          }
                        });
}

bool Listener::AcceptOne() {
  h2o_socket_t* accepted = h2o_evloop_socket_accept(this->socket);
  if (accepted == nullptr) {
    if (errno == EMFILE || errno == ENFILE) {
      this->Pause();
    }
    return false;
  }
  const int no_delay = 1;
  setsockopt(h2o_socket_get_fd(accepted), IPPROTO_TCP, TCP_NODELAY, &no_delay,
             sizeof no_delay);
  this->on_accept(accepted);
  return true;
}

// Without a descriptor the connection stays in the system's queue, and the
// listener stays readable: the loop would do nothing else.
void Listener::Pause() {
  h2o_socket_read_stop(this->socket);
  this->pause_timer = this->loop.RunAfter(kPauseTime, [this] {
    this->pause_timer = 0;
    this->StartReading();
  });
}

void Listener::AcceptPending() {
  while (this->AcceptOne()) {
  }
}

uint16_t Listener::port() const {
  sockaddr_in bound{};
  socklen_t length = sizeof bound;
  getsockname(h2o_socket_get_fd(this->socket),
              reinterpret_cast<sockaddr*>(&bound), &length);
  return ntohs(bound.sin_port);
}

Listener::~Listener() {
  this->loop.Cancel(this->pause_timer);
  if (this->socket != nullptr) {
    h2o_socket_read_stop(this->socket);
    h2o_socket_close(this->socket);
  }
}

}  // namespace bramleyspan

#include "LibHTTP/ConnectCheck.h"

#include <memory>
#include <utility>

#include "Kernel/H2o.h"

namespace bramleyspan::http {

namespace {

// Owns itself until its outcome is known.
struct Check {
  EventLoop& loop;
  std::function<void(ConnectOutcome)> on_done;
  h2o_socket_t* socket = nullptr;
  TimerId timer = 0;
};

void End(Check* check, ConnectOutcome outcome) {
  const std::unique_ptr<Check> owned(check);
  owned->loop.Cancel(owned->timer);
  if (owned->socket != nullptr) {
    h2o_socket_close(owned->socket);
  }
  owned->on_done(outcome);
}

}  // namespace

void CheckConnect(EventLoop& loop,
                  const Address& target,
                  Duration timeout,
                  std::function<void(ConnectOutcome)> on_done) {
  auto* check = new Check{.loop = loop, .on_done = std::move(on_done)};
  sockaddr_in address = ToSocketAddress(target);
  check->socket = h2o_socket_connect(
      loop.raw(), reinterpret_cast<sockaddr*>(&address), sizeof address,
      [](h2o_socket_t* opened, const char* failure) {
        End(static_cast<Check*>(opened->data), failure == nullptr
                                                   ? ConnectOutcome::kAccepted
                                                   : ConnectOutcome::kRefused);
      });
  if (check->socket == nullptr) {
    // Callbacks must not run inside this call.
    check->timer = loop.RunAfter(
        Duration(0), [check] { End(check, ConnectOutcome::kUnanswered); });
    return;
  }
  check->socket->data = check;
  check->timer = loop.RunAfter(
      timeout, [check] { End(check, ConnectOutcome::kUnanswered); });
}

}  // namespace bramleyspan::http

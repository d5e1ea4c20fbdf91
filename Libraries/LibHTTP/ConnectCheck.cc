#include "LibHTTP/ConnectCheck.h"

#include <memory>
#include <utility>

#include "Kernel/H2o.h"

namespace bramleyspan::http {

namespace {

// Time in which a server that ends closes a connection that it has just
// accepted: it may close its connections before it stops to listen.
constexpr Duration kSettleTime = std::chrono::milliseconds(30);
// A server may also close a connection because it has too many.
constexpr int kMaxConnects = 2;

// Owns itself until its outcome is known.
struct Check {
  EventLoop& loop;
  Address target;
  Duration timeout;
  std::function<void(ConnectOutcome)> on_done;
  h2o_socket_t* socket = nullptr;
  TimerId timer = 0;
  int connects = 0;
};

void End(Check* check, ConnectOutcome outcome) {
  const std::unique_ptr<Check> owned(check);
  owned->loop.Cancel(owned->timer);
  if (owned->socket != nullptr) {
    h2o_socket_close(owned->socket);
  }
  owned->on_done(outcome);
}

void EndAfter(Check* check, Duration delay, ConnectOutcome outcome) {
  check->loop.Cancel(check->timer);
  check->timer =
      check->loop.RunAfter(delay, [check, outcome] { End(check, outcome); });
}

void Connect(Check* check);

void HandleReadable(Check* check, const char* failure) {
  if (failure == nullptr) {
    return;
  }
  h2o_socket_close(std::exchange(check->socket, nullptr));
  if (check->connects < kMaxConnects) {
    Connect(check);
  } else {
    End(check, ConnectOutcome::kAccepted);
  }
}

void HandleConnected(Check* check, const char* failure) {
  if (failure != nullptr) {
    End(check, ConnectOutcome::kRefused);
    return;
  }
  EndAfter(check, kSettleTime, ConnectOutcome::kAccepted);
  h2o_socket_read_start(
      check->socket, [](h2o_socket_t* source, const char* read_failure) {
        HandleReadable(static_cast<Check*>(source->data), read_failure);
      });
}

void Connect(Check* check) {
  ++check->connects;
  sockaddr_in address = ToSocketAddress(check->target);
  check->socket = h2o_socket_connect(
      check->loop.raw(), reinterpret_cast<sockaddr*>(&address), sizeof address,
      [](h2o_socket_t* opened, const char* failure) {
        HandleConnected(static_cast<Check*>(opened->data), failure);
      });
  if (check->socket == nullptr) {
    // Callbacks must not run inside this call.
    EndAfter(check, Duration(0), ConnectOutcome::kUnanswered);
    return;
  }
  check->socket->data = check;
  EndAfter(check, check->timeout, ConnectOutcome::kUnanswered);
}

}  // namespace

void CheckConnect(EventLoop& loop,
                  const Address& target,
                  Duration timeout,
                  std::function<void(ConnectOutcome)> on_done) {
  Connect(new Check{.loop = loop,
                    .target = target,
                    .timeout = timeout,
                    .on_done = std::move(on_done)});
}

}  // namespace bramleyspan::http

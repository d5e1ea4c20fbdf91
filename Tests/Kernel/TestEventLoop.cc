#include <doctest/doctest.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <memory>
#include <vector>

#include "Kernel/EventLoop.h"

namespace bramleyspan {

// Guards against late writes from timers: h2o keeps a write from a timer's
// callback in its pending list until the next event, up to 1 s later. Requests
// that a timer sent on an open connection exceeded their 800 ms timeout.
TEST_CASE(
    "A write from a timer's callback completes without waiting for an event") {
  EventLoop loop;
  int ends[2];
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  h2o_socket_t* socket = h2o_evloop_socket_create(loop.raw(), ends[0], 0);
  struct Outcome {
    EventLoop* loop;
    TimePoint written;
  } outcome{&loop, {}};
  socket->data = &outcome;
  TimePoint started;
  loop.RunAfter(std::chrono::milliseconds(1), [&] {
    started = EventLoop::Now();
    h2o_iovec_t bytes = h2o_iovec_init(H2O_STRLIT("x"));
    h2o_socket_write(socket, &bytes, 1, [](h2o_socket_t* source, const char*) {
      auto* seen = static_cast<Outcome*>(source->data);
      seen->written = EventLoop::Now();
      seen->loop->Stop();
    });
  });
  loop.Run();
  CHECK(outcome.written - started < std::chrono::milliseconds(500));
  h2o_socket_close(socket);
}

// Guards against processes that abort under a crowd. h2o polled a socket for a
// write from a timer and took 256 events, of other sockets. The event of this
// one came at the next poll, after the write had ended, and h2o aborted.
TEST_CASE("A write from a timer's callback is safe beside 300 ready sockets") {
  constexpr int kReady = 300;
  EventLoop loop;
  std::vector<h2o_socket_t*> ready;
  for (int i = 0; i < kReady; ++i) {
    const int descriptor = eventfd(1, EFD_NONBLOCK | EFD_CLOEXEC);
    REQUIRE(descriptor != -1);
    ready.push_back(h2o_evloop_socket_create(loop.raw(), descriptor,
                                             H2O_SOCKET_FLAG_DONT_READ));
    h2o_socket_read_start(ready.back(), [](h2o_socket_t*, const char*) {});
  }
  int ends[2];
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  h2o_socket_t* socket = h2o_evloop_socket_create(loop.raw(), ends[0], 0);
  bool is_written = false;
  socket->data = &is_written;
  loop.RunAfter(std::chrono::milliseconds(20), [socket] {
    h2o_iovec_t bytes = h2o_iovec_init(H2O_STRLIT("x"));
    h2o_socket_write(socket, &bytes, 1, [](h2o_socket_t* source, const char*) {
      *static_cast<bool*>(source->data) = true;
    });
    // Makes h2o choose anew what it polls the socket for.
    h2o_socket_read_start(socket, [](h2o_socket_t*, const char*) {});
  });
  loop.RunAfter(std::chrono::milliseconds(100), [&loop] { loop.Stop(); });
  loop.Run();
  CHECK(is_written);
  h2o_socket_close(socket);
  close(ends[1]);
  for (h2o_socket_t* const one : ready) {
    h2o_socket_close(one);
  }
}

TEST_CASE("Removed timers are destroyed, also those that this adds, not run") {
  struct Owner {
    Owner(EventLoop& loop, int& destroyed, int& run)
        : loop(loop), destroyed(destroyed), run(run) {}
    EventLoop& loop;
    int& destroyed;
    int& run;
    ~Owner() {
      ++this->destroyed;
      this->loop.RunAfter(Duration(0), [&count = this->run] { ++count; });
    }
  };
  EventLoop loop;
  int destroyed = 0;
  int run = 0;
  loop.RunAfter(
      Duration(0),
      [owner = std::make_shared<Owner>(loop, destroyed, run), &run] { ++run; });
  loop.RemoveTimers();
  CHECK(destroyed == 1);
  loop.RunAfter(std::chrono::milliseconds(1), [&loop] { loop.Stop(); });
  loop.Run();
  CHECK(run == 0);
}

}  // namespace bramleyspan

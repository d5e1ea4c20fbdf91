// Stand-in for the weight store: GET /objects/NAME?bytes=N answers N bytes. All
// readers share the store's rate.

#include <algorithm>
#include <charconv>

#include "StandIns/Common.h"

ABSL_FLAG(std::string, address, "127.0.0.1:8700", "IP:PORT to listen on");
ABSL_FLAG(int64_t,
          bytes_per_second,
          50'000'000,
          "rate of all readers together");

namespace bramleyspan::standins {

namespace {

struct State {
  EventLoop& loop;
  int64_t bytes_per_second;
  // When the bytes of all requests so far will have been sent.
  TimePoint busy_until;
};

void Handle(State& state,
            const http::Request& request,
            const std::shared_ptr<http::Exchange>& exchange) {
  constexpr std::string_view kPrefix = "/objects/";
  constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
  if (!request.path.starts_with(kPrefix)) {
    exchange->Respond({.status = 404});
    return;
  }
  int64_t size = 0;
  const std::string wanted = http::FindQueryValue(request.query, "bytes");
  std::from_chars(wanted.data(), wanted.data() + wanted.size(), size);
  const TimePoint now = EventLoop::Now();
  state.busy_until =
      std::max(state.busy_until, now) +
      Duration(size * kMicrosecondsPerSecond / state.bytes_per_second);
  state.loop.RunAfter(state.busy_until - now, [exchange, size] {
    exchange->Respond({.body = std::string(static_cast<size_t>(size), 'w')});
  });
}

}  // namespace

}  // namespace bramleyspan::standins

int main(int argument_count, char** arguments) {
  using namespace bramleyspan::standins;
  return Run(
      argument_count, arguments, FLAGS_address,
      [](bramleyspan::EventLoop& loop) {
        return State{loop, absl::GetFlag(FLAGS_bytes_per_second), {}};
      },
      Handle);
}

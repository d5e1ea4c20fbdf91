// Stand-in for many callers, a load generator: keeps a fixed number of requests
// in flight and prints how many succeeded and how long they took.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <iostream>
#include <vector>

#include "LibHTTP/Client.h"

ABSL_FLAG(std::string, address, "127.0.0.1:8080", "IP:PORT to call");
ABSL_FLAG(std::string, method, "GET", "method of each request");
ABSL_FLAG(std::string, path, "/", "path of each request");
ABSL_FLAG(std::string, body, "", "body of each request");
ABSL_FLAG(std::string, key, "", "owner's key, sent as the bearer token");
ABSL_FLAG(std::string, entry, "", "catalogue entry that is called");
ABSL_FLAG(int, connections, 1, "requests in flight at once");
ABSL_FLAG(int, requests, 1000, "requests in all");
ABSL_FLAG(int,
          hold_seconds,
          0,
          "seconds after which to exit with requests still open; 0 waits for "
          "all answers");

namespace bramleyspan::standins {

namespace {

struct LoadGenerator {
  EventLoop& loop;
  http::Client client;
  http::ClientRequest request;
  int requests_to_start = 0;
  int in_flight = 0;
  int succeeded = 0;
  int failed = 0;
  size_t body_bytes = 0;
  std::vector<Duration> times;

  explicit LoadGenerator(EventLoop& loop) : loop(loop), client(loop) {}

  void StartOne() {
    if (this->requests_to_start == 0) {
      return;
    }
    --this->requests_to_start;
    ++this->in_flight;
    const TimePoint start = EventLoop::Now();
    auto status = std::make_shared<int>(0);
    http::ClientEvents events;
    events.on_head = [status](const http::ResponseHead& head) {
      *status = head.status;
    };
    events.on_bytes = [this](std::string_view bytes) {
      this->body_bytes += bytes.size();
    };
    events.on_end = [this, start, status](const Result<void>& outcome) {
      this->HandleEnd(start, outcome.has_value() && *status == 200);
    };
    this->client.Stream(this->request, std::move(events));
  }

  void HandleEnd(TimePoint start, bool has_succeeded) {
    --this->in_flight;
    (has_succeeded ? this->succeeded : this->failed) += 1;
    this->times.push_back(EventLoop::Now() - start);
    if (this->requests_to_start == 0 && this->in_flight == 0) {
      this->loop.Stop();
      return;
    }
    this->StartOne();
  }
};

Duration Quantile(std::vector<Duration>& times, double share) {
  std::sort(times.begin(), times.end());
  const auto last = static_cast<double>(times.size() - 1);
  return times[static_cast<size_t>(share * last)];
}

int Run() {
  EventLoop loop;
  LoadGenerator generator(loop);
  const auto address = ParseAddress(absl::GetFlag(FLAGS_address));
  if (address.has_error()) {
    std::cerr << Describe(address.error()) << "\n";
    return 2;
  }
  generator.request = {
      .target = address.value(),
      .method = absl::GetFlag(FLAGS_method),
      .path = absl::GetFlag(FLAGS_path),
      .headers = {{"authorization", "Bearer " + absl::GetFlag(FLAGS_key)},
                  {"bramleyspan-entry", absl::GetFlag(FLAGS_entry)}},
      .body = absl::GetFlag(FLAGS_body),
      .timeout = std::chrono::minutes(5)};
  generator.requests_to_start = absl::GetFlag(FLAGS_requests);
  const TimePoint start = EventLoop::Now();
  const int connections = absl::GetFlag(FLAGS_connections);
  for (int i = 0; i < connections; ++i) {
    generator.StartOne();
  }
  if (const int hold = absl::GetFlag(FLAGS_hold_seconds); hold > 0) {
    loop.RunAfter(std::chrono::seconds(hold), [&] { loop.Stop(); });
  }
  loop.Run();
  const std::chrono::duration<double> elapsed = EventLoop::Now() - start;
  std::cout << "succeeded " << generator.succeeded << " failed "
            << generator.failed << " in_flight " << generator.in_flight
            << " bytes " << generator.body_bytes << " seconds "
            << elapsed.count();
  if (!generator.times.empty()) {
    std::cout << " per_second "
              << static_cast<double>(generator.times.size()) / elapsed.count()
              << " p50_us " << Quantile(generator.times, 0.5).count()
              << " p99_us " << Quantile(generator.times, 0.99).count();
  }
  std::cout << "\n";
  return 0;
}

}  // namespace

}  // namespace bramleyspan::standins

int main(int argument_count, char** arguments) {
  absl::ParseCommandLine(argument_count, arguments);
  return bramleyspan::standins::Run();
}

// Stand-in for a plain service: POST /issue is not idempotent and counts the
// runs of each body; GET /status/ID, which returns the count, may be repeated.
// PUT /backoff/SECONDS makes it reject calls of /issue with 503 and this
// Retry-After; 0 ends that. GET /arrivals returns how many such calls came.

#include <map>
#include <nlohmann/json.hpp>

#include "StandIns/Common.h"

ABSL_FLAG(std::string, address, "127.0.0.1:8000", "IP:PORT to listen on");
ABSL_FLAG(int, work_milliseconds, 5, "duration of a call of /issue");

namespace bramleyspan::standins {

namespace {

using nlohmann::json;
using ExchangePointer = std::shared_ptr<http::Exchange>;

struct State {
  EventLoop& loop;
  Duration work;
  std::map<std::string, int> runs;
  std::string backoff = "0";
  int arrivals = 0;
};

void Handle(State& state,
            const http::Request& request,
            const ExchangePointer& exchange) {
  constexpr std::string_view kStatus = "/status/";
  constexpr std::string_view kBackoff = "/backoff/";
  if (request.path == "/issue" && request.method == "POST") {
    ++state.arrivals;
    if (state.backoff != "0") {
      exchange->Respond(
          {.status = 503, .headers = {{"retry-after", state.backoff}}});
      return;
    }
    const int run = ++state.runs[request.body];
    const std::string body =
        json{{"issued", request.body}, {"run", run}}.dump();
    state.loop.RunAfter(state.work, [exchange, body] {
      exchange->Respond(
          {.headers = {{"content-type", "application/json"}}, .body = body});
    });
  } else if (request.path.starts_with(kStatus)) {
    const std::string id = request.path.substr(kStatus.size());
    const auto found = state.runs.find(id);
    const int runs = found == state.runs.end() ? 0 : found->second;
    exchange->Respond({.headers = {{"content-type", "application/json"}},
                       .body = json{{"id", id}, {"runs", runs}}.dump()});
  } else if (request.path.starts_with(kBackoff)) {
    state.backoff = request.path.substr(kBackoff.size());
    exchange->Respond({});
  } else if (request.path == "/arrivals") {
    exchange->Respond({.body = std::to_string(state.arrivals)});
  } else if (request.path == "/runs") {
    exchange->Respond({.body = json(state.runs).dump()});
  } else {
    exchange->Respond({.status = 404});
  }
}

}  // namespace

}  // namespace bramleyspan::standins

int main(int argument_count, char** arguments) {
  using namespace bramleyspan::standins;
  return Run(
      argument_count, arguments, FLAGS_address,
      [](bramleyspan::EventLoop& loop) {
        return State{loop, std::chrono::milliseconds(
                               absl::GetFlag(FLAGS_work_milliseconds))};
      },
      Handle);
}

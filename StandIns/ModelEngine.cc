// Stand-in for a model engine, by the chat completions API published by
// OpenAI. It batches: all running requests gain one token a step.

#include <map>
#include <nlohmann/json.hpp>

#include "StandIns/Common.h"

ABSL_FLAG(std::string, address, "127.0.0.1:8000", "IP:PORT to listen on");
ABSL_FLAG(int, step_milliseconds, 10, "time of a step, one token a request");
ABSL_FLAG(int, slots, 16, "requests that run at once");

namespace bramleyspan::standins {

namespace {

using nlohmann::json;
using ExchangePointer = std::shared_ptr<http::Exchange>;

constexpr int kDefaultTokens = 16;

struct Running {
  ExchangePointer exchange;
  bool is_streaming = false;
  int tokens_left = 0;
  int tokens_made = 0;
  std::string prompt;
  std::string text;
};

struct State {
  EventLoop& loop;
  Duration step;
  size_t slots;
  std::map<uint64_t, Running> requests;
  uint64_t last_request = 0;
  uint64_t cancelled = 0;
  uint64_t completed = 0;
};

// The text shows whose answer it is, so that a mixed-up answer is seen.
std::string NextToken(const Running& running) {
  return running.prompt + "#" + std::to_string(running.tokens_made) + " ";
}

void SendToken(Running& running) {
  const std::string token = NextToken(running);
  ++running.tokens_made;
  --running.tokens_left;
  running.text += token;
  if (running.is_streaming) {
    const json chunk = {
        {"choices", {{{"index", 0}, {"delta", {{"content", token}}}}}}};
    running.exchange->Write("data: " + chunk.dump() + "\n\n");
  }
}

void Finish(const Running& running) {
  if (running.is_streaming) {
    running.exchange->Write("data: [DONE]\n\n");
    running.exchange->Finish();
    return;
  }
  const json answer = {
      {"choices",
       {{{"index", 0},
         {"message", {{"role", "assistant"}, {"content", running.text}}},
         {"finish_reason", "stop"}}}},
      {"usage", {{"completion_tokens", running.tokens_made}}}};
  running.exchange->Respond({.headers = {{"content-type", "application/json"}},
                             .body = answer.dump()});
}

void Step(State& state) {
  size_t batched = 0;
  for (auto item = state.requests.begin();
       item != state.requests.end() && batched < state.slots;) {
    ++batched;
    Running& running = item->second;
    SendToken(running);
    if (running.tokens_left > 0) {
      ++item;
      continue;
    }
    Finish(running);
    ++state.completed;
    item = state.requests.erase(item);
  }
  state.loop.RunAfter(state.step, [&state] { Step(state); });
}

void HandleChat(State& state,
                const http::Request& request,
                const ExchangePointer& exchange) {
  const json document = json::parse(request.body, nullptr, false);
  if (!document.is_object() || !document.contains("messages") ||
      !document["messages"].is_array() || document["messages"].empty()) {
    exchange->Respond({.status = 400, .body = "{\"error\":\"messages\"}"});
    return;
  }
  Running running;
  running.exchange = exchange;
  running.is_streaming = document.value("stream", false);
  running.tokens_left = document.value("max_tokens", kDefaultTokens);
  running.prompt = document["messages"].back().value("content", "");
  if (running.is_streaming) {
    exchange->StartStream(200, {{"content-type", "text/event-stream"}});
  }
  const uint64_t id = ++state.last_request;
  exchange->OnDisconnect(
      [&state, id] { state.cancelled += state.requests.erase(id); });
  state.requests.emplace(id, std::move(running));
}

void Handle(State& state,
            const http::Request& request,
            const ExchangePointer& exchange) {
  if (request.path == "/v1/chat/completions") {
    HandleChat(state, request, exchange);
  } else if (request.path == "/load") {
    exchange->Respond({.body = json{{"running", state.requests.size()},
                                    {"cancelled", state.cancelled},
                                    {"completed", state.completed}}
                                   .dump()});
  } else {
    exchange->Respond({.status = 404});
  }
}

}  // namespace

}  // namespace bramleyspan::standins

int main(int argument_count, char** arguments) {
  absl::ParseCommandLine(argument_count, arguments);
  bramleyspan::EventLoop loop;
  bramleyspan::standins::State state{
      loop,
      std::chrono::milliseconds(absl::GetFlag(FLAGS_step_milliseconds)),
      static_cast<size_t>(absl::GetFlag(FLAGS_slots)),
      {}};
  bramleyspan::standins::Step(state);
  return bramleyspan::standins::Serve(
      loop, absl::GetFlag(FLAGS_address),
      [&](const auto& request, const auto& exchange) {
        bramleyspan::standins::Handle(state, request, exchange);
      });
}

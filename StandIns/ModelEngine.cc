// Stand-in for a model engine with OpenAI's chat completions API. It batches:
// in each step, every running request gains one token.

#include <map>
#include <nlohmann/json.hpp>

#include "StandIns/Common.h"

ABSL_FLAG(std::string, address, "127.0.0.1:8000", "IP:PORT to listen on");
ABSL_FLAG(int,
          step_milliseconds,
          10,
          "duration of a step, in which each running request gains one token");
ABSL_FLAG(int, slots, 16, "requests that run at once");

namespace bramleyspan::standins {

namespace {

using nlohmann::json;
using ExchangePointer = std::shared_ptr<http::Exchange>;

constexpr int kDefaultTokens = 16;

struct RunningRequest {
  ExchangePointer exchange;
  bool is_streaming = false;
  int tokens_left = 0;
  int tokens_sent = 0;
  std::string prompt;
  std::string text;
};

struct State {
  EventLoop& loop;
  Duration step;
  size_t slots;
  std::map<uint64_t, RunningRequest> requests;
  uint64_t last_request = 0;
  uint64_t cancelled = 0;
  uint64_t completed = 0;
};

// Returns the next token. It contains the request's prompt, so that tests can
// see a token that was sent to the wrong caller.
std::string NextToken(const RunningRequest& running) {
  return running.prompt + "#" + std::to_string(running.tokens_sent) + " ";
}

void SendToken(RunningRequest& running) {
  const std::string token = NextToken(running);
  ++running.tokens_sent;
  --running.tokens_left;
  running.text += token;
  if (running.is_streaming) {
    const json chunk = {
        {"choices", {{{"index", 0}, {"delta", {{"content", token}}}}}}};
    running.exchange->Write("data: " + chunk.dump() + "\n\n");
  }
}

void Finish(const RunningRequest& running) {
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
      {"usage", {{"completion_tokens", running.tokens_sent}}}};
  running.exchange->Respond({.headers = {{"content-type", "application/json"}},
                             .body = answer.dump()});
}

void Step(State& state) {
  size_t batched = 0;
  for (auto item = state.requests.begin();
       item != state.requests.end() && batched < state.slots;) {
    ++batched;
    RunningRequest& running = item->second;
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
  RunningRequest running;
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

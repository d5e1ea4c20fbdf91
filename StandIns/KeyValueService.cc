// Stand-in for the platform's key-value service, with the HTTP API of Consul's
// KV store: GET with blocking queries, PUT with ?cas=. PUT /control with
// {"mode": ...} makes it fail in the ways that the real service can.

#include <openssl/evp.h>

#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "StandIns/Common.h"

ABSL_FLAG(std::string, address, "127.0.0.1:8500", "IP:PORT to listen on");

namespace bramleyspan::standins {

namespace {

using nlohmann::json;
using ExchangePointer = std::shared_ptr<http::Exchange>;

enum class Mode {
  kServing,
  // Calls are neither answered nor carried out.
  kOutage,
  // Writes take effect but are not answered.
  kLostReplies,
  // The next write to a key that ends in "/head" is answered; then the outage
  // begins, before any blocking query sees the write.
  kOutageAfterHead,
};

struct Value {
  std::string text;
  uint64_t modify_index = 0;
};

struct Waiter {
  std::string key;
  uint64_t index = 0;
  ExchangePointer exchange;
  TimerId timer = 0;
};

struct State {
  EventLoop& loop;
  Mode mode = Mode::kServing;
  uint64_t index = 1;
  uint64_t reads = 0;
  uint64_t writes = 0;
  std::map<std::string, Value> values;
  std::map<uint64_t, Waiter> waiters;
  uint64_t last_waiter = 0;
  // Exchanges that never get an answer, kept so that they stay open.
  std::vector<ExchangePointer> unanswered;
};

std::string EncodeBase64(const std::string& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(length));
  return text;
}

uint64_t ParseNumber(const std::string& text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

uint64_t IndexOf(const State& state, const std::string& key) {
  const auto found = state.values.find(key);
  return found == state.values.end() ? 1 : found->second.modify_index;
}

void AnswerRead(const State& state,
                const std::string& key,
                const ExchangePointer& exchange) {
  http::Response response;
  response.headers = {{"content-type", "application/json"},
                      {"x-consul-index", std::to_string(IndexOf(state, key))}};
  const auto found = state.values.find(key);
  if (found == state.values.end()) {
    response.status = 404;
  } else {
    const json row = {{"Key", key},
                      {"Value", EncodeBase64(found->second.text)},
                      {"ModifyIndex", found->second.modify_index}};
    response.body = json::array({row}).dump();
  }
  exchange->Respond(response);
}

void WakeWaiter(State& state, uint64_t id) {
  const auto found = state.waiters.find(id);
  if (found == state.waiters.end()) {
    return;
  }
  const Waiter waiter = std::move(found->second);
  state.waiters.erase(found);
  state.loop.Cancel(waiter.timer);
  if (state.mode == Mode::kOutage) {
    state.unanswered.push_back(waiter.exchange);
    return;
  }
  AnswerRead(state, waiter.key, waiter.exchange);
}

void WakeWaiters(State& state, const std::string& key) {
  std::vector<uint64_t> woken;
  for (const auto& [id, waiter] : state.waiters) {
    if (waiter.key == key && waiter.index < IndexOf(state, key)) {
      woken.push_back(id);
    }
  }
  for (const uint64_t id : woken) {
    WakeWaiter(state, id);
  }
}

void HandleRead(State& state,
                const std::string& key,
                const http::Request& request,
                const ExchangePointer& exchange) {
  ++state.reads;
  const uint64_t index =
      ParseNumber(http::FindQueryValue(request.query, "index"));
  if (index == 0 || index < IndexOf(state, key)) {
    AnswerRead(state, key, exchange);
    return;
  }
  const auto wait = std::chrono::seconds(
      ParseNumber(http::FindQueryValue(request.query, "wait")));
  const uint64_t id = ++state.last_waiter;
  Waiter waiter{key, index, exchange, 0};
  waiter.timer =
      state.loop.RunAfter(wait, [&state, id] { WakeWaiter(state, id); });
  state.waiters.emplace(id, std::move(waiter));
  exchange->OnDisconnect([&state, id] {
    const auto found = state.waiters.find(id);
    if (found != state.waiters.end()) {
      state.loop.Cancel(found->second.timer);
      state.waiters.erase(found);
    }
  });
}

void HandleWrite(State& state,
                 const std::string& key,
                 const http::Request& request,
                 const ExchangePointer& exchange) {
  ++state.writes;
  const std::string expected = http::FindQueryValue(request.query, "cas");
  const auto found = state.values.find(key);
  const uint64_t version =
      found == state.values.end() ? 0 : found->second.modify_index;
  const bool is_written = expected.empty() || ParseNumber(expected) == version;
  if (is_written) {
    state.values[key] = {request.body, ++state.index};
  }
  if (state.mode == Mode::kLostReplies) {
    state.unanswered.push_back(exchange);
  } else {
    exchange->Respond({.body = is_written ? "true" : "false"});
  }
  if (is_written && state.mode == Mode::kOutageAfterHead &&
      key.ends_with("/head")) {
    state.mode = Mode::kOutage;
  }
  if (is_written) {
    WakeWaiters(state, key);
  }
}

Mode ParseMode(const std::string& mode) {
  static const std::map<std::string, Mode> modes{
      {"outage", Mode::kOutage},
      {"lost_replies", Mode::kLostReplies},
      {"outage_after_head", Mode::kOutageAfterHead}};
  const auto found = modes.find(mode);
  return found == modes.end() ? Mode::kServing : found->second;
}

void HandleControl(State& state,
                   const http::Request& request,
                   const ExchangePointer& exchange) {
  const json document = json::parse(request.body, nullptr, false);
  const std::string mode = document.value("mode", "serving");
  state.mode = ParseMode(mode);
  if (document.contains("restore")) {
    // Replaces the stored values, as a restore from an older backup does.
    for (const auto& [key, text] : document["restore"].items()) {
      state.values[key] = {text.get<std::string>(), ++state.index};
      WakeWaiters(state, key);
    }
  }
  exchange->Respond({.body = json{{"mode", mode},
                                  {"reads", state.reads},
                                  {"writes", state.writes},
                                  {"waiters", state.waiters.size()}}
                                 .dump()});
}

void Handle(State& state,
            const http::Request& request,
            const ExchangePointer& exchange) {
  constexpr std::string_view kPrefix = "/v1/kv/";
  if (request.path == "/control") {
    HandleControl(state, request, exchange);
    return;
  }
  if (!request.path.starts_with(kPrefix)) {
    exchange->Respond({.status = 404});
    return;
  }
  if (state.mode == Mode::kOutage) {
    state.unanswered.push_back(exchange);
    return;
  }
  const std::string key = request.path.substr(kPrefix.size());
  if (request.method == "PUT") {
    HandleWrite(state, key, request, exchange);
  } else {
    HandleRead(state, key, request, exchange);
  }
}

}  // namespace

}  // namespace bramleyspan::standins

int main(int argument_count, char** arguments) {
  using namespace bramleyspan::standins;
  return Run(
      argument_count, arguments, FLAGS_address,
      [](bramleyspan::EventLoop& loop) { return State{loop}; }, Handle);
}

// Records what targets ask of their callers in their answers, and logs when it
// changes.
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "LibHTTP/Parser.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"

namespace bramleyspan::gatewayd {

class SignalRecorder {
 public:
  // `on_change` is called when an answer changes what is known.
  SignalRecorder(GatewayState& state, std::function<void()> on_change)
      : state(state), on_change(std::move(on_change)) {}

  // Handles the head of a target's own answer to a request sent at `sent_at`.
  void RecordAnswer(const std::string& target,
                    const http::AnswerHead& head,
                    TimePoint sent_at);

  // Logs that a target's limit has changed; `heard_from` is "answer" or "peer".
  void LogRateLimit(const std::string& target,
                    const gateway::RateLimit& before,
                    std::string_view heard_from) const;

  // Records that a request is sent to a target.
  void RecordSent(const std::string& target, const std::string& service);

  // Counts a request of a caller if a target of its service backs off.
  void CountHeldBack(const std::string& service) const;

  void UpdateGauges() const;

  // Returns the signals of a target for the dump; null if it has sent none.
  nlohmann::json Dump(const std::string& target) const;

 private:
  void RecordBackoff(const std::string& target,
                     const gateway::AnswerSignals& signals,
                     TimePoint sent_at);
  std::string ServiceOf(const std::string& target) const;

  GatewayState& state;
  std::function<void()> on_change;
};

}  // namespace bramleyspan::gatewayd

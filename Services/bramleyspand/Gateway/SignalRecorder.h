// Records what targets ask of their callers in their answers, and logs when it
// changes.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "LibHTTP/Parser.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"

namespace bramleyspan::gatewayd {

class SignalRecorder {
 public:
  explicit SignalRecorder(GatewayState& state) : state(state) {}

  // Handles the head of a target's own answer to a request sent at `sent_at`.
  void RecordAnswer(const std::string& target,
                    const std::string& service,
                    const http::AnswerHead& head,
                    TimePoint sent_at);

  // Counts a request that is sent to a target.
  void CountSent(const std::string& target, const std::string& service) const;

  void UpdateGauges() const;

  // Returns the signals of a target for the dump; null if it has sent none.
  nlohmann::json Dump(const std::string& target) const;

 private:
  GatewayState& state;
};

}  // namespace bramleyspan::gatewayd

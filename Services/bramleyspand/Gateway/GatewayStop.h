// The planned stop of a gateway: serves the callers that still have its
// address, waits until nothing is open, and ends the process.
#pragma once

#include "LibHTTP/Ingress.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"
#include "Services/bramleyspand/Gateway/Repeats.h"
#include "Services/bramleyspand/Gateway/UsageRecorder.h"

namespace bramleyspan::gatewayd {

class GatewayStop {
 public:
  GatewayStop(GatewayState& state, Repeats& repeats, UsageRecorder& usage)
      : state(state), repeats(repeats), usage(usage) {}

  // Begins the stop; `callers` is the address that callers connect to.
  void Start(http::Ingress& callers);

 private:
  void StopWhenIdle();
  void LogWork(std::string_view event) const;
  // Names what the end of the process cuts.
  void LogCut() const;
  void WriteUsageOnce();

  GatewayState& state;
  Repeats& repeats;
  UsageRecorder& usage;
  http::Ingress* callers = nullptr;
  TimePoint began;
  TimePoint logged_at;
  bool is_writing_usage = false;
  bool is_usage_written = false;
};

}  // namespace bramleyspan::gatewayd

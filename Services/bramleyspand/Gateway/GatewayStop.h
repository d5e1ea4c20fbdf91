// The planned stop of a gateway. LibDrain decides its course; this performs it.
#pragma once

#include "LibDrain/PlannedStop.h"
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
  drain::PlannedStop& stop() { return *this->state.stop; }
  drain::StopWork FindWork() const;
  void Check();
  // Does what follows from the end of a phase.
  void LeavePhase(drain::StopPhase before, const drain::StopWork& work);
  // Ends all that is still open, since the process is about to be killed.
  void EndOpen();
  void LogWork(std::string_view event) const;
  void WriteUsageOnce();

  GatewayState& state;
  Repeats& repeats;
  UsageRecorder& usage;
  http::Ingress* callers = nullptr;
  TimePoint logged_at;
  bool is_writing_usage = false;
  bool is_usage_written = false;
};

}  // namespace bramleyspan::gatewayd

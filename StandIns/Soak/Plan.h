// Draws what a soak of planned stops plays: a fleet, its callers and a schedule
// of signals, restarts and other planned work that overlap.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bramleyspan::standins {

enum class Act {
  // SIGTERM to a gateway or a rank's agent, which starts again a while after
  // its end.
  kStopGateway,
  kStopRank,
  // A further SIGTERM, or a SIGHUP, to a gateway.
  kSignalAgain,
  kReload,
  // Sets the store's mode, or the state that the group reports, for a while.
  kStore,
  kGroup,
  // The group begins no pass for a while.
  kPause,
  // The operator writes a new desired state.
  kConfigure,
};

struct Step {
  std::chrono::milliseconds at{};
  Act act = Act::kStopGateway;
  // The gateway or rank, counted from 1.
  int number = 0;
  // The mode or state.
  std::string word;
  // How long a mode, state or pause lasts, or the time from the end of a
  // process to its next start.
  std::chrono::milliseconds wait{};
  // Whether the process that starts again is stopped so long after its start.
  bool is_stopped_at_start = false;
  std::chrono::milliseconds stop_after_start{};
};

// Callers of one sort, as flags of StandInGatewayCallers.
struct CallerSort {
  std::string name;
  std::vector<std::string> flags;
};

struct Plan {
  uint64_t seed = 0;
  int gateways = 2;
  int ranks = 2;
  std::chrono::milliseconds pass{};
  std::chrono::milliseconds work{};
  // Of the routes and of callers.
  std::chrono::milliseconds time_limit{};
  std::vector<CallerSort> callers;
  // By time.
  std::vector<Step> steps;
  // When all gateways are stopped at once, which ends the soak.
  std::chrono::milliseconds end{};
};

Plan DrawPlan(uint64_t seed, std::chrono::seconds length);

// Returns one line, without its end.
std::string Describe(const Step& step);
// Returns the lines of a plan.
std::string Describe(const Plan& plan);

}  // namespace bramleyspan::standins

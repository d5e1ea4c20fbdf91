// Finds out whether a target has ended when requests there end without their
// answers. A target that refuses connections has ended; one that accepts them
// has only closed or lost the request's connection.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibHTTP/ConnectCheck.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"
#include "Services/bramleyspand/Gateway/LostRequest.h"

namespace bramleyspan::gatewayd {

// A target that does not answer for so long tells nothing. Within a region a
// connection takes 1 to 2 ms.
inline constexpr Duration kTargetCheckTimeout = std::chrono::milliseconds(250);

class TargetEnds {
 public:
  using OnChecked = std::function<void(http::ConnectOutcome outcome)>;

  explicit TargetEnds(GatewayState& state) : state(state) {}

  // Checks the target of a request that may be lost, unless a check has just
  // begun or has just shown that the target has ended. Records the request if
  // so. `on_checked` is called later, within
  // kTargetCheckTimeout.
  void Check(LostRequest lost, OnChecked on_checked);

 private:
  // The check of one target.
  struct TargetCheck {
    // Whether it has shown that the target has ended.
    bool is_done = false;
    TimePoint began;
    std::vector<LostRequest> lost;
    std::vector<OnChecked> on_checked;
  };

  void HandleOutcome(const std::string& target,
                     const std::shared_ptr<TargetCheck>& check,
                     http::ConnectOutcome outcome);
  void RecordEnd(const TargetCheck& check) const;
  static void LogLost(const LostRequest& lost);
  void RemoveOldChecks(TimePoint now);

  GatewayState& state;
  // By target: the last check that began, while it runs, or has lately shown
  // that the target has ended.
  std::map<std::string, std::shared_ptr<TargetCheck>> checks;
};

}  // namespace bramleyspan::gatewayd

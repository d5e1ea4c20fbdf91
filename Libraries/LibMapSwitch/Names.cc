// The stable names of phases and orders, for logs and dumps.
#include "LibMapSwitch/Switch.h"

namespace bramleyspan::mapswitch {

std::string NameOf(const OrderBody& body) {
  struct Namer {
    std::string operator()(const Prepare&) const { return "prepare"; }
    std::string operator()(const Arm&) const { return "arm"; }
    std::string operator()(const Hold&) const { return "hold"; }
    std::string operator()(const Go&) const { return "go"; }
  };
  return std::visit(Namer{}, body);
}

std::string_view NameOf(SwitchPhase phase) {
  switch (phase) {
    case SwitchPhase::kIdle:
      return "idle";
    case SwitchPhase::kPreparing:
      return "preparing";
    case SwitchPhase::kHolding:
      return "holding";
    case SwitchPhase::kConfirming:
      return "confirming";
    case SwitchPhase::kArmingOwner:
      return "arming_owner";
    case SwitchPhase::kArming:
      return "arming";
    case SwitchPhase::kReleasing:
      return "releasing";
    case SwitchPhase::kAborting:
      return "aborting";
  }
  return "idle";
}

}  // namespace bramleyspan::mapswitch

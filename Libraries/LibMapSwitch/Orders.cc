// What the owner lets each rank know of the switch, and the orders that an
// agent gives its server to reach the desired map.
#include "LibMapSwitch/Switch.h"

namespace bramleyspan::mapswitch {

namespace {

// The holder's order besides its own arm.
std::optional<OrderBody> HolderOrder(const DesiredMap& desired_map,
                                     const RankStatus& own) {
  if (desired_map.holder != own.rank || desired_map.hold_step == 0) {
    return std::nullopt;
  }
  if (desired_map.is_aborted) {
    // No rank is armed for any pass.
    const bool may_go = own.held != 0 && own.held <= desired_map.hold_step;
    return may_go ? std::optional<OrderBody>(Go{.step = own.held})
                  : std::nullopt;
  }
  if (desired_map.is_released) {
    // All ranks are armed for arm_step and none for an earlier pass.
    const bool may_go = own.held != 0 && own.held <= desired_map.arm_step;
    return may_go ? std::optional<OrderBody>(Go{.step = own.held})
                  : std::nullopt;
  }
  const bool may_hold =
      own.held == 0 && own.armed == 0 && desired_map.arm_step == 0 &&
      own.prepared == desired_map.version && own.step < desired_map.hold_step;
  return may_hold
             ? std::optional<OrderBody>(Hold{.step = desired_map.hold_step})
             : std::nullopt;
}

}  // namespace

DesiredMap DesiredMapFor(const MapSwitch& map_switch, uint32_t rank) {
  DesiredMap desired_map = map_switch.desired_map;
  if (map_switch.phase == SwitchPhase::kArmingOwner && rank != 0) {
    desired_map.arm_step = 0;
  }
  if (map_switch.phase != SwitchPhase::kAborting) {
    return desired_map;
  }
  if (rank == 0) {
    desired_map.version = map_switch.abort_version;
    if (!map_switch.abort_map.empty()) {
      desired_map.map = map_switch.abort_map;
    }
    // A holder beside the owner releases the group like any other.
    if (!desired_map.is_aborted) {
      desired_map.hold_step = 0;
    }
  } else if (map_switch.is_unknown_switch && !desired_map.is_aborted) {
    // The owner's rank may still become armed for the switch that is to be
    // aborted. An agent that had received the higher version would take no
    // order to arm for that switch any more.
    desired_map.version = 0;
    desired_map.hold_step = 0;
  }
  return desired_map;
}

std::optional<Order> NextOrder(const DesiredMap& desired_map,
                               const RankStatus& own) {
  if (desired_map.epoch != own.epoch) {
    return std::nullopt;
  }
  Order order{.epoch = own.epoch, .expected_sequence = own.sequence};
  const auto holder_order = HolderOrder(desired_map, own);
  if (holder_order) {
    order.body = *holder_order;
    return order;
  }
  const bool is_done = own.map >= desired_map.version;
  if (desired_map.version == 0 || is_done) {
    return std::nullopt;
  }
  if (desired_map.arm_step != 0) {
    const bool is_armed = own.armed == desired_map.version &&
                          own.armed_step == desired_map.arm_step;
    if (is_armed || own.prepared != desired_map.version) {
      return std::nullopt;
    }
    order.body =
        Arm{.version = desired_map.version, .step = desired_map.arm_step};
    return order;
  }
  const bool may_prepare =
      own.prepared < desired_map.version && own.armed == 0 && !own.is_busy;
  if (!may_prepare || desired_map.map.empty()) {
    return std::nullopt;
  }
  order.body = Prepare{.version = desired_map.version, .map = desired_map.map};
  return order;
}

}  // namespace bramleyspan::mapswitch

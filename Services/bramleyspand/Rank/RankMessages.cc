#include "Services/bramleyspand/Rank/RankMessages.h"

#include <arpa/inet.h>

#include <algorithm>
#include <utility>

#include "LibMapSwitch/MapChanges.h"

namespace bramleyspan::rankd {

namespace {

constexpr uint16_t kLargestSmall = 255;

using Lists = std::vector<std::vector<uint16_t>>;

membership::wire::MapWishT WithoutLists(
    const mapswitch::DesiredMap& desired_map,
    const std::string& group) {
  membership::wire::MapWishT wire;
  wire.group = group;
  wire.epoch = desired_map.epoch;
  wire.version = desired_map.version;
  wire.hold_step = desired_map.hold_step;
  wire.holder = desired_map.holder;
  wire.arm_step = desired_map.arm_step;
  wire.is_released = desired_map.is_released;
  wire.is_held = desired_map.is_held;
  wire.is_aborted = desired_map.is_aborted;
  return wire;
}

void AddLists(membership::wire::MapWishT& wire, const Lists& lists) {
  for (const auto& list : lists) {
    wire.lengths.push_back(static_cast<uint8_t>(list.size()));
    wire.experts.insert(wire.experts.end(), list.begin(), list.end());
  }
  const bool is_small =
      std::all_of(wire.experts.begin(), wire.experts.end(),
                  [](uint16_t expert) { return expert <= kLargestSmall; });
  if (is_small) {
    wire.small_experts.assign(wire.experts.begin(), wire.experts.end());
    wire.experts.clear();
  }
}

Lists DecodeLists(const membership::wire::MapWishT& desired_map) {
  std::vector<uint16_t> experts = desired_map.experts;
  experts.insert(experts.end(), desired_map.small_experts.begin(),
                 desired_map.small_experts.end());
  Lists lists;
  size_t at = 0;
  for (const uint8_t length : desired_map.lengths) {
    const size_t end = std::min(experts.size(), at + length);
    lists.emplace_back(experts.begin() + static_cast<int64_t>(at),
                       experts.begin() + static_cast<int64_t>(end));
    at = end;
  }
  return lists;
}

mapswitch::ExpertLists GroupBySet(Lists lists, uint32_t ranks) {
  mapswitch::ExpertLists map;
  for (size_t i = 0; i < lists.size() && ranks > 0; ++i) {
    if (i % ranks == 0) {
      map.emplace_back();
    }
    map.back().push_back(std::move(lists[i]));
  }
  return map;
}

uint32_t ToNumber(const std::string& ip) {
  return ntohl(ToSocketAddress({ip, 0}).sin_addr.s_addr);
}

}  // namespace

membership::wire::RankStatusT ToWire(const mapswitch::RankStatus& status,
                                     const Address& server) {
  membership::wire::RankStatusT wire;
  wire.address = Format(server);
  wire.group = status.group;
  wire.epoch = status.epoch;
  wire.rank = status.rank;
  wire.size = status.size;
  wire.is_open = status.is_open;
  wire.is_busy = status.is_busy;
  wire.sequence = status.sequence;
  wire.running = status.running;
  wire.queued = status.queued;
  wire.pace = status.pace;
  wire.is_losing_orders = status.is_losing_orders;
  wire.step = status.step;
  wire.map = status.map;
  wire.prepared = status.prepared;
  wire.armed = status.armed;
  wire.armed_step = status.armed_step;
  wire.held = status.held;
  return wire;
}

membership::wire::RankStatusT ToWireForGateways(
    const mapswitch::RankStatus& status,
    const Address& server) {
  membership::wire::RankStatusT wire;
  wire.address = Format(server);
  wire.group = status.group;
  wire.epoch = status.epoch;
  wire.rank = status.rank;
  wire.size = status.size;
  wire.is_open = status.is_open;
  wire.running = status.running;
  wire.queued = status.queued;
  wire.pace = status.pace;
  return wire;
}

mapswitch::RankStatus FromWire(const membership::wire::RankStatusT& status) {
  return {.group = status.group,
          .epoch = status.epoch,
          .rank = status.rank,
          .size = status.size,
          .is_open = status.is_open,
          .is_busy = status.is_busy,
          .sequence = status.sequence,
          .running = status.running,
          .queued = status.queued,
          .pace = status.pace,
          .is_losing_orders = status.is_losing_orders,
          .step = status.step,
          .map = status.map,
          .prepared = status.prepared,
          .armed = status.armed,
          .armed_step = status.armed_step,
          .held = status.held};
}

membership::wire::MapWishT ToWire(const mapswitch::DesiredMap& desired_map,
                                  const std::string& group) {
  auto wire = WithoutLists(desired_map, group);
  std::vector<std::vector<uint16_t>> lists;
  for (const auto& set : desired_map.map) {
    lists.insert(lists.end(), set.begin(), set.end());
  }
  AddLists(wire, lists);
  return wire;
}

std::optional<membership::wire::MapWishT> ToWireAsChanges(
    const mapswitch::DesiredMap& desired_map,
    const std::string& group,
    const VersionedMap& base) {
  const auto changes = mapswitch::Compare(base.map, desired_map.map);
  if (!changes || base.epoch != desired_map.epoch || base.version == 0) {
    return std::nullopt;
  }
  auto wire = WithoutLists(desired_map, group);
  wire.base_version = base.version;
  wire.changed = changes->indices;
  AddLists(wire, changes->lists);
  return wire;
}

mapswitch::DesiredMap FromWire(const membership::wire::MapWishT& desired_map,
                               uint32_t ranks,
                               const VersionedMap& base) {
  mapswitch::DesiredMap result{.epoch = desired_map.epoch,
                               .version = desired_map.version,
                               .hold_step = desired_map.hold_step,
                               .holder = desired_map.holder,
                               .is_held = desired_map.is_held,
                               .arm_step = desired_map.arm_step,
                               .is_released = desired_map.is_released,
                               .is_aborted = desired_map.is_aborted};
  auto lists = DecodeLists(desired_map);
  if (desired_map.base_version == 0) {
    result.map = GroupBySet(std::move(lists), ranks);
    return result;
  }
  if (desired_map.base_version == base.version &&
      desired_map.epoch == base.epoch) {
    result.map = mapswitch::Apply(base.map, {.indices = desired_map.changed,
                                             .lists = std::move(lists)})
                     .value_or(mapswitch::ExpertLists{});
  }
  return result;
}

membership::wire::RankRow ToRow(const mapswitch::RankStatus& status,
                                const Address& server,
                                const std::string& agent_ip) {
  return {ToNumber(agent_ip), ToNumber(server.ip),
          status.rank,        static_cast<float>(status.pace),
          server.port,        status.is_open};
}

}  // namespace bramleyspan::rankd

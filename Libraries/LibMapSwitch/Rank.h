// A rank of a group that steps on its own clock: what it reports, and the
// orders by which it changes its expert map.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Kernel/Result.h"

namespace bramleyspan::mapswitch {

// The experts that each rank holds, by set and rank.
using ExpertLists = std::vector<std::vector<std::vector<uint16_t>>>;

// Zero names no map and no step.
using Version = uint64_t;
using Step = uint64_t;

struct RankStatus {
  std::string group;
  // New at each forming of the group, which forgets everything before it.
  uint64_t epoch = 0;
  uint32_t rank = 0;
  uint32_t size = 0;
  bool is_open = false;
  // Whether an order is in progress.
  bool is_busy = false;
  // Orders accepted since the rank started.
  uint64_t sequence = 0;
  uint32_t running = 0;
  uint32_t queued = 0;
  // How many times as long as usual the rank's work takes.
  double pace = 1;
  // Whether its agent had no answer to an order a moment ago.
  bool is_losing_orders = false;
  // The last pass begun.
  Step step = 0;
  Version map = 0;
  // The map whose copies are complete.
  Version prepared = 0;
  Version armed = 0;
  Step armed_step = 0;
  Step held = 0;

  bool operator==(const RankStatus&) const = default;
};

// Copies what the map needs beside what is in use.
struct Prepare {
  Version version = 0;
  ExpertLists map;
};
// Switches to the map as the pass begins.
struct Arm {
  Version version = 0;
  Step step = 0;
};
// Keeps the whole group from beginning the pass.
struct Hold {
  Step step = 0;
};
// Lets the group begin the pass.
struct Go {
  Step step = 0;
};
using OrderBody = std::variant<Prepare, Arm, Hold, Go>;

// An order that was not answered may be carried out much later. One that
// names an epoch and a sequence is refused once the group was formed anew or
// the rank took any other order meanwhile.
struct Order {
  uint64_t epoch = 0;
  uint64_t expected_sequence = 0;
  OrderBody body;
};

// The stable name of an order's kind.
std::string NameOf(const OrderBody& body);

// How often a rank's requests chose each expert since it started.
struct ExpertCounts {
  uint64_t epoch = 0;
  Step step = 0;
  std::vector<uint64_t> counts;
};

// How a platform's model servers spell this.
struct RankAdapter {
  std::string report_path;
  std::string counts_path;
  std::string lists_path;
  std::string order_path;
  // Each fails with kMalformedDocument.
  Result<RankStatus> (*parse_report)(const std::string& body) = nullptr;
  Result<ExpertCounts> (*parse_counts)(const std::string& body) = nullptr;
  // The experts in use at the rank, by set.
  Result<std::vector<std::vector<uint16_t>>> (*parse_lists)(
      const std::string& body) = nullptr;
  std::string (*write_order)(const Order& order) = nullptr;
};

using MakeRankAdapter = RankAdapter (*)();

}  // namespace bramleyspan::mapswitch

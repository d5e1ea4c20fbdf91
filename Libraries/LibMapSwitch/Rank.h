// What a model server reports of its rank, and the orders that change the
// expert map of its group. Each rank of a group steps on its own clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Kernel/Result.h"

namespace bramleyspan::mapswitch {

// The experts that each rank holds, indexed by set and rank.
using ExpertLists = std::vector<std::vector<std::vector<uint16_t>>>;

// Zero stands for no map and no step.
using Version = uint64_t;
using Step = uint64_t;

struct RankStatus {
  std::string group;
  // Changes each time the group is re-formed; no state is kept from one epoch
  // to the next.
  uint64_t epoch = 0;
  uint32_t rank = 0;
  uint32_t size = 0;
  // Whether the group is open for requests.
  bool is_open = false;
  // Whether the rank is still carrying out an order.
  bool is_busy = false;
  // Orders accepted since the rank started.
  uint64_t sequence = 0;
  uint32_t running = 0;
  uint32_t queued = 0;
  // Factor by which the rank's work takes longer than usual.
  double pace = 1;
  // Whether an order that its agent sent recently was not answered.
  bool is_losing_orders = false;
  // The last pass that has begun.
  Step step = 0;
  Version map = 0;
  // The map whose copies are complete.
  Version prepared = 0;
  // The map to switch to at the beginning of pass armed_step.
  Version armed = 0;
  Step armed_step = 0;
  // The pass that the rank keeps the group from beginning; 0 for none.
  Step held = 0;

  bool operator==(const RankStatus&) const = default;
};

// Copies the experts that the map needs and the rank does not hold.
struct Prepare {
  Version version = 0;
  ExpertLists map;
};
// Switches to the map at the beginning of the pass.
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

// An order that was not answered may be carried out much later. An order with
// an epoch and an expected sequence is refused if the group was re-formed or
// the rank accepted another order in the meantime.
struct Order {
  uint64_t epoch = 0;
  uint64_t expected_sequence = 0;
  OrderBody body;
};

// The stable name of an order's kind.
std::string NameOf(const OrderBody& body);

// How often a rank's requests selected each expert since the rank started.
struct ExpertCounts {
  uint64_t epoch = 0;
  Step step = 0;
  std::vector<uint64_t> counts;
};

// Converts between these types and the format of a platform's model servers.
struct RankAdapter {
  std::string report_path;
  std::string counts_path;
  std::string lists_path;
  std::string order_path;
  // Each fails with kMalformedDocument.
  Result<RankStatus> (*parse_report)(const std::string& body) = nullptr;
  Result<ExpertCounts> (*parse_counts)(const std::string& body) = nullptr;
  // Returns the experts in use at the rank, by set.
  Result<std::vector<std::vector<uint16_t>>> (*parse_lists)(
      const std::string& body) = nullptr;
  std::string (*write_order)(const Order& order) = nullptr;
};

using MakeRankAdapter = RankAdapter (*)();

}  // namespace bramleyspan::mapswitch

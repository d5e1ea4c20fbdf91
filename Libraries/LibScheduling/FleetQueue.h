// What waits for permits at all gateways, as the agent of a rank learns it from
// their probes.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Kernel/Time.h"
#include "LibScheduling/StreamClass.h"

namespace bramleyspan::scheduling {

struct GatewayQueue {
  std::vector<ClassCount> waiting;
  TimePoint received_at;
};

struct FleetQueue {
  // By the gateway's address.
  std::map<std::string, GatewayQueue> gateways;
};

// Replaces what is known of a gateway.
void RecordQueue(FleetQueue& queue,
                 const std::string& gateway,
                 std::vector<ClassCount> waiting,
                 TimePoint now);

// Returns the sums over the gateways that were heard lately, in the order of
// the classes.
std::vector<ClassCount> SumOf(const FleetQueue& queue, TimePoint now);

// Whether streams of a less urgent priority wait.
bool has_less_urgent(const FleetQueue& queue, int32_t priority, TimePoint now);

}  // namespace bramleyspan::scheduling

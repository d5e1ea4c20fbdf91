// Days of servers that end under single requests, or for other reasons, in
// virtual time: gateways run the daemon's decisions on requests and exchange
// what they know; messages are late and get lost.
#pragma once

#include <cstdint>
#include <vector>

#include "LibGateway/Quarantine.h"

namespace bramleyspan::gateway {

struct RequestDay {
  size_t gateways = 6;
  size_t servers = 16;
  // Sound requests a second, at all gateways together. Their callers retry
  // once.
  double sound = 60;
  // Requests under which servers end: each is sent again and again for 10 s, to
  // another gateway each time, and ends its server after `kills`.
  size_t killing = 0;
  Duration kills = std::chrono::milliseconds(40);
  // Whether impatient callers send each attempt to two gateways at once.
  bool is_doubled = false;
  // Servers that end for other reasons: one at a time, in ends a second, and a
  // third of all within `spread`, so often a day.
  double random_ends = 0;
  size_t zone_failures = 0;
  Duration spread = std::chrono::milliseconds(300);
  // Whether all gateways are restarted once, one by one.
  bool is_rolling = false;
  double loss = 0.05;
  Duration down = std::chrono::seconds(4);
  Duration run_time = std::chrono::seconds(60);
  uint64_t seed = 1;
};

struct RequestDayResult {
  size_t sound = 0;
  size_t sound_lost = 0;
  // Sound requests that were held back.
  size_t sound_held = 0;
  // Servers that ended under one killing request, at most.
  size_t most_ends = 0;
  // Killing requests that reached servers later than 0.3 s after the third end
  // under them.
  size_t late = 0;
  size_t all_ends = 0;
  size_t most_records = 0;
  size_t messages = 0;
};

RequestDayResult RunRequestDay(const RequestDay& day);

}  // namespace bramleyspan::gateway

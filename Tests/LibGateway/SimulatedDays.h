// Days of servers that end, in virtual time: gateways run the daemon's
// decisions on parts of prompts and exchange what they know; messages are late
// and get lost.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "LibGateway/Quarantine.h"

namespace bramleyspan::gateway {

struct SimulatedDay {
  size_t gateways = 6;
  size_t servers = 16;
  // Requests a second, at all gateways together: sound ones, and those under
  // which servers end.
  double sound = 60;
  double bad = 0;
  // Part of the sound requests that share a document besides the first part,
  // and the number of documents, some of them popular and most of them rare.
  double with_document = 0.7;
  size_t documents = 300;
  // Servers that end for other reasons: one at a time, in ends a second, and a
  // third of all within `spread`, so often a day.
  double random_ends = 0;
  size_t zone_failures = 0;
  Duration spread = std::chrono::milliseconds(300);
  // Whether all gateways are restarted once, one by one.
  bool is_rolling = false;
  double loss = 0.05;
  // Time before the first failure and the first bad request. Gateways that have
  // all just started know no part that is answered.
  Duration calm = std::chrono::seconds(10);
  Duration down = std::chrono::seconds(4);
  Duration run_time = std::chrono::seconds(120);
  uint64_t seed = 1;
};

struct DayResult {
  size_t sound = 0;
  // Sound requests that were rejected because of a quarantined part, and the
  // sound parts that were ever quarantined.
  size_t sound_rejected = 0;
  std::set<std::string> sound_parts;
  size_t bad = 0;
  // Servers that ended under the part, until the first quarantine and in all.
  size_t ends_until_known = 0;
  size_t ends_under_part = 0;
  // Requests with the part that reached servers later than 3 s after the fifth
  // of these ends.
  size_t late = 0;
  size_t other_ends = 0;
};

DayResult RunDay(const SimulatedDay& day);

}  // namespace bramleyspan::gateway

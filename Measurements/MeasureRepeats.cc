// Measures over simulated fleets how many windows hold more repeats than are
// allowed, and how many of the allowed and of the wanted ones are sent.
#include <algorithm>
#include <cstdio>
#include <string>

#include "Tests/LibGateway/SimulatedRepeats.h"

namespace bramleyspan::gateway {

namespace {

constexpr uint64_t kSeeds = 5;

std::set<size_t> Numbers(size_t first, size_t end) {
  std::set<size_t> numbers;
  for (size_t number = first; number < end; ++number) {
    numbers.insert(number);
  }
  return numbers;
}

void Measure(const char* name, SimulatedRepeats fleet) {
  RepeatsResult sum;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    fleet.seed = seed;
    const RepeatsResult result = Play(fleet);
    sum.repeats += result.repeats;
    sum.wanted += result.wanted;
    sum.broken_windows += result.broken_windows;
    sum.used = std::max(sum.used, result.used);
  }
  std::printf("| %s | %zu | %.1f | %zu | %.2f | %.2f |\n", name, fleet.gateways,
              fleet.failing, sum.broken_windows, sum.used,
              static_cast<double>(sum.repeats) /
                  static_cast<double>(std::max<size_t>(1, sum.wanted)));
}

// The part of attempts that fails: most, a third, one in ten.
void MeasureFleet(size_t gateways, double failing) {
  using Kind = FleetEvent::Kind;
  const SimulatedRepeats calm{.gateways = gateways, .failing = failing};
  const std::set<size_t> all = Numbers(0, gateways);
  Measure("nobody starts anew", calm);

  SimulatedRepeats fleet = calm;
  for (const int after : {2, 4, 7}) {
    fleet.events.push_back(
        {.kind = Kind::kKilled,
         .at = calm.errors_from + std::chrono::seconds(after),
         .gateways = all});
  }
  Measure("all killed three times", fleet);

  fleet = calm;
  fleet.events.push_back({.kind = Kind::kKilled,
                          .at = calm.errors_from - std::chrono::seconds(1),
                          .gateways = all});
  Measure("all killed a second before the errors", fleet);
  if (gateways == 1) {
    return;
  }

  fleet.events[0].gateways = {0};
  Measure("one killed a second before the errors", fleet);

  for (const Kind kind : {Kind::kKilled, Kind::kDrained}) {
    fleet = calm;
    for (size_t number = 0; number < gateways; ++number) {
      fleet.events.push_back(
          {.kind = kind,
           .at = calm.errors_from + std::chrono::milliseconds(1500) +
                 std::chrono::milliseconds(500) * (number % 14),
           .down = kind == Kind::kKilled ? std::chrono::milliseconds(500)
                                         : std::chrono::seconds(4),
           .gateways = {number}});
    }
    Measure(kind == Kind::kKilled ? "killed in turn" : "stopped in turn",
            fleet);
  }

  fleet = calm;
  fleet.events.push_back({.kind = Kind::kAdded,
                          .at = calm.errors_from + std::chrono::seconds(3),
                          .gateways = Numbers(gateways, 2 * gateways)});
  Measure("as many added", fleet);

  fleet = calm;
  fleet.events.push_back({.kind = Kind::kCutOff,
                          .at = calm.errors_from - std::chrono::seconds(15),
                          .down = std::chrono::seconds(40),
                          .gateways = Numbers(0, gateways / 2)});
  Measure("half cut off", fleet);
}

void MeasureAll() {
  std::puts(
      "| what happens | gateways | attempts that fail | broken windows in 5 "
      "plays | used of those allowed, most | sent of those wanted "
      "|\n|---|---|---|---|---|---|");
  for (const size_t gateways : {1, 2, 7, 13, 40}) {
    MeasureFleet(gateways, 0.8);
  }
  MeasureFleet(7, 0.3);
  MeasureFleet(7, 0.1);
}

}  // namespace

}  // namespace bramleyspan::gateway

int main() {
  bramleyspan::gateway::MeasureAll();
  return 0;
}

// Compares two ways in which gateways keep the limit of a target together, in
// virtual time: grants of one allocator, and an even share for each gateway.
#include <cstdio>

#include "Tests/LibGateway/SimulatedGateways.h"

namespace bramleyspan::measurements {

namespace {

using gateway::SimulatedGateways;
using gateway::SimulatedLoad;
using std::chrono::seconds;

void Measure(const SimulatedLoad& load) {
  SimulatedGateways gateways(load);
  gateways.Run();
  const double due =
      load.limit * std::chrono::duration<double>(load.run_time) / seconds(1);
  std::printf("| %s | %zu | %zu | %.1f | %zu | %.0f | %.2f |\n",
              load.is_evenly_shared ? "even share" : "allocator", load.gateways,
              load.used > 0 ? load.used : load.gateways, load.limit,
              gateways.MostIn(seconds(4), seconds(0)), 6 * load.limit + 5,
              static_cast<double>(gateways.sent().size()) / due);
}

}  // namespace

}  // namespace bramleyspan::measurements

int main() {
  using bramleyspan::measurements::Measure;
  std::puts(
      "| way | gateways | used | limit/s | most in 4 s | allowed | used of the "
      "limit |");
  std::puts("| --- | --- | --- | --- | --- | --- | --- |");
  for (const size_t gateways : {6, 42, 340}) {
    for (const size_t used : {gateways, size_t{3}}) {
      for (const double limit : {1.0, 20.0}) {
        for (const bool is_evenly_shared : {true, false}) {
          Measure({.gateways = gateways,
                   .limit = limit,
                   .requests = 3 * limit + 10,
                   .used = used,
                   .is_evenly_shared = is_evenly_shared,
                   .run_time = std::chrono::seconds(60)});
        }
      }
    }
  }
}

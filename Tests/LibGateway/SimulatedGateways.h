// Gateways that share the rate limit of one target, in virtual time: they run
// the daemon's decisions; messages between them are late and get lost.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "LibGateway/RateLimits.h"

namespace bramleyspan::gateway {

struct SimulatedLoad {
  size_t gateways = 6;
  double limit = 1;
  // The target is cold and takes that many requests because of it; it names no
  // limit.
  bool is_cold = false;
  // Callers' requests a second, at all gateways together.
  double requests = 40;
  // Gateways that callers use; 0 for all.
  size_t used = 0;
  // Each gateway keeps an even share of the limit by itself, for comparison.
  bool is_evenly_shared = false;
  // Share of the messages that get lost.
  double loss = 0;
  Duration run_time = std::chrono::seconds(30);
  uint64_t seed = 1;
};

class SimulatedGateways {
 public:
  explicit SimulatedGateways(const SimulatedLoad& load);

  // Calls `event` at a time of the run.
  void At(Duration time, std::function<void()> event);

  // From now on the gateway neither sends nor receives; the others notice
  // later.
  void Kill(size_t gateway);

  // Restarts the gateway: it has forgotten all but the limit, which the others
  // report.
  void Restart(size_t gateway);

  // Kills the gateway that grants the target's requests.
  void KillAllocator();

  // From now on the gateways from `first` on and the others are partitioned;
  // both sides notice later.
  void Partition(size_t first);

  void Run();

  // When requests were sent to the target, in order.
  const std::vector<Duration>& sent() const { return this->times; }

  // Returns the most requests in any span of that length from `begin` on.
  size_t MostIn(Duration span, Duration begin) const;

 private:
  struct Gateway {
    std::string name;
    bool is_alive = true;
    bool is_apart = false;
    RateLimit limit;
    limits::TokenBucket even_share;
    // Requests that wait for the allocator's reply.
    size_t waiting = 0;
    // By index of the other gateway: when it was last heard.
    std::vector<TimePoint> heard;
  };

  // Tells the gateway the limit, as an answer or the store does.
  void SetLimitAt(Gateway& gateway) const;
  bool CanReach(size_t from, size_t to) const;
  std::vector<size_t> LiveAt(size_t gateway) const;
  size_t AllocatorAt(size_t gateway) const;
  RateSharing SharingAt(size_t gateway) const;
  void HeartbeatAll();
  void Arrive();
  void TrySend(size_t gateway);
  void TrySendByEvenShare(size_t gateway);
  void Ask(size_t gateway, size_t allocator);
  void Reply(size_t allocator, size_t gateway, uint64_t number, double wanted);
  void ServeWaiting(size_t gateway);
  void Send(size_t from, size_t to, std::function<void()> receive);

  SimulatedLoad load;
  std::mt19937_64 random;
  TimePoint now;
  std::multimap<TimePoint, std::function<void()>> events;
  std::vector<Gateway> gateways;
  std::vector<Duration> times;
};

}  // namespace bramleyspan::gateway

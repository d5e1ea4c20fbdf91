// The desired state of the gateways: which service a request is sent to, who
// may send it, and how long it may take.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Kernel/Time.h"

namespace bramleyspan::gateway {

enum class RouteKind { kIdempotent, kNonIdempotent, kStreaming };

struct SplitPart {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  Duration timeout = std::chrono::seconds(5);
  // Time until the answer, or a stream's first event, that is on time.
  Duration objective = std::chrono::seconds(1);
  // The longest pause between two events of a stream that is on time.
  Duration longest_pause{};
  // Longest time between two events of a stream after which its caller
  // disconnects.
  Duration event_timeout = std::chrono::seconds(2);
  int priority = 0;
  std::vector<SplitPart> split;
  // Upper bound of the targets that one request may be sent to.
  int max_targets = 1;
  bool is_public = false;
  bool is_resumable = false;

  // Whether a request may run more than once.
  bool is_repeatable() const {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStreaming && this->is_resumable);
  }
};

// The configuration of a service's engines, as the service publishes it.
struct EngineShape {
  uint32_t slots = 1;
  // Steps of one pass; time of a step and of each sequence in it.
  uint32_t stride = 1;
  Duration step{};
  Duration step_per_sequence{};
  double read_tokens_per_second = 1;
  uint32_t chunk = 512;
  // Shape of the expert map; 0 sets if the engine has no experts.
  uint32_t sets = 0;
  uint32_t experts = 0;
  uint32_t expert_slots_per_rank = 0;
  // New experts that a rank can take in one set at a time.
  uint32_t spare = 0;
  double expert_megabytes = 0;
  double link_megabits_per_second = 0;
  double expert_share = 0;
  uint32_t typical_prompt = 1;
  uint32_t typical_answer = 1;
};

// Returns how long a rank takes to copy one expert's weights; zero if that is
// not known.
Duration CopyTimeOf(const EngineShape& engine);

struct Service {
  std::string name;
  uint32_t max_connections = 0;
  // Requests a second, from all gateways together, that a cold target takes; 0
  // for no limit.
  double warm_up_rate = 0;
  std::optional<EngineShape> engine;
  // The most and the least urgent priority of its streaming routes.
  int most_urgent_priority = 0;
  int least_urgent_priority = 0;

  // Whether its streams are of different priorities.
  bool has_priorities() const {
    return this->most_urgent_priority < this->least_urgent_priority;
  }
};

struct Tenant {
  std::string name;
  std::optional<int> priority;
};

// Limits on size and time of callers' requests.
struct CallerLimits {
  size_t header_bytes = 16384;
  size_t body_bytes = 4 << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

struct RouteTable {
  uint64_t version = 0;
  // By host in lower case; routes with longer prefixes come first.
  std::unordered_map<std::string, std::vector<std::shared_ptr<const Route>>>
      hosts;
  std::map<std::string, Service> services;
  std::unordered_map<std::string, Tenant> tenants_by_key;
  // Whether requests need a key.
  bool has_tenants = false;
  CallerLimits limits;
};

// Adds a route. Call SortRoutes after the last one.
void AddRoute(RouteTable& table, Route route);
void SortRoutes(RouteTable& table);

// Sets the priorities of all services. Call it after routes and services were
// added.
void SetPriorityRanges(RouteTable& table);

// Returns the priority of a request among all: its tenant's, if it has one,
// comes before its route's, which decides among requests of tenants with the
// same priority. A lower one is more urgent.
int CombinedPriority(std::optional<int> of_tenant, int of_route);

// Returns the route of a request; null if no prefix matches.
std::shared_ptr<const Route> FindRoute(const RouteTable& table,
                                       std::string_view host,
                                       std::string_view path);

// Picks a service by weight; `at` is a number from 0 to 1.
const std::string& PickService(const Route& route, double at);

}  // namespace bramleyspan::gateway

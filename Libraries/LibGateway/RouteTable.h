// The desired state that an entry serves by: which request goes to which
// service, who may send it, and how long it may take.
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
  // The time to the answer, or to a stream's first event, that counts fully.
  Duration objective = std::chrono::seconds(1);
  // The longest pause between a stream's events that is still on time.
  Duration longest_pause{};
  // A stream's caller leaves after so long without an event.
  Duration patience = std::chrono::seconds(2);
  int priority = 0;
  std::vector<SplitPart> split;
  // Targets to which one request may be sent.
  int most_targets = 1;
  bool is_public = false;
  bool is_resumable = false;

  // Whether a request may run more than once.
  bool is_repeatable() const {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStreaming && this->is_resumable);
  }
};

// What a service publishes of its engines.
struct EngineShape {
  uint32_t slots = 1;
  // Steps in one pass, and what a step costs.
  uint32_t stride = 1;
  Duration step{};
  Duration step_per_sequence{};
  double read_tokens_per_second = 1;
  uint32_t chunk = 512;
  // The expert map's shape; no sets if the engine has no experts.
  uint32_t sets = 0;
  uint32_t experts = 0;
  uint32_t expert_slots_per_rank = 0;
  uint32_t spare = 0;
  double expert_megabytes = 0;
  double link_megabits_per_second = 0;
  double expert_share = 0;
  uint32_t usual_prompt = 1;
  uint32_t usual_answer = 1;
};

// How long a rank takes to copy an expert; zero if that is not known.
Duration CopyTimeOf(const EngineShape& engine);

struct Service {
  std::string name;
  uint32_t most_connections = 0;
  std::optional<EngineShape> engine;
};

struct Tenant {
  std::string name;
  std::optional<int> priority;
};

// What callers may send and how long they may take.
struct CallerLimits {
  size_t header_bytes = 16384;
  size_t body_bytes = 4 << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

struct RouteTable {
  uint64_t version = 0;
  // By host in lower case; the longest prefix comes first.
  std::unordered_map<std::string, std::vector<std::shared_ptr<const Route>>>
      hosts;
  std::map<std::string, Service> services;
  std::unordered_map<std::string, Tenant> tenants_by_key;
  // Whether requests must show a key.
  bool has_tenants = false;
  CallerLimits limits;
};

// Adds a route; call SortRoutes when all are in.
void AddRoute(RouteTable& table, Route route);
void SortRoutes(RouteTable& table);

// The route of a request; none if no prefix fits.
std::shared_ptr<const Route> FindRoute(const RouteTable& table,
                                       std::string_view host,
                                       std::string_view path);

// Picks a service by weight with a number from 0 to 1.
const std::string& PickService(const Route& route, double at);

}  // namespace bramleyspan::gateway

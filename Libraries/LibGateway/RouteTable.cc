#include "LibGateway/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>

namespace bramleyspan::gateway {

namespace {

// Returns the host without its port, in lower case.
std::string NormalizeHost(std::string_view host) {
  const size_t colon = host.rfind(':');
  // The colons of an IPv6 number without brackets are its own.
  const bool has_port = colon != std::string_view::npos && colon > 0 &&
                        (host.find(':') == colon || host[colon - 1] == ']');
  std::string name(host.substr(0, has_port ? colon : host.size()));
  for (char& letter : name) {
    letter =
        static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return name;
}

}  // namespace

Duration CopyTimeOf(const EngineShape& engine) {
  if (engine.link_megabits_per_second <= 0) {
    return Duration(0);
  }
  constexpr double kBitsPerByte = 8;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(engine.expert_megabytes * kBitsPerByte /
                                    engine.link_megabits_per_second));
}

void AddRoute(RouteTable& table, Route route) {
  auto& routes = table.hosts[NormalizeHost(route.host)];
  routes.push_back(std::make_shared<const Route>(std::move(route)));
}

void SortRoutes(RouteTable& table) {
  for (auto& [host, routes] : table.hosts) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const auto& left, const auto& right) {
                       return left->prefix.size() > right->prefix.size();
                     });
  }
}

void SetPriorityRanges(RouteTable& table) {
  std::map<std::string, std::set<int>> by_service;
  for (const auto& [host, routes] : table.hosts) {
    for (const auto& route : routes) {
      if (route->kind != RouteKind::kStreaming) {
        continue;
      }
      for (const SplitPart& part : route->split) {
        by_service[part.service].insert(route->priority);
      }
    }
  }
  for (auto& [name, service] : table.services) {
    const std::set<int>& priorities = by_service[name];
    if (priorities.empty()) {
      continue;
    }
    service.most_urgent_priority = *priorities.begin();
    service.least_urgent_priority = *priorities.rbegin();
  }
}

int CombinedPriority(std::optional<int> of_tenant, int of_route) {
  // Less than the least difference that a tenant's priority makes.
  constexpr int kMaxRoutePriority = 99;
  constexpr int kMaxTenantPriority = 1'000'000;
  return std::clamp(of_tenant.value_or(of_route), 0, kMaxTenantPriority) *
             (kMaxRoutePriority + 1) +
         std::clamp(of_route, 0, kMaxRoutePriority);
}

std::shared_ptr<const Route> FindRoute(const RouteTable& table,
                                       std::string_view host,
                                       std::string_view path) {
  const auto found = table.hosts.find(NormalizeHost(host));
  if (found == table.hosts.end()) {
    return nullptr;
  }
  for (const auto& route : found->second) {
    if (path.starts_with(route->prefix)) {
      return route;
    }
  }
  return nullptr;
}

const std::string& PickService(const Route& route, double at) {
  double total = 0;
  for (const SplitPart& part : route.split) {
    total += std::max(0.0, part.weight);
  }
  double passed = 0;
  for (const SplitPart& part : route.split) {
    passed += std::max(0.0, part.weight);
    if (at * total < passed) {
      return part.service;
    }
  }
  return route.split.back().service;
}

}  // namespace bramleyspan::gateway

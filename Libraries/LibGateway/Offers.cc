#include "LibGateway/Offers.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>

namespace bramleyspan::gateway {

namespace {

// An agent that has sent nothing for longer is not probed.
constexpr Duration kUnresponsiveAfter = std::chrono::milliseconds(800);

// A zone is preferred only if it has at least this many ranks for each probe.
// With fewer, all gateways of the zone would probe the same ranks.
constexpr size_t kMinCandidatesPerProbe = 2;

// Keeps only the candidates in the zone if there are enough of them.
void KeepZone(std::vector<const TargetView*>& candidates,
              std::string_view zone,
              size_t min_count) {
  if (zone.empty()) {
    return;
  }
  const auto is_in_zone = [zone](const TargetView* view) {
    return view->target.zone == zone;
  };
  const auto count = std::ranges::count_if(candidates, is_in_zone);
  if (static_cast<size_t>(count) >= min_count) {
    std::erase_if(candidates, std::not_fn(is_in_zone));
  }
}

double UtilizationOf(const Offer& offer) {
  return (static_cast<double>(offer.load) + 1) / std::max(1.0, offer.limit);
}

bool is_better(const Offer& left, const Offer& right) {
  if (left.is_slow != right.is_slow) {
    return left.is_slow;
  }
  return UtilizationOf(left) < UtilizationOf(right);
}

}  // namespace

std::string AgentIpOf(const TargetView& view) {
  return view.rank && !view.rank->agent_ip.empty() ? view.rank->agent_ip
                                                   : view.target.address.ip;
}

std::vector<const TargetView*> PickRanksToProbe(
    const TargetTable& targets,
    std::string_view service,
    const std::set<std::string>& excluded,
    size_t count,
    std::string_view preferred_zone,
    uint64_t random_bits,
    TimePoint now) {
  std::vector<const TargetView*> candidates;
  ForEachAdmitting(
      targets, service, excluded, now, [&](const TargetView& view) {
        const bool is_unresponsive =
            view.rank && now - view.rank->received_at > kUnresponsiveAfter;
        if (!is_unresponsive && view.avoided_until <= now) {
          candidates.push_back(&view);
        }
      });
  KeepZone(candidates, preferred_zone, kMinCandidatesPerProbe * count);
  std::map<std::string, std::vector<const TargetView*>> groups;
  for (const TargetView* view : candidates) {
    groups[view->rank ? view->rank->group : ""].push_back(view);
  }
  std::minstd_rand random(static_cast<uint32_t>(random_bits));
  std::vector<std::vector<const TargetView*>> shuffled;
  for (auto& [name, ranks] : groups) {
    std::shuffle(ranks.begin(), ranks.end(), random);
    shuffled.push_back(std::move(ranks));
  }
  std::shuffle(shuffled.begin(), shuffled.end(), random);
  std::vector<const TargetView*> picked;
  for (size_t round = 0; picked.size() < count; ++round) {
    const size_t before = picked.size();
    for (const auto& ranks : shuffled) {
      if (round < ranks.size() && picked.size() < count) {
        picked.push_back(ranks[round]);
      }
    }
    if (picked.size() == before) {
      break;
    }
  }
  return picked;
}

std::optional<Offer> ChooseOffer(const std::vector<Offer>& offers) {
  const Offer* best = nullptr;
  for (const Offer& offer : offers) {
    if (offer.is_admitting && (best == nullptr || is_better(offer, *best))) {
      best = &offer;
    }
  }
  return best == nullptr ? std::nullopt : std::optional<Offer>(*best);
}

}  // namespace bramleyspan::gateway

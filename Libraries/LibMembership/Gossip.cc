#include "LibMembership/Gossip.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bramleyspan::membership {

namespace {

// Limit of records in a reply, which keeps it a small datagram.
constexpr size_t kMaxRecords = 24;

// Adds the next `max_count` of `ips` in an order that depends on the sender's
// name. With one order for all, all senders would choose the same receivers at
// the same time.
void AddNext(std::vector<std::string>& peers,
             const std::string& own_name,
             const std::vector<std::string>& ips,
             uint64_t round,
             size_t max_count) {
  const uint64_t seed = XXH64(own_name.data(), own_name.size(), 0);
  std::vector<std::pair<uint64_t, const std::string*>> order;
  order.reserve(ips.size());
  for (const std::string& ip : ips) {
    order.emplace_back(XXH64(ip.data(), ip.size(), seed), &ip);
  }
  std::sort(order.begin(), order.end());
  for (size_t i = 0; i < std::min(max_count, order.size()); ++i) {
    peers.push_back(*order[(round * max_count + i) % order.size()].second);
  }
}

}  // namespace

bool is_large(const Members& members) {
  const auto entries = std::count_if(
      members.known.begin(), members.known.end(),
      [](const auto& item) { return item.second.member.is_entry; });
  return static_cast<size_t>(entries) + members.seed_addresses.size() >
         kMaxFullMeshPeers;
}

std::vector<std::string> PeersForHeartbeat(const Members& members,
                                           uint64_t round) {
  std::vector<std::string> same_zone;
  std::vector<std::string> other_zones;
  for (const auto& [name, known] : members.known) {
    if (known.member.is_entry) {
      const bool is_same_zone = known.member.zone == members.own_zone;
      (is_same_zone ? same_zone : other_zones).push_back(known.member.ip);
    }
  }
  for (const auto& [ip, since] : members.seed_addresses) {
    other_zones.push_back(ip);
  }
  std::vector<std::string> peers;
  if (!is_large(members)) {
    peers = std::move(same_zone);
    peers.insert(peers.end(), other_zones.begin(), other_zones.end());
    return peers;
  }
  const size_t same_zone_count = std::min(same_zone.size(), kSameZonePeers);
  const size_t other_zones_count =
      kSameZonePeers + kOtherZonePeers - same_zone_count;
  AddNext(peers, members.own_name, same_zone, round, same_zone_count);
  AddNext(peers, members.own_name, other_zones, round, other_zones_count);
  return peers;
}

std::vector<const wire::MemberT*> RecordsToSend(Members& members,
                                                TimePoint now) {
  std::vector<KnownMember*> live;
  for (auto& [name, known] : members.known) {
    if (known.member.is_entry && is_alive(known, now)) {
      live.push_back(&known);
    }
  }
  const size_t max_count = is_large(members) ? kRecordsPerHeartbeatInLargeFleet
                                             : kRecordsPerHeartbeat;
  const size_t count = std::min(live.size(), max_count);
  std::partial_sort(live.begin(), live.begin() + static_cast<int64_t>(count),
                    live.end(),
                    [](const KnownMember* left, const KnownMember* right) {
                      return left->times_sent < right->times_sent;
                    });
  std::vector<const wire::MemberT*> next;
  for (size_t i = 0; i < count; ++i) {
    ++live[i]->times_sent;
    next.push_back(&live[i]->member);
  }
  return next;
}

std::vector<wire::SignOfLife> DigestsToSend(const Members& members,
                                            TimePoint now) {
  std::vector<wire::SignOfLife> digests;
  if (!is_large(members)) {
    return digests;
  }
  for (const auto& [name, known] : members.known) {
    if (known.member.is_entry && is_alive(known, now)) {
      digests.emplace_back(known.key,
                           static_cast<uint32_t>(known.member.counter));
    }
  }
  return digests;
}

std::vector<uint32_t> ApplyDigests(Members& members,
                                   const std::vector<wire::SignOfLife>& digests,
                                   TimePoint now) {
  const uint32_t own_key = DigestKeyOf(members.own);
  std::vector<uint32_t> unknown;
  for (const wire::SignOfLife& digest : digests) {
    const bool is_known =
        digest.key() == own_key || Merge(members, digest, now);
    if (!is_known && unknown.size() < kMaxRecords) {
      unknown.push_back(digest.key());
    }
  }
  return unknown;
}

std::vector<const wire::MemberT*> FindByKeys(
    const Members& members,
    const std::vector<uint32_t>& keys) {
  std::vector<const wire::MemberT*> found;
  for (const uint32_t key : keys) {
    const auto name = members.names_by_key.find(key);
    if (name != members.names_by_key.end() && found.size() < kMaxRecords) {
      found.push_back(&members.known.at(name->second).member);
    }
  }
  return found;
}

std::vector<const wire::MemberT*> GatewaysForAgent(const Members& members,
                                                   uint64_t round,
                                                   size_t max_count,
                                                   TimePoint now) {
  std::vector<const wire::MemberT*> live;
  for (const auto& [name, known] : members.known) {
    if (known.member.is_entry && is_alive(known, now)) {
      live.push_back(&known.member);
    }
  }
  if (live.size() > max_count) {
    const auto shift = static_cast<int64_t>(round * max_count % live.size());
    std::rotate(live.begin(), live.begin() + shift, live.end());
    live.resize(max_count);
  }
  return live;
}

}  // namespace bramleyspan::membership

#include "LibMembership/Gossip.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bramleyspan::membership {

namespace {

// Records in an answer, so that it stays a small datagram.
constexpr size_t kMostRecords = 24;

// The next `most` of `ips` in an order that is the sender's own: where all went
// by the same order they would tell the same ones at the same time.
void AddNext(std::vector<std::string>& peers,
             const std::string& own_name,
             const std::vector<std::string>& ips,
             uint64_t turn,
             size_t most) {
  const uint64_t seed = XXH64(own_name.data(), own_name.size(), 0);
  std::vector<std::pair<uint64_t, const std::string*>> order;
  order.reserve(ips.size());
  for (const std::string& ip : ips) {
    order.emplace_back(XXH64(ip.data(), ip.size(), seed), &ip);
  }
  std::sort(order.begin(), order.end());
  for (size_t i = 0; i < std::min(most, order.size()); ++i) {
    peers.push_back(*order[(turn * most + i) % order.size()].second);
  }
}

}  // namespace

bool is_large(const Members& members) {
  const auto entries = std::count_if(
      members.known.begin(), members.known.end(),
      [](const auto& item) { return item.second.member.is_entry; });
  return static_cast<size_t>(entries) + members.hints.size() > kAllPeers;
}

std::vector<std::string> PeersForHeartbeat(const Members& members,
                                           uint64_t turn) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& [name, known] : members.known) {
    if (known.member.is_entry) {
      const bool is_near = known.member.zone == members.own_zone;
      (is_near ? near : far).push_back(known.member.ip);
    }
  }
  for (const auto& [ip, since] : members.hints) {
    far.push_back(ip);
  }
  std::vector<std::string> peers;
  if (!is_large(members)) {
    peers = std::move(near);
    peers.insert(peers.end(), far.begin(), far.end());
    return peers;
  }
  const size_t near_count = std::min(near.size(), kNearPeers);
  const size_t far_count = kNearPeers + kFarPeers - near_count;
  AddNext(peers, members.own_name, near, turn, near_count);
  AddNext(peers, members.own_name, far, turn, far_count);
  return peers;
}

std::vector<const wire::MemberT*> NextToTell(Members& members, TimePoint now) {
  std::vector<KnownMember*> live;
  for (auto& [name, known] : members.known) {
    if (known.member.is_entry && is_alive(known, now)) {
      live.push_back(&known);
    }
  }
  const size_t most =
      is_large(members) ? kMembersPerHeartbeatOfMany : kMembersPerHeartbeat;
  const size_t count = std::min(live.size(), most);
  std::partial_sort(live.begin(), live.begin() + static_cast<int64_t>(count),
                    live.end(),
                    [](const KnownMember* left, const KnownMember* right) {
                      return left->told < right->told;
                    });
  std::vector<const wire::MemberT*> next;
  for (size_t i = 0; i < count; ++i) {
    ++live[i]->told;
    next.push_back(&live[i]->member);
  }
  return next;
}

std::vector<wire::SignOfLife> SignsToTell(const Members& members,
                                          TimePoint now) {
  std::vector<wire::SignOfLife> signs;
  if (!is_large(members)) {
    return signs;
  }
  for (const auto& [name, known] : members.known) {
    if (known.member.is_entry && is_alive(known, now)) {
      signs.emplace_back(known.key,
                         static_cast<uint32_t>(known.member.counter));
    }
  }
  return signs;
}

std::vector<uint32_t> TakeSigns(Members& members,
                                const std::vector<wire::SignOfLife>& signs,
                                TimePoint now) {
  const uint32_t own_key = KeyOf(members.own);
  std::vector<uint32_t> unknown;
  for (const wire::SignOfLife& sign : signs) {
    const bool is_known = sign.key() == own_key || Learn(members, sign, now);
    if (!is_known && unknown.size() < kMostRecords) {
      unknown.push_back(sign.key());
    }
  }
  return unknown;
}

std::vector<const wire::MemberT*> FindByKeys(
    const Members& members,
    const std::vector<uint32_t>& keys) {
  std::vector<const wire::MemberT*> found;
  for (const uint32_t key : keys) {
    const auto name = members.names.find(key);
    if (name != members.names.end() && found.size() < kMostRecords) {
      found.push_back(&members.known.at(name->second).member);
    }
  }
  return found;
}

std::vector<const wire::MemberT*> MembersToTell(const Members& members,
                                                uint64_t turn,
                                                size_t most,
                                                TimePoint now) {
  std::vector<const wire::MemberT*> live;
  for (const auto& [name, known] : members.known) {
    if (known.member.is_entry && is_alive(known, now)) {
      live.push_back(&known.member);
    }
  }
  if (live.size() > most) {
    const auto shift = static_cast<int64_t>(turn * most % live.size());
    std::rotate(live.begin(), live.begin() + shift, live.end());
    live.resize(most);
  }
  return live;
}

}  // namespace bramleyspan::membership

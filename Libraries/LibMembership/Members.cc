#include "LibMembership/Members.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace bramleyspan::membership {

namespace {

template <typename Body>
std::string EncodeBody(Body body) {
  wire::MessageT message;
  message.body.Set(std::move(body));
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Message::Pack(builder, &message));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

}  // namespace

bool Learn(Members& members,
           const wire::MemberT& record,
           bool is_direct,
           TimePoint now) {
  if (record.name.empty() || record.name == members.own_name) {
    return false;
  }
  const auto found = members.known.find(record.name);
  if (found == members.known.end()) {
    members.known.emplace(record.name, KnownMember{record, now});
    members.hints.erase(record.ip);
    return true;
  }
  KnownMember& known = found->second;
  const bool is_same = known.member.incarnation == record.incarnation;
  const bool is_newer = is_same && record.counter > known.member.counter;
  // Two incarnations cannot be ordered by their clocks, which jump. The process
  // itself speaks for its latest one; by hearsay a new one counts only once the
  // old one has fallen silent.
  const bool is_replacement =
      !is_same && (is_direct || now - known.heard > kSuspectAfter);
  if (!is_newer && !is_replacement) {
    return false;
  }
  known.member = record;
  known.heard = now;
  return true;
}

void Forget(Members& members, TimePoint now) {
  std::erase_if(members.known, [now](const auto& item) {
    return now - item.second.heard > kForgetAfter;
  });
  std::erase_if(members.hints, [now](const auto& item) {
    return now - item.second > kForgetAfter;
  });
}

bool is_alive(const KnownMember& known, TimePoint now) {
  return now - known.heard <= kSuspectAfter;
}

std::vector<const KnownMember*> LiveEntries(const Members& members,
                                            TimePoint now) {
  std::vector<const KnownMember*> live;
  for (const auto& [name, known] : members.known) {
    if (known.member.is_entry && known.member.is_ready &&
        !known.member.is_leaving && is_alive(known, now)) {
      live.push_back(&known);
    }
  }
  return live;
}

size_t CountEntries(const Members& members, TimePoint now) {
  static constexpr Duration kMayBeAtWork = std::chrono::seconds(10);
  return 1 + static_cast<size_t>(
                 std::count_if(members.known.begin(), members.known.end(),
                               [now](const auto& item) {
                                 return item.second.member.is_entry &&
                                        now - item.second.heard <= kMayBeAtWork;
                               }));
}

bool is_close_watcher(const Members& members,
                      uint64_t own_incarnation,
                      TimePoint now) {
  const std::vector<const KnownMember*> live = LiveEntries(members, now);
  const auto before = std::count_if(
      live.begin(), live.end(), [own_incarnation](const KnownMember* other) {
        return other->member.incarnation < own_incarnation;
      });
  return static_cast<size_t>(before) < kCloseWatchers;
}

std::vector<std::string> PeersForHeartbeat(const Members& members,
                                           uint64_t turn) {
  std::vector<std::string> peers;
  for (const auto& [name, known] : members.known) {
    if (known.member.is_entry) {
      peers.push_back(known.member.ip);
    }
  }
  for (const auto& [ip, since] : members.hints) {
    peers.push_back(ip);
  }
  if (peers.size() <= kPeersPerHeartbeat) {
    return peers;
  }
  const auto shift =
      static_cast<int64_t>(turn * kPeersPerHeartbeat % peers.size());
  std::rotate(peers.begin(), peers.begin() + shift, peers.end());
  peers.resize(kPeersPerHeartbeat);
  return peers;
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

std::string Encode(wire::HeartbeatT heartbeat) {
  return EncodeBody(std::move(heartbeat));
}

std::string Encode(wire::RankNewsT news) {
  return EncodeBody(std::move(news));
}

std::string Encode(wire::MapWishT wish) {
  return EncodeBody(std::move(wish));
}

std::string Encode(const wire::PlaceProbeT& probe) {
  return EncodeBody(probe);
}

std::string Encode(wire::PlaceOfferT offer) {
  return EncodeBody(std::move(offer));
}

std::string Encode(const wire::PlaceTakenT& taken) {
  return EncodeBody(taken);
}

Result<wire::MessageT> Decode(std::string_view bytes) {
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()),
                                 bytes.size());
  if (!wire::VerifyMessageBuffer(verifier)) {
    return Fail(ErrorCode::kMalformedFrame, "datagram", "it does not verify");
  }
  wire::MessageT message;
  wire::GetMessage(bytes.data())->UnPackTo(&message);
  return message;
}

}  // namespace bramleyspan::membership

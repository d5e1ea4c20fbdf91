#include "LibMembership/Members.h"

#include <xxhash.h>

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

bool has_changed(const wire::MemberT& record, const wire::MemberT& known) {
  return record.incarnation != known.incarnation ||
         record.is_ready != known.is_ready ||
         record.is_leaving != known.is_leaving || record.ip != known.ip ||
         record.caller_address != known.caller_address;
}

// Returns the value of `times_sent` for a changed record: a little below the
// lowest of all, so that the record is sent ahead of the others a few times.
// From 0 it would be sent in every heartbeat until it had been sent as often as
// records that are known for long.
uint64_t InitialTimesSent(const Members& members) {
  constexpr uint64_t kTimesBeforeUnchanged = 8;
  uint64_t least = UINT64_MAX;
  for (const auto& [name, known] : members.known) {
    least = std::min(least, known.times_sent);
  }
  return least == UINT64_MAX || least < kTimesBeforeUnchanged
             ? 0
             : least - kTimesBeforeUnchanged;
}

// Removes the digest keys of a member that has restarted or is removed. Digests
// of an earlier incarnation must not count as updates of the present one.
void RemoveKeys(Members& members, const std::string& name) {
  std::erase_if(members.names_by_key,
                [&name](const auto& item) { return item.second == name; });
}

void ApplyRecord(Members& members,
                 KnownMember& known,
                 const wire::MemberT& record,
                 TimePoint now) {
  if (has_changed(record, known.member)) {
    known.times_sent = InitialTimesSent(members);
  }
  if (record.incarnation != known.member.incarnation) {
    RemoveKeys(members, record.name);
  }
  known.key = DigestKeyOf(record);
  members.names_by_key[known.key] = record.name;
  const uint64_t counter =
      record.incarnation == known.member.incarnation ? known.member.counter : 0;
  known.member = record;
  known.member.counter = std::max(record.counter, counter);
  known.received_at = now;
}

}  // namespace

uint32_t DigestKeyOf(const wire::MemberT& member) {
  constexpr uint64_t kSpread = 0x9E3779B97F4A7C15;
  return static_cast<uint32_t>(
      XXH64(member.name.data(), member.name.size(),
            member.incarnation ^ (member.changed * kSpread)));
}

void AdvanceOwnRecord(Members& members, wire::MemberT& self) {
  self.counter = members.own.counter + 1;
  self.changed =
      has_changed(self, members.own) ? self.counter : members.own.changed;
  members.own = self;
}

bool Merge(Members& members,
           const wire::MemberT& record,
           bool is_direct,
           TimePoint now) {
  if (record.name.empty() || record.name == members.own_name) {
    return false;
  }
  const auto found = members.known.find(record.name);
  if (found == members.known.end()) {
    ApplyRecord(members, members.known[record.name], record, now);
    members.seed_addresses.erase(record.ip);
    return true;
  }
  KnownMember& known = found->second;
  const bool is_same = known.member.incarnation == record.incarnation;
  // A digest with a newer counter may have come before the record whose change
  // it announces.
  const bool is_newer = is_same && (record.counter > known.member.counter ||
                                    record.changed > known.member.changed);
  // Two incarnations cannot be ordered by clocks, which may be set back. A
  // direct record is of the latest one; an indirect record of another
  // incarnation is accepted only once the known one counts as dead.
  const bool is_replacement =
      !is_same && (is_direct || now - known.received_at > kSuspectAfter);
  if (!is_newer && !is_replacement) {
    return false;
  }
  ApplyRecord(members, known, record, now);
  return true;
}

bool Merge(Members& members, const wire::SignOfLife& digest, TimePoint now) {
  const auto name = members.names_by_key.find(digest.key());
  if (name == members.names_by_key.end()) {
    return false;
  }
  KnownMember& known = members.known.at(name->second);
  if (digest.counter() > known.member.counter) {
    known.member.counter = digest.counter();
    known.received_at = now;
  }
  return true;
}

void AddSeedAddress(Members& members, const std::string& ip, TimePoint now) {
  const bool is_known = std::any_of(
      members.known.begin(), members.known.end(),
      [&ip](const auto& item) { return item.second.member.ip == ip; });
  if (!is_known) {
    members.seed_addresses[ip] = now;
  }
}

void RemoveExpired(Members& members, TimePoint now) {
  std::erase_if(members.known, [&members, now](const auto& item) {
    const bool is_expired = now - item.second.received_at > kRemoveAfter;
    if (is_expired) {
      RemoveKeys(members, item.first);
    }
    return is_expired;
  });
  std::erase_if(members.seed_addresses, [now](const auto& item) {
    return now - item.second > kRemoveAfter;
  });
}

bool is_alive(const KnownMember& known, TimePoint now) {
  return now - known.received_at <= kSuspectAfter;
}

std::vector<const KnownMember*> LiveGateways(const Members& members,
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

size_t CountGateways(const Members& members, TimePoint now) {
  static constexpr Duration kMayBeRunning = std::chrono::seconds(10);
  return 1 + static_cast<size_t>(std::count_if(
                 members.known.begin(), members.known.end(),
                 [now](const auto& item) {
                   return item.second.member.is_entry &&
                          now - item.second.received_at <= kMayBeRunning;
                 }));
}

std::set<std::string> GatewaysHeardWithin(const Members& members,
                                          Duration within,
                                          TimePoint now) {
  std::set<std::string> names;
  for (const auto& [name, known] : members.known) {
    if (known.member.is_entry && now - known.received_at <= within) {
      names.insert(name);
    }
  }
  return names;
}

bool is_active_watcher(const Members& members,
                       uint64_t own_incarnation,
                       TimePoint now) {
  const std::vector<const KnownMember*> live = LiveGateways(members, now);
  size_t ahead = 0;
  size_t ahead_that_reach_store = 0;
  for (const KnownMember* other : live) {
    if (other->member.incarnation < own_incarnation) {
      ++ahead;
      // A gateway that reports no revision has not read the evacuated zones, or
      // is of a build that does not pass them on.
      const bool passes_changes_on =
          other->member.hears_store && other->member.desired_revision > 0;
      ahead_that_reach_store += passes_changes_on ? 1 : 0;
    }
  }
  const size_t active_watchers =
      kActiveWatchers + live.size() / kGatewaysPerActiveWatcher;
  const bool is_substitute =
      members.own.hears_store && ahead_that_reach_store < active_watchers;
  return ahead < active_watchers || is_substitute;
}

std::string Encode(wire::HeartbeatT heartbeat) {
  return EncodeBody(std::move(heartbeat));
}

std::string Encode(wire::RankNewsT update) {
  return EncodeBody(std::move(update));
}

std::string Encode(wire::MapWishT desired_map) {
  return EncodeBody(std::move(desired_map));
}

std::string Encode(const wire::PlaceProbeT& probe) {
  return EncodeBody(probe);
}

std::string Encode(wire::PlaceOfferT offer) {
  return EncodeBody(std::move(offer));
}

std::string Encode(const wire::PlaceTakenT& reservation) {
  return EncodeBody(reservation);
}

std::string Encode(wire::GroupSummaryT summary) {
  return EncodeBody(std::move(summary));
}

std::string Encode(wire::NewsBundleT bundle) {
  return EncodeBody(std::move(bundle));
}

std::string Encode(wire::MemberQueryT query) {
  return EncodeBody(std::move(query));
}

std::string Encode(wire::RateRequestT request) {
  return EncodeBody(std::move(request));
}

std::string Encode(wire::RateGrantT grant) {
  return EncodeBody(std::move(grant));
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

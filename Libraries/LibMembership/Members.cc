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

bool is_news(const wire::MemberT& record, const wire::MemberT& known) {
  return record.incarnation != known.incarnation ||
         record.is_ready != known.is_ready ||
         record.is_leaving != known.is_leaving || record.ip != known.ip ||
         record.caller_address != known.caller_address;
}

// Told of before all others for a while, but not until it was told of as often
// as those that were known for long.
uint64_t ToldOfNews(const Members& members) {
  constexpr uint64_t kTimesBeforeOthers = 8;
  uint64_t least = UINT64_MAX;
  for (const auto& [name, known] : members.known) {
    least = std::min(least, known.told);
  }
  return least == UINT64_MAX || least < kTimesBeforeOthers
             ? 0
             : least - kTimesBeforeOthers;
}

// Signs of an earlier incarnation say nothing of the present one.
void ForgetKeys(Members& members, const std::string& name) {
  std::erase_if(members.names,
                [&name](const auto& item) { return item.second == name; });
}

void Take(Members& members,
          KnownMember& known,
          const wire::MemberT& record,
          TimePoint now) {
  if (is_news(record, known.member)) {
    known.told = ToldOfNews(members);
  }
  if (record.incarnation != known.member.incarnation) {
    ForgetKeys(members, record.name);
  }
  known.key = KeyOf(record);
  members.names[known.key] = record.name;
  const uint64_t counter =
      record.incarnation == known.member.incarnation ? known.member.counter : 0;
  known.member = record;
  known.member.counter = std::max(record.counter, counter);
  known.heard = now;
}

}  // namespace

uint32_t KeyOf(const wire::MemberT& member) {
  constexpr uint64_t kSpread = 0x9E3779B97F4A7C15;
  return static_cast<uint32_t>(
      XXH64(member.name.data(), member.name.size(),
            member.incarnation ^ (member.changed * kSpread)));
}

void Stamp(Members& members, wire::MemberT& self) {
  self.counter = members.own.counter + 1;
  self.changed =
      is_news(self, members.own) ? self.counter : members.own.changed;
  members.own = self;
}

bool Learn(Members& members,
           const wire::MemberT& record,
           bool is_direct,
           TimePoint now) {
  if (record.name.empty() || record.name == members.own_name) {
    return false;
  }
  const auto found = members.known.find(record.name);
  if (found == members.known.end()) {
    Take(members, members.known[record.name], record, now);
    members.hints.erase(record.ip);
    return true;
  }
  KnownMember& known = found->second;
  const bool is_same = known.member.incarnation == record.incarnation;
  // A sign of life may have come before the record whose change it tells.
  const bool is_newer = is_same && (record.counter > known.member.counter ||
                                    record.changed > known.member.changed);
  // Two incarnations cannot be ordered by their clocks, which jump. The process
  // itself speaks for its latest one; by hearsay a new one counts only once the
  // old one has fallen silent.
  const bool is_replacement =
      !is_same && (is_direct || now - known.heard > kSuspectAfter);
  if (!is_newer && !is_replacement) {
    return false;
  }
  Take(members, known, record, now);
  return true;
}

bool Learn(Members& members, const wire::SignOfLife& sign, TimePoint now) {
  const auto name = members.names.find(sign.key());
  if (name == members.names.end()) {
    return false;
  }
  KnownMember& known = members.known.at(name->second);
  if (sign.counter() > known.member.counter) {
    known.member.counter = sign.counter();
    known.heard = now;
  }
  return true;
}

void AddHint(Members& members, const std::string& ip, TimePoint now) {
  const bool is_known = std::any_of(
      members.known.begin(), members.known.end(),
      [&ip](const auto& item) { return item.second.member.ip == ip; });
  if (!is_known) {
    members.hints[ip] = now;
  }
}

void Forget(Members& members, TimePoint now) {
  std::erase_if(members.known, [&members, now](const auto& item) {
    const bool is_forgotten = now - item.second.heard > kForgetAfter;
    if (is_forgotten) {
      ForgetKeys(members, item.first);
    }
    return is_forgotten;
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
  size_t before = 0;
  size_t before_that_hear = 0;
  for (const KnownMember* other : live) {
    if (other->member.incarnation < own_incarnation) {
      ++before;
      before_that_hear += other->member.hears_store ? 1 : 0;
    }
  }
  const size_t watchers =
      kCloseWatchers + live.size() / kEntriesPerCloseWatcher;
  const bool is_relief = members.own.hears_store && before_that_hear < watchers;
  return before < watchers || is_relief;
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

std::string Encode(wire::GroupSummaryT summary) {
  return EncodeBody(std::move(summary));
}

std::string Encode(wire::NewsBundleT bundle) {
  return EncodeBody(std::move(bundle));
}

std::string Encode(wire::MemberQueryT query) {
  return EncodeBody(std::move(query));
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

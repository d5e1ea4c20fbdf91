// Who else runs: each process tells a few others what it knows of itself and
// of those it heard of, several times a second. No member decides about
// another; each judges by how long ago it heard something new.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Kernel/Result.h"
#include "Kernel/Time.h"
#include "LibMembership/Generated/Messages_generated.h"

namespace bramleyspan::membership {

// A process's own heartbeats are this far apart.
inline constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(200);

// A member that was not heard of for so long is not named to callers.
inline constexpr Duration kSuspectAfter = std::chrono::milliseconds(1300);

// A member that was not heard of for so long is forgotten.
inline constexpr Duration kForgetAfter = std::chrono::seconds(30);

// What is known of another process.
struct KnownMember {
  wire::MemberT member;
  // When something new of it was last heard, by any way.
  TimePoint heard;
  // Names this state of the record in signs of life.
  uint32_t key = 0;
  // How often it was told of since it had news.
  uint64_t told = 0;
};

struct Members {
  std::string own_name;
  std::string own_zone;
  // What was last told of itself.
  wire::MemberT own;
  std::map<std::string, KnownMember> known;
  // Names by the keys of signs of life, those of earlier states among them.
  std::unordered_map<uint32_t, std::string> names;
  // Addresses from settings or the store of processes not heard of yet.
  std::map<std::string, TimePoint> hints;
};

// What signs of life call this state of the member's record.
uint32_t KeyOf(const wire::MemberT& member);

// Counts what is about to be told of itself.
void Stamp(Members& members, wire::MemberT& self);

// Takes a record of another process. `is_direct` if it came from that process
// itself: such a record replaces that of an earlier incarnation, while one by
// hearsay may be older than what is known. Returns whether it told anything
// new.
bool Learn(Members& members,
           const wire::MemberT& record,
           bool is_direct,
           TimePoint now);

// Takes a sign of life. Returns whether the member's record is known; of any
// other it tells nothing.
bool Learn(Members& members, const wire::SignOfLife& sign, TimePoint now);

// Takes an address at which a process may run, unless one is known there.
void AddHint(Members& members, const std::string& ip, TimePoint now);

// Drops what was not heard of for long.
void Forget(Members& members, TimePoint now);

bool is_alive(const KnownMember& known, TimePoint now);

// Entries that are alive, ready and not leaving, itself not among them.
std::vector<const KnownMember*> LiveEntries(const Members& members,
                                            TimePoint now);

// The largest number of entries that may be at work, itself among them.
size_t CountEntries(const Members& members, TimePoint now);

// Entries that ask the store often enough to notice soon if it falls silent,
// and one more for each so many others: the store may turn some of them away.
// The others hear from them; the store's calls are paid for.
inline constexpr size_t kCloseWatchers = 3;
inline constexpr size_t kEntriesPerCloseWatcher = 12;

// Whether an entry of this incarnation is one of them. It judges by those that
// it hears: one that hears nobody always is. Where the store turns some of them
// away others join them until it answers again.
bool is_close_watcher(const Members& members,
                      uint64_t own_incarnation,
                      TimePoint now);

// Serializes a message.
std::string Encode(wire::HeartbeatT heartbeat);
std::string Encode(wire::RankNewsT news);
std::string Encode(wire::MapWishT wish);
std::string Encode(const wire::PlaceProbeT& probe);
std::string Encode(wire::PlaceOfferT offer);
std::string Encode(const wire::PlaceTakenT& taken);
std::string Encode(wire::GroupSummaryT summary);
std::string Encode(wire::NewsBundleT bundle);
std::string Encode(wire::MemberQueryT query);

// Parses a datagram. Fails with kMalformedFrame.
Result<wire::MessageT> Decode(std::string_view bytes);

}  // namespace bramleyspan::membership

// Membership by gossip. Several times a second each process sends its own
// record and some records of other members to a few peers. There is no vote on
// whether a member is alive: each process decides for itself by the time since
// the last update of that member's record.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Kernel/Result.h"
#include "Kernel/Time.h"
#include "LibMembership/Generated/Messages_generated.h"

namespace bramleyspan::membership {

// Interval between two heartbeats of a process.
inline constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(200);

// A member without an update for this long counts as dead and is not listed to
// callers.
inline constexpr Duration kSuspectAfter = std::chrono::milliseconds(1300);

// A member without an update for this long is removed.
inline constexpr Duration kRemoveAfter = std::chrono::seconds(30);

// The local view of another process.
struct KnownMember {
  wire::MemberT member;
  // When the last update was received, from the member or through others.
  TimePoint received_at;
  // Identifies this state of the record in member digests.
  uint32_t key = 0;
  // How often the record was sent. Lowered when the record changes, so that it
  // is sent ahead of unchanged ones.
  uint64_t times_sent = 0;
};

struct Members {
  std::string own_name;
  std::string own_zone;
  // The own record as it was last sent.
  wire::MemberT own;
  std::map<std::string, KnownMember> known;
  // Member names by digest key, with the keys of earlier states of a record.
  std::unordered_map<uint32_t, std::string> names_by_key;
  // Addresses from settings or the store at which no member is known yet, with
  // the time when each was last added.
  std::map<std::string, TimePoint> seed_addresses;
};

// Returns the key that identifies this state of the record in member digests: a
// hash of the name, the incarnation and the counter of the last change.
uint32_t DigestKeyOf(const wire::MemberT& member);

// Advances the counter of the own record, which is about to be sent, and marks
// the record as changed if it differs from the one sent before.
void AdvanceOwnRecord(Members& members, wire::MemberT& self);

// Merges the record of another process. Returns whether it was an update.
// `is_direct` says that the process itself sent it: such a record replaces that
// of another incarnation at once. An indirect one may be older than the known
// record, so it does so only once the known incarnation counts as dead.
bool Merge(Members& members,
           const wire::MemberT& record,
           bool is_direct,
           TimePoint now);

// Merges a member digest. Returns whether the record with its key is known; the
// digest of an unknown record changes nothing.
bool Merge(Members& members, const wire::SignOfLife& digest, TimePoint now);

// Adds an address at which a process may run, unless a known member has it.
void AddSeedAddress(Members& members, const std::string& ip, TimePoint now);

// Removes members without an update for kRemoveAfter, and seed addresses that
// were not added again for as long.
void RemoveExpired(Members& members, TimePoint now);

// Whether the last update of the member is no older than kSuspectAfter.
bool is_alive(const KnownMember& known, TimePoint now);

// Returns the other gateways that are alive, ready and not leaving.
std::vector<const KnownMember*> LiveGateways(const Members& members,
                                             TimePoint now);

// Returns how many gateways may be running at most, this process included: a
// gateway counts for ten seconds after its last update.
size_t CountGateways(const Members& members, TimePoint now);

// Returns the names of the other gateways that may be running: those with an
// update no older than `within`.
std::set<std::string> GatewaysHeardWithin(const Members& members,
                                          Duration within,
                                          TimePoint now);

// Active watchers are gateways that watch the store with short waits, so that
// they notice soon when it stops responding. The other gateways receive changes
// from them, since each call to the store is paid for. There are
// kActiveWatchers, and one more per kGatewaysPerActiveWatcher live gateways,
// since the store may refuse some of them.
inline constexpr size_t kActiveWatchers = 3;
inline constexpr size_t kGatewaysPerActiveWatcher = 12;

// Whether the gateway with this incarnation is an active watcher by the local
// view: those with the smallest incarnations are, so a gateway that sees no
// other always is one. While some of them get no answer from the store, others
// that do get answers join them.
bool is_active_watcher(const Members& members,
                       uint64_t own_incarnation,
                       TimePoint now);

// Serializes a message.
std::string Encode(wire::HeartbeatT heartbeat);
std::string Encode(wire::RankNewsT update);
std::string Encode(wire::MapWishT desired_map);
std::string Encode(const wire::PlaceProbeT& probe);
std::string Encode(wire::PlaceOfferT offer);
std::string Encode(const wire::PlaceTakenT& reservation);
std::string Encode(wire::GroupSummaryT summary);
std::string Encode(wire::NewsBundleT bundle);
std::string Encode(wire::MemberQueryT query);
std::string Encode(wire::RateRequestT request);
std::string Encode(wire::RateGrantT grant);

// Parses a datagram. Fails with kMalformedFrame.
Result<wire::MessageT> Decode(std::string_view bytes);

}  // namespace bramleyspan::membership

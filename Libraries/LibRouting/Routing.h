// Chooses the group that gets a request. A few candidates are probed while the
// request waits, and the best one that can meet the deadline is chosen (power
// of d choices, Mitzenmacher 2001; probing for latency and requests in flight
// as in Prequal, Wydrowski et al. 2024). Each target's estimates are corrected
// by how late it was before, and a target that fails is ejected for a while
// (outlier ejection).
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Kernel/Plugin.h"
#include "Kernel/Time.h"

namespace bramleyspan::routing {

// A group that can serve the request, and the target whose agent admits
// requests for it.
struct Candidate {
  std::string group;
  std::string target;

  bool operator==(const Candidate&) const = default;
};

// A candidate's answer to a probe. `first_token` is the target's own estimate
// of the time to the first token.
struct ProbeAnswer {
  Candidate candidate;
  bool is_admitting = false;
  uint32_t in_flight = 0;
  Duration first_token{};
  uint32_t cached_tokens = 0;
};

// A target's load at the time of its last report; used by the baseline policies
// only.
struct LoadReport {
  uint32_t in_flight = 0;
};

struct RoutingSettings {
  size_t probes = 2;
  // A probe without an answer after this time counts as unanswered.
  Duration probe_timeout = std::chrono::milliseconds(50);
  // Expected times to the first token that fall into the same step of this
  // length count as equal; the number of requests in flight then decides.
  Duration latency_resolution = std::chrono::milliseconds(20);
  // Share of a request's time limit within which the first token must be
  // expected. Agents refuse requests that need more.
  double admitted_share = 0.8;
  // The home of a prefix may have the mean load of the other candidates times
  // the bound, plus the slack (bounded-load consistent hashing, Mirrokni et al.
  // 2018).
  double affinity_load_bound = 1.25;
  uint32_t affinity_load_slack = 2;
  // Consecutive failures or unanswered probes after which a target is ejected.
  uint32_t failures_to_eject = 2;
  Duration first_ejection = std::chrono::seconds(2);
  Duration longest_ejection = std::chrono::seconds(60);
  // At most this share of the candidates is ejected at a time, but always one.
  double largest_ejected_share = 0.34;
  // Half-life of a target's recorded lateness. It decays so that a target that
  // was late is tried again.
  Duration lateness_half_life = std::chrono::seconds(20);
};

// Number of service classes; a lower class is more urgent.
inline constexpr size_t kClasses = 3;

// A call that was sent and whose first byte has not arrived.
struct OutstandingCall {
  std::string target;
  uint8_t service_class = 0;
  Duration estimated{};
  TimePoint sent_at;
};

// Decayed mean of the actual time to the first token minus the estimated one.
struct Lateness {
  Duration mean{};
  TimePoint at;
};

// What an entry process has observed of a target in its own calls and probes.
struct TargetRecord {
  uint32_t failures = 0;
  uint32_t ejections = 0;
  TimePoint ejected_until;
  std::array<Lateness, kClasses> lateness_by_class;
};

struct Router {
  RoutingSettings settings;
  std::map<std::string, TargetRecord> targets;
  std::map<uint64_t, OutstandingCall> outstanding;
  std::map<std::string, LoadReport> reports;
  uint64_t next_index = 0;
};

// The properties of a request that a policy uses.
struct Query {
  // Hash of the first part of the prompt; zero for none.
  uint64_t prefix = 0;
  uint64_t random = 0;
  uint8_t service_class = 0;
};

// A routing policy: picks the candidates to probe. If it picks a single one,
// the request goes there without a probe.
using Policy = std::vector<Candidate> (*)(Router& router,
                                          const Query& query,
                                          const std::vector<Candidate>& all,
                                          TimePoint now);

inline constexpr std::string_view kDefaultPolicy = "probes-with-affinity";

// Returns a registered policy. Fails with kInvalidSetting.
Result<Policy> FindPolicy(std::string_view name);

// Returns up to `count` distinct candidates; `random` seeds the choice.
std::vector<Candidate> PickCandidates(std::vector<Candidate> all,
                                      size_t count,
                                      uint64_t random);

// Returns the candidates that are not ejected, or all of them if all are
// ejected.
std::vector<Candidate> DropEjected(const Router& router,
                                   const std::vector<Candidate>& all,
                                   TimePoint now);

// Returns the home of a prefix: the candidate that rendezvous hashing prefers
// for it, because its cache is the likeliest to hold the prefix. Empty if there
// are no candidates.
std::optional<Candidate> HomeOf(uint64_t prefix,
                                const std::vector<Candidate>& all);

// The candidate for a request and the time to the first token that it
// estimated.
struct Choice {
  Candidate candidate;
  Duration estimated{};
};

// Returns the admitting candidate with the least expected time to the first
// token, if one is expected to meet the deadline.
std::optional<Choice> ChooseCandidate(const Router& router,
                                      const Query& query,
                                      const std::vector<ProbeAnswer>& answers,
                                      Duration deadline,
                                      TimePoint now);

// Returns when the caller should retry a request that no candidate can answer
// in time: the time until the shortest queue has drained far enough, plus a
// random part from `query.random`, so that callers that were refused together
// do not retry together.
Duration RetryAfterOf(const Router& router,
                      const Query& query,
                      const std::vector<ProbeAnswer>& answers,
                      Duration deadline,
                      TimePoint now);

// Returns how much later than its own estimate a target is expected to answer a
// request of this class. Only calls of this class and more urgent ones count:
// under load batch requests are overtaken and late, which says nothing about
// interactive ones.
Duration LatenessOf(const Router& router,
                    const std::string& target,
                    uint8_t service_class,
                    TimePoint now);

// Resets the counts of a target's failures and ejections: it answered a probe.
void HandleProbeAnswered(Router& router, const std::string& target);

// Counts a probe that was not answered in time or a call that broke off, and
// ejects the target after enough of them. `all` are the candidates for the
// request; they bound the number of ejections.
void HandleTargetFailure(Router& router,
                         const std::string& target,
                         const std::vector<Candidate>& all,
                         TimePoint now);

// Follow one call: it was sent, its first byte arrived, or it ended without
// one.
void HandleSent(Router& router,
                uint64_t call,
                const Choice& choice,
                uint8_t service_class,
                TimePoint now);
void HandleFirstByte(Router& router, uint64_t call, TimePoint now);
void HandleNoFirstByte(Router& router, uint64_t call);

}  // namespace bramleyspan::routing

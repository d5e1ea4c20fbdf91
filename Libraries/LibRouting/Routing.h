// Which group gets a request. A few candidates are probed while the request
// waits; the best that can meet the deadline is taken (power of d choices,
// Mitzenmacher 2001; probing by latency and requests in flight as in Prequal,
// Wydrowski et al. 2024). What a target promises is compared with what it
// delivers, and a target that fails is left out for a while (outlier ejection).
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

// A group that could answer, by the target whose agent admits for it.
struct Candidate {
  std::string group;
  std::string target;

  bool operator==(const Candidate&) const = default;
};

// A candidate's answer to a probe.
struct ProbeAnswer {
  Candidate candidate;
  bool is_admitting = false;
  uint32_t in_flight = 0;
  Duration first_token{};
  uint32_t cached_tokens = 0;
};

// A target's load as it was some time ago, for the baseline policies.
struct LoadReport {
  uint32_t in_flight = 0;
};

struct RoutingSettings {
  size_t probes = 2;
  // A probe without an answer after this time is taken as unanswered.
  Duration probe_timeout = std::chrono::milliseconds(50);
  // Times to the first token that differ by less are told apart by load.
  Duration latency_resolution = std::chrono::milliseconds(20);
  // Share of a request's time within which an answer must be promised; agents
  // refuse what needs more.
  double admitted_share = 0.8;
  // The home of a prefix may have this many times the load of the others
  // (bounded-load consistent hashing, Mirrokni et al. 2018).
  double affinity_load_bound = 1.25;
  uint32_t affinity_load_slack = 2;
  // Failures or unanswered probes in a row after which a target is ejected.
  uint32_t failures_to_eject = 2;
  Duration first_ejection = std::chrono::seconds(2);
  Duration longest_ejection = std::chrono::seconds(60);
  // At most this share of the candidates is ejected at a time.
  double largest_ejected_share = 0.34;
  // What a target fell short of its promises is forgotten by half in this
  // time, so that it is tried again.
  Duration lateness_half_life = std::chrono::seconds(20);
};

// Classes of service; a lower one is more urgent.
inline constexpr size_t kClasses = 3;

// A call that has been sent and has no first byte yet.
struct OutstandingCall {
  std::string target;
  uint8_t service_class = 0;
  Duration estimated{};
  TimePoint sent;
};

// Decayed mean of the time to the first token less what was promised.
struct Lateness {
  Duration mean{};
  TimePoint at;
};

// What an entry knows of a target from its own calls and probes.
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

// What a policy needs to know of a request.
struct Query {
  // Names the first part of the prompt; zero names none.
  uint64_t prefix = 0;
  uint64_t random = 0;
  uint8_t service_class = 0;
};

// A routing policy: picks the candidates to probe. If it picks one alone there
// is nothing to compare, and the request goes there.
using Policy = std::vector<Candidate> (*)(Router& router,
                                          const Query& query,
                                          const std::vector<Candidate>& all,
                                          TimePoint now);

inline constexpr std::string_view kDefaultPolicy = "probes-with-affinity";

// Finds a registered policy. Fails with kInvalidSetting.
Result<Policy> FindPolicy(std::string_view name);

// Picks up to `count` distinct candidates; `random` drives the choice.
std::vector<Candidate> PickCandidates(std::vector<Candidate> all,
                                      size_t count,
                                      uint64_t random);

// The candidates that are not ejected; all of them if none is left.
std::vector<Candidate> DropEjected(const Router& router,
                                   const std::vector<Candidate>& all,
                                   TimePoint now);

// The home of a prefix by rendezvous hashing, if there is any candidate.
std::optional<Candidate> HomeOf(uint64_t prefix,
                                const std::vector<Candidate>& all);

// The candidate for a request and the time to the first token it promised.
struct Choice {
  Candidate candidate;
  Duration estimated{};
};

// The admitting candidate that is expected to answer first, if it can meet the
// deadline.
std::optional<Choice> ChooseCandidate(const Router& router,
                                      const Query& query,
                                      const std::vector<ProbeAnswer>& answers,
                                      Duration deadline,
                                      TimePoint now);

// When a request that no candidate can answer in time should come back: when
// the queue of the best will have drained far enough, spread by `query.random`
// so that those refused together do not return together.
Duration RetryAfterOf(const Router& router,
                      const Query& query,
                      const std::vector<ProbeAnswer>& answers,
                      Duration deadline,
                      TimePoint now);

// How much later than promised a target is expected to answer a request of a
// class. Only that class and more urgent ones count: under load a batch request
// is overtaken and late, which says nothing against an interactive one.
Duration LatenessOf(const Router& router,
                    const std::string& target,
                    uint8_t service_class,
                    TimePoint now);

// A probe was answered.
void HandleProbeAnswered(Router& router, const std::string& target);

// A probe was not answered in time, or a call broke. `all` are the candidates
// that could have answered; they bound the ejections.
void HandleTargetFailure(Router& router,
                         const std::string& target,
                         const std::vector<Candidate>& all,
                         TimePoint now);

// A call was sent, its first byte came, or it ended without any.
void HandleSent(Router& router,
                uint64_t call,
                const Choice& choice,
                uint8_t service_class,
                TimePoint now);
void HandleFirstByte(Router& router, uint64_t call, TimePoint now);
void HandleNoFirstByte(Router& router, uint64_t call);

}  // namespace bramleyspan::routing

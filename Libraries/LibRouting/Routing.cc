#include "LibRouting/Routing.h"

#include <algorithm>
#include <random>
#include <tuple>

#include "LibRouting/Hash.h"

namespace bramleyspan::routing {

namespace {

// The weight of a new sample in the mean lateness is one over this.
constexpr int64_t kNewSampleDivisor = 2;

constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kLongestRetryAfter = std::chrono::seconds(15);

Duration LatestFirstToken(const Router& router, Duration deadline) {
  return std::chrono::duration_cast<Duration>(deadline *
                                              router.settings.admitted_share);
}

// Whether the home of a prefix has more than its share of the load. A popular
// prefix must not draw more load to one target than the others have, however
// well its cache is filled.
bool is_over_bound(const RoutingSettings& settings,
                   const ProbeAnswer& home,
                   const std::vector<ProbeAnswer>& answers) {
  if (answers.size() < 2) {
    return false;
  }
  double others = 0;
  for (const ProbeAnswer& answer : answers) {
    others += answer.in_flight;
  }
  others = (others - home.in_flight) / static_cast<double>(answers.size() - 1);
  return home.in_flight >
         settings.affinity_load_bound * others + settings.affinity_load_slack;
}

// Adds the target's recorded lateness to its estimate. Otherwise a target that
// always estimates zero, or less, would win every comparison.
Duration ExpectedFirstToken(const Router& router,
                            const Query& query,
                            const ProbeAnswer& answer,
                            TimePoint now) {
  const Duration estimated = std::max(answer.first_token, Duration::zero());
  return estimated +
         LatenessOf(router, answer.candidate.target, query.service_class, now);
}

Duration Decayed(const Router& router,
                 const Lateness& lateness,
                 TimePoint now) {
  constexpr int64_t kMostHalvings = 30;
  const auto halvings =
      (now - lateness.at) / router.settings.lateness_half_life;
  return lateness.mean /
         (int64_t{1} << std::clamp<int64_t>(halvings, 0, kMostHalvings));
}

void RecordLateness(Router& router,
                    const OutstandingCall& sent,
                    Duration sample,
                    TimePoint now) {
  Lateness& lateness =
      router.targets[sent.target].lateness_by_class[sent.service_class];
  const Duration previous = Decayed(router, lateness, now);
  lateness.mean = previous + (sample - previous) / kNewSampleDivisor;
  lateness.at = now;
}

bool is_ejected(const Router& router,
                const Candidate& candidate,
                TimePoint now) {
  const auto record = router.targets.find(candidate.target);
  return record != router.targets.end() && record->second.ejected_until > now;
}

}  // namespace

std::vector<Candidate> PickCandidates(std::vector<Candidate> all,
                                      size_t count,
                                      uint64_t random) {
  std::mt19937_64 generator(random);
  std::vector<Candidate> picked;
  picked.reserve(std::min(count, all.size()));
  while (picked.size() < count && !all.empty()) {
    const size_t index = generator() % all.size();
    picked.push_back(std::move(all[index]));
    all[index] = std::move(all.back());
    all.pop_back();
  }
  return picked;
}

std::vector<Candidate> DropEjected(const Router& router,
                                   const std::vector<Candidate>& all,
                                   TimePoint now) {
  std::vector<Candidate> usable;
  for (const Candidate& candidate : all) {
    if (!is_ejected(router, candidate, now)) {
      usable.push_back(candidate);
    }
  }
  return usable.empty() ? all : usable;
}

std::optional<Candidate> HomeOf(uint64_t prefix,
                                const std::vector<Candidate>& all) {
  const auto home =
      std::ranges::max_element(all, {}, [prefix](const Candidate& candidate) {
        return HashWith(candidate.target, prefix);
      });
  return home == all.end() ? std::nullopt : std::optional(*home);
}

std::optional<Choice> ChooseCandidate(const Router& router,
                                      const Query& query,
                                      const std::vector<ProbeAnswer>& answers,
                                      Duration deadline,
                                      TimePoint now) {
  const Duration allowed = LatestFirstToken(router, deadline);
  const ProbeAnswer* best = nullptr;
  std::tuple<bool, int64_t, uint32_t> best_cost;
  for (const ProbeAnswer& answer : answers) {
    const Duration expected = ExpectedFirstToken(router, query, answer, now);
    if (!answer.is_admitting || expected > allowed) {
      continue;
    }
    const bool has_cached_prefix =
        query.prefix != 0 && answer.cached_tokens > 0;
    const std::tuple cost{
        has_cached_prefix && is_over_bound(router.settings, answer, answers),
        expected / router.settings.latency_resolution, answer.in_flight};
    // Equal costs go by the order of the answers. If exact times decided, one
    // of two idle targets would get every request, and nothing would be
    // observed of the other.
    if (best == nullptr || cost < best_cost) {
      best = &answer;
      best_cost = cost;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return Choice{best->candidate, std::max(best->first_token, Duration::zero())};
}

Duration RetryAfterOf(const Router& router,
                      const Query& query,
                      const std::vector<ProbeAnswer>& answers,
                      Duration deadline,
                      TimePoint now) {
  Duration best = kLongestRetryAfter;
  for (const ProbeAnswer& answer : answers) {
    const Duration expected = ExpectedFirstToken(router, query, answer, now);
    best = std::min(best, expected - LatestFirstToken(router, deadline));
  }
  best = std::clamp(best, kShortestRetryAfter, kLongestRetryAfter);
  return best + Duration(query.random % best.count());
}

Duration LatenessOf(const Router& router,
                    const std::string& target,
                    uint8_t service_class,
                    TimePoint now) {
  Duration lateness{};
  const auto record = router.targets.find(target);
  if (record != router.targets.end()) {
    for (size_t index = 0; index <= service_class; ++index) {
      lateness = std::max(
          lateness,
          Decayed(router, record->second.lateness_by_class[index], now));
    }
  }
  // A call that is overdue now counts besides the calls that have ended: a
  // target that hangs ends no call.
  for (const auto& [call, sent] : router.outstanding) {
    if (sent.target == target && sent.service_class <= service_class) {
      const auto waited =
          std::chrono::duration_cast<Duration>(now - sent.sent_at);
      lateness = std::max(lateness, waited - sent.estimated);
    }
  }
  return lateness <= router.settings.latency_resolution ? Duration::zero()
                                                        : lateness;
}

void HandleProbeAnswered(Router& router, const std::string& target) {
  const auto found = router.targets.find(target);
  if (found != router.targets.end()) {
    found->second.failures = 0;
    found->second.ejections = 0;
  }
}

void HandleTargetFailure(Router& router,
                         const std::string& target,
                         const std::vector<Candidate>& all,
                         TimePoint now) {
  TargetRecord& record = router.targets[target];
  ++record.failures;
  if (record.failures < router.settings.failures_to_eject ||
      record.ejected_until > now) {
    return;
  }
  // If many targets fail at once, the cause is probably in this process or
  // shared by all targets. Ejecting them all would send the whole load to the
  // few that remain.
  const auto most = static_cast<int64_t>(router.settings.largest_ejected_share *
                                         static_cast<double>(all.size()));
  const int64_t ejected =
      std::ranges::count_if(all, [&](const Candidate& candidate) {
        return is_ejected(router, candidate, now);
      });
  if (ejected >= std::max<int64_t>(most, 1)) {
    return;
  }
  constexpr uint32_t kMostDoublings = 10;
  const Duration pause =
      router.settings.first_ejection *
      (int64_t{1} << std::min(record.ejections, kMostDoublings));
  record.ejected_until =
      now + std::min(pause, router.settings.longest_ejection);
  ++record.ejections;
}

void HandleSent(Router& router,
                uint64_t call,
                const Choice& choice,
                uint8_t service_class,
                TimePoint now) {
  router.outstanding.insert_or_assign(
      call, OutstandingCall{.target = choice.candidate.target,
                            .service_class = service_class,
                            .estimated = choice.estimated,
                            .sent_at = now});
}

void HandleFirstByte(Router& router, uint64_t call, TimePoint now) {
  const auto found = router.outstanding.find(call);
  if (found == router.outstanding.end()) {
    return;
  }
  const OutstandingCall& sent = found->second;
  const auto waited = std::chrono::duration_cast<Duration>(now - sent.sent_at);
  RecordLateness(router, sent, waited - sent.estimated, now);
  router.outstanding.erase(found);
}

void HandleNoFirstByte(Router& router, uint64_t call) {
  router.outstanding.erase(call);
}

}  // namespace bramleyspan::routing

// The routing policies, each registered under its name: the default one and
// baselines to compare it with.

#include <algorithm>

#include "LibRouting/Routing.h"

namespace bramleyspan::routing {

namespace {

std::vector<Candidate> PickRandom(Router& /*router*/,
                                  const Query& query,
                                  const std::vector<Candidate>& all,
                                  TimePoint /*now*/) {
  return PickCandidates(all, 1, query.random);
}

std::vector<Candidate> PickRoundRobin(Router& router,
                                      const Query& /*query*/,
                                      const std::vector<Candidate>& all,
                                      TimePoint /*now*/) {
  return {all[router.next_index++ % all.size()]};
}

// Failure: all entry processes see the same old report and send to the same
// target until the next report (herd effect).
std::vector<Candidate> PickLeastReported(Router& router,
                                         const Query& /*query*/,
                                         const std::vector<Candidate>& all,
                                         TimePoint /*now*/) {
  return {*std::ranges::min_element(all, {}, [&](const Candidate& candidate) {
    return router.reports[candidate.target].in_flight;
  })};
}

std::vector<Candidate> PickHome(Router& /*router*/,
                                const Query& query,
                                const std::vector<Candidate>& all,
                                TimePoint /*now*/) {
  return {*HomeOf(query.prefix, all)};
}

// Bounded-load consistent hashing on the reported loads: the target that
// rendezvous hashing prefers among those that are not above the bound.
std::vector<Candidate> PickBoundedHome(Router& router,
                                       const Query& query,
                                       const std::vector<Candidate>& all,
                                       TimePoint /*now*/) {
  double total = 0;
  for (const Candidate& candidate : all) {
    total += router.reports[candidate.target].in_flight;
  }
  const double bound = router.settings.affinity_load_bound * (total + 1) /
                       static_cast<double>(all.size());
  std::vector<Candidate> within;
  for (const Candidate& candidate : all) {
    if (router.reports[candidate.target].in_flight <= bound) {
      within.push_back(candidate);
    }
  }
  return {*HomeOf(query.prefix, within.empty() ? all : within)};
}

std::vector<Candidate> PickProbes(Router& router,
                                  const Query& query,
                                  const std::vector<Candidate>& all,
                                  TimePoint now) {
  return PickCandidates(DropEjected(router, all, now), router.settings.probes,
                        query.random);
}

// Adds the home of the prefix to the random candidates. A prefix in the home's
// cache shortens the time to the first token that it estimates.
std::vector<Candidate> PickProbesWithAffinity(Router& router,
                                              const Query& query,
                                              const std::vector<Candidate>& all,
                                              TimePoint now) {
  std::vector<Candidate> usable = DropEjected(router, all, now);
  if (query.prefix == 0) {
    return PickCandidates(std::move(usable), router.settings.probes,
                          query.random);
  }
  const Candidate home = *HomeOf(query.prefix, usable);
  std::erase(usable, home);
  std::vector<Candidate> picked =
      PickCandidates(std::move(usable), router.settings.probes, query.random);
  picked.push_back(home);
  return picked;
}

const PluginRegistration<Policy> kRegistrations[] = {
    {"random", PickRandom},
    {"round-robin", PickRoundRobin},
    {"least-reported", PickLeastReported},
    {"home", PickHome},
    {"bounded-home", PickBoundedHome},
    {"probes", PickProbes},
    {"probes-with-affinity", PickProbesWithAffinity},
};

}  // namespace

Result<Policy> FindPolicy(std::string_view name) {
  return PluginRegistry<Policy>::Instance().Find(name);
}

}  // namespace bramleyspan::routing

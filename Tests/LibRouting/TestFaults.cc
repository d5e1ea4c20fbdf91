#include <doctest/doctest.h>

#include <map>

#include "LibRouting/Hash.h"
#include "LibRouting/Routing.h"

namespace bramleyspan::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kBegin = TimePoint{} + seconds(100);

std::vector<Candidate> MakeCandidates(size_t count) {
  std::vector<Candidate> all;
  for (size_t i = 0; i < count; ++i) {
    all.push_back({"g" + std::to_string(i), "t" + std::to_string(i)});
  }
  return all;
}

ProbeAnswer Promise(const std::string& target,
                    Duration first_token,
                    uint32_t in_flight = 0) {
  return {.candidate = {"g", target},
          .is_admitting = true,
          .in_flight = in_flight,
          .first_token = first_token};
}

// A call that is promised `promised` and answered after `delivered`.
void Serve(Router& router,
           const std::string& target,
           Duration estimated,
           Duration delivered,
           uint8_t service_class = 0) {
  HandleSent(router, 1, {{"g", target}, estimated}, service_class, kBegin);
  HandleFirstByte(router, 1, kBegin + delivered);
}

std::string ChosenOf(const Router& router,
                     const std::vector<ProbeAnswer>& answers,
                     Query query = {},
                     TimePoint now = kBegin + seconds(2)) {
  const auto choice = ChooseCandidate(router, query, answers, seconds(60), now);
  return choice ? choice->candidate.target : "";
}

}  // namespace

// Every draft of a studio crawls: one agent promises no wait at all, or less
// than none, so every comparison of promises is won by it.
TEST_CASE("a target that promises nonsense does not attract everything") {
  for (const Duration nonsense : {Duration::zero(), -Duration(seconds(9))}) {
    Router router;
    const std::vector<ProbeAnswer> answers{
        Promise("liar", nonsense), Promise("honest", milliseconds(200))};
    CHECK(ChosenOf(router, answers) == "liar");
    Serve(router, "liar", nonsense, seconds(2));
    CHECK(ChosenOf(router, answers) == "honest");
    // What is learnt fades, so that a mended target is tried again.
    CHECK(ChosenOf(router, answers, {}, kBegin + std::chrono::minutes(5)) ==
          "liar");
  }
}

// Drafts go on piling up at a frozen target: it ends no call, so a record of
// ended calls alone says that it is as good as ever.
TEST_CASE("a call that is overdue counts before it ends") {
  Router router;
  HandleSent(router, 1, {{"g", "frozen"}, milliseconds(50)}, 0, kBegin);
  const std::vector<ProbeAnswer> answers{Promise("frozen", milliseconds(50)),
                                         Promise("slow", milliseconds(500))};
  CHECK(ChosenOf(router, answers, {}, kBegin + milliseconds(100)) == "frozen");
  CHECK(ChosenOf(router, answers) == "slow");
}

// Interactive requests are refused on the night before term while batch runs:
// batch is overtaken and late, which was held against the target as a whole.
TEST_CASE("lateness of a less urgent class does not count") {
  Router router;
  Serve(router, "a", milliseconds(100), seconds(15), 2);
  const Duration none{};
  CHECK(LatenessOf(router, "a", 0, kBegin + seconds(15)) == none);
  CHECK(LatenessOf(router, "a", 2, kBegin + seconds(15)) > seconds(5));
}

// Each request that probes a dead target waits for the probe's timeout: the
// target is listed for as long as the VM list lags.
TEST_CASE("a target that answers no probes is left out and tried again") {
  Router router;
  const auto all = MakeCandidates(4);
  HandleTargetFailure(router, "t1", all, kBegin);
  CHECK(DropEjected(router, all, kBegin).size() == 4);
  HandleTargetFailure(router, "t1", all, kBegin);
  CHECK(DropEjected(router, all, kBegin).size() == 3);
  const TimePoint back = kBegin + router.settings.first_ejection;
  CHECK(DropEjected(router, all, back).size() == 4);
  // One more failure is enough then, and it stays away for longer.
  HandleTargetFailure(router, "t1", all, back);
  CHECK(
      DropEjected(router, all, back + router.settings.first_ejection).size() ==
      3);
  HandleProbeAnswered(router, "t1");
  CHECK(router.targets.at("t1").failures == 0);
}

// An entry loses its own network for a moment, every probe fails, and after
// that all callers' load lands on the one target that was not thrown out.
TEST_CASE("no more than a share of the targets is left out") {
  Router router;
  const auto all = MakeCandidates(9);
  for (const Candidate& candidate : all) {
    HandleTargetFailure(router, candidate.target, all, kBegin);
    HandleTargetFailure(router, candidate.target, all, kBegin);
  }
  CHECK(DropEjected(router, all, kBegin).size() == 6);
}

// One popular prompt slows its target while others idle: the cache hint drew
// every request with that prefix there.
TEST_CASE("the pull of a cached prefix is capped by load") {
  const Router router;
  ProbeAnswer home = Promise("home", milliseconds(20), 12);
  home.cached_tokens = 512;
  const auto other = Promise("other", milliseconds(120), 10);
  CHECK(ChosenOf(router, {home, other}, {.prefix = 7}) == "home");
  home.in_flight = 30;
  CHECK(ChosenOf(router, {home, other}, {.prefix = 7}) == "other");
}

TEST_CASE("a prefix keeps its home when another target goes") {
  auto all = MakeCandidates(10);
  std::map<uint64_t, std::string> homes;
  for (uint64_t prefix = 1; prefix <= 100; ++prefix) {
    homes[prefix] = HomeOf(prefix, all)->target;
  }
  all.erase(all.begin());
  for (const auto& [prefix, home] : homes) {
    if (home != "t0") {
      CHECK(HomeOf(prefix, all)->target == home);
    }
  }
  CHECK(HashPrefix("one and the same start, one end", 10) ==
        HashPrefix("one and the same start, another end", 10));
}

// Every entry picks the same target until the next report, the target drowns
// and the others idle: the herd.
TEST_CASE("probing policies spread entries that hold the same old reports") {
  const auto all = MakeCandidates(10);
  const auto spread = [&](std::string_view name) {
    std::map<std::string, int> picks;
    for (uint64_t entry = 0; entry < 100; ++entry) {
      Router router;
      for (const Candidate& candidate : all) {
        router.reports[candidate.target].in_flight = 5;
      }
      router.reports["t3"].in_flight = 1;
      const auto picked = FindPolicy(name).value()(
          router, {.prefix = 0, .random = entry * 7919}, all, kBegin);
      ++picks[picked.front().target];
    }
    return picks;
  };
  CHECK(spread("least-reported").size() == 1);
  CHECK(spread("probes").size() == 10);
  CHECK(FindPolicy("no-such").has_error());
}

}  // namespace bramleyspan::routing

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

ProbeAnswer MakeAnswer(const std::string& target,
                       Duration first_token,
                       uint32_t in_flight = 0) {
  return {.candidate = {"g", target},
          .is_admitting = true,
          .in_flight = in_flight,
          .first_token = first_token};
}

// Runs a call for which the target estimated `estimated` and whose first byte
// came after `actual`.
void CompleteCall(Router& router,
                  const std::string& target,
                  Duration estimated,
                  Duration actual,
                  uint8_t service_class = 0) {
  HandleSent(router, 1, {{"g", target}, estimated}, service_class, kBegin);
  HandleFirstByte(router, 1, kBegin + actual);
}

std::string ChosenOf(const Router& router,
                     const std::vector<ProbeAnswer>& answers,
                     Query query = {},
                     TimePoint now = kBegin + seconds(2)) {
  const auto choice = ChooseCandidate(router, query, answers, seconds(60), now);
  return choice ? choice->candidate.target : "";
}

}  // namespace

// Failure: one agent always estimates a wait of zero or less, wins every
// comparison and gets all requests although it is slow.
TEST_CASE("a target with wrong estimates does not get every request") {
  for (const Duration estimate : {Duration::zero(), -Duration(seconds(9))}) {
    Router router;
    const std::vector<ProbeAnswer> answers{
        MakeAnswer("optimistic", estimate),
        MakeAnswer("accurate", milliseconds(200))};
    CHECK(ChosenOf(router, answers) == "optimistic");
    CompleteCall(router, "optimistic", estimate, seconds(2));
    CHECK(ChosenOf(router, answers) == "accurate");
    // Lateness decays, so that a target that has recovered is tried again.
    CHECK(ChosenOf(router, answers, {}, kBegin + std::chrono::minutes(5)) ==
          "optimistic");
  }
}

// Failure: a target that hangs goes on getting requests. It ends no call, so
// records of ended calls alone show it as fast as before.
TEST_CASE("an overdue call counts as lateness before it ends") {
  Router router;
  HandleSent(router, 1, {{"g", "frozen"}, milliseconds(50)}, 0, kBegin);
  const std::vector<ProbeAnswer> answers{MakeAnswer("frozen", milliseconds(50)),
                                         MakeAnswer("slow", milliseconds(500))};
  CHECK(ChosenOf(router, answers, {}, kBegin + milliseconds(100)) == "frozen");
  CHECK(ChosenOf(router, answers) == "slow");
}

// Failure: interactive requests are refused while batch requests run. Batch
// requests are overtaken and late, and their lateness was counted against the
// target for all classes.
TEST_CASE("lateness of a less urgent class is ignored") {
  Router router;
  CompleteCall(router, "a", milliseconds(100), seconds(15), 2);
  const Duration none{};
  CHECK(LatenessOf(router, "a", 0, kBegin + seconds(15)) == none);
  CHECK(LatenessOf(router, "a", 2, kBegin + seconds(15)) > seconds(5));
}

// Failure: every request that probes a dead target waits for the probe's
// timeout, for as long as the VM list still names the target.
TEST_CASE("a target that answers no probes is ejected and tried again") {
  Router router;
  const auto all = MakeCandidates(4);
  HandleTargetFailure(router, "t1", all, kBegin);
  CHECK(DropEjected(router, all, kBegin).size() == 4);
  HandleTargetFailure(router, "t1", all, kBegin);
  CHECK(DropEjected(router, all, kBegin).size() == 3);
  const TimePoint ejection_end = kBegin + router.settings.first_ejection;
  CHECK(DropEjected(router, all, ejection_end).size() == 4);
  // One more failure ejects it again, and for longer.
  HandleTargetFailure(router, "t1", all, ejection_end);
  CHECK(DropEjected(router, all, ejection_end + router.settings.first_ejection)
            .size() == 3);
  HandleProbeAnswered(router, "t1");
  CHECK(router.targets.at("t1").failures == 0);
}

// Failure: an entry process loses its network for a moment, all its probes
// fail, and afterwards all load goes to the one target that was not ejected.
TEST_CASE("at most a share of the targets is ejected") {
  Router router;
  const auto all = MakeCandidates(9);
  for (const Candidate& candidate : all) {
    HandleTargetFailure(router, candidate.target, all, kBegin);
    HandleTargetFailure(router, candidate.target, all, kBegin);
  }
  CHECK(DropEjected(router, all, kBegin).size() == 6);
}

// Failure: a popular prompt overloads one target while others are idle, because
// the cached prefix draws every request with it there.
TEST_CASE("the load of a cached prefix's home is bounded") {
  const Router router;
  ProbeAnswer home = MakeAnswer("home", milliseconds(20), 12);
  home.cached_tokens = 512;
  const auto other = MakeAnswer("other", milliseconds(120), 10);
  CHECK(ChosenOf(router, {home, other}, {.prefix = 7}) == "home");
  home.in_flight = 30;
  CHECK(ChosenOf(router, {home, other}, {.prefix = 7}) == "other");
}

TEST_CASE("a prefix keeps its home when another target is removed") {
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

// Failure: all entry processes pick the same target until the next report; it
// is overloaded while the others are idle (herd effect).
TEST_CASE("probing policies spread requests despite equal old reports") {
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

#include <doctest/doctest.h>

#include "LibClaims/Claims.h"

namespace bramleyspan::claims {

namespace {

using std::chrono::minutes;

ClaimRegistry MakeRegistry(uint64_t incarnation) {
  ClaimRegistry registry;
  registry.agent = "t5";
  registry.incarnation = incarnation;
  registry.secret = "secret of the test";
  return registry;
}

}  // namespace

// A member's invoice is issued twice: the caller gave up on the first attempt
// and asked again through another entry while the first was still running.
TEST_CASE("a key runs once however often it is shown") {
  ClaimRegistry registry = MakeRegistry(1);
  const TimePoint now = registry.started + minutes(1);
  const std::string key = IssueClaim(registry, "huber", "issue", "01", now);
  CHECK(AdmitClaim(registry, key, "huber", "issue", now) ==
        ClaimDecision::kRun);
  CHECK(AdmitClaim(registry, key, "huber", "issue", now) ==
        ClaimDecision::kIsRunning);
  FinishClaim(registry, key, {.status = 200, .body = "invoice 1"});
  CHECK(AdmitClaim(registry, key, "huber", "issue", now) ==
        ClaimDecision::kIsDone);
  CHECK(FindClaim(registry, key)->answer.body == "invoice 1");
}

// A caller is told "not run" and takes a new key; the first attempt, delayed
// on its way, arrives after that and runs as well.
TEST_CASE("a refused key never runs") {
  ClaimRegistry registry = MakeRegistry(1);
  const TimePoint now = registry.started;
  const std::string key = IssueClaim(registry, "huber", "issue", "01", now);
  RefuseClaim(registry, key);
  CHECK(AdmitClaim(registry, key, "huber", "issue", now) ==
        ClaimDecision::kIsRefused);
}

// The agent restarts and has forgotten that it forwarded a call; the caller
// shows the key again and the call runs a second time.
TEST_CASE("a key of another incarnation or a forgotten epoch is unknown") {
  ClaimRegistry before = MakeRegistry(1);
  ClaimRegistry after = MakeRegistry(2);
  const TimePoint now = before.started;
  const std::string key = IssueClaim(before, "huber", "issue", "01", now);
  CHECK(AdmitClaim(after, key, "huber", "issue", now) ==
        ClaimDecision::kIsUnknown);
  const TimePoint late = now + minutes(12);
  ForgetOldEpochs(before, late);
  CHECK(AdmitClaim(before, key, "huber", "issue", late) ==
        ClaimDecision::kIsUnknown);
}

TEST_CASE("a key is of no use to another owner or entry") {
  ClaimRegistry registry = MakeRegistry(1);
  const TimePoint now = registry.started;
  const std::string key = IssueClaim(registry, "huber", "issue", "01", now);
  CHECK(AdmitClaim(registry, key, "maier", "issue", now) ==
        ClaimDecision::kIsForged);
  CHECK(AdmitClaim(registry, key, "huber", "other", now) ==
        ClaimDecision::kIsForged);
}

}  // namespace bramleyspan::claims

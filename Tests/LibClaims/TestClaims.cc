#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "LibClaims/Claims.h"
#include "Tests/Property.h"

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

std::string Issue(const ClaimRegistry& registry,
                  TimePoint now,
                  const std::string& nonce = "01") {
  return IssueClaim(registry, "huber", "issue", nonce, now);
}

ClaimDecision Admit(ClaimRegistry& registry,
                    const std::string& key,
                    TimePoint now) {
  return AdmitClaim(registry, {key, "huber", "issue", "invoice 1"}, now);
}

}  // namespace

// Failure: a call runs twice. The caller gives up on the first attempt and
// repeats the call through another entry process while the first is still
// running.
TEST_CASE("a key runs once however often it is presented") {
  ClaimRegistry registry = MakeRegistry(1);
  const TimePoint now = registry.started + minutes(1);
  const std::string key = Issue(registry, now);
  CHECK(Admit(registry, key, now) == ClaimDecision::kRun);
  CHECK(Admit(registry, key, now) == ClaimDecision::kIsRunning);
  FinishClaim(registry, key, {.status = 200, .body = "invoice 1"});
  CHECK(Admit(registry, key, now) == ClaimDecision::kIsDone);
  CHECK(FindClaim(registry, key)->answer.body == "invoice 1");
}

// Failure: a caller gets "not run" and takes a new key; then the first attempt
// arrives late and runs as well.
TEST_CASE("a refused key never runs") {
  ClaimRegistry registry = MakeRegistry(1);
  const TimePoint now = registry.started;
  const std::string key = Issue(registry, now);
  REQUIRE(Admit(registry, key, now) == ClaimDecision::kRun);
  RefuseClaim(registry, key);
  CHECK(Admit(registry, key, now) == ClaimDecision::kIsRefused);
}

// Failure: the exchange with the back end reports its end twice, or after the
// caller got "not run", and the key's state contradicts the earlier answer.
TEST_CASE("the final state of a key never changes") {
  ClaimRegistry registry = MakeRegistry(1);
  const TimePoint now = registry.started;
  const std::string refused = Issue(registry, now, "01");
  const std::string done = Issue(registry, now, "02");
  REQUIRE(Admit(registry, refused, now) == ClaimDecision::kRun);
  REQUIRE(Admit(registry, done, now) == ClaimDecision::kRun);
  RefuseClaim(registry, refused);
  FinishClaim(registry, refused, {.status = 200});
  CHECK(Admit(registry, refused, now) == ClaimDecision::kIsRefused);
  FinishClaim(registry, done, {.status = 200});
  RefuseClaim(registry, done);
  MarkClaimUnknown(registry, done);
  CHECK(Admit(registry, done, now) == ClaimDecision::kIsDone);
}

// Failure: the agent restarts, has no record of a call that it forwarded, and
// runs the call again when the caller presents the key.
TEST_CASE("a key of another incarnation or a removed epoch is unknown") {
  ClaimRegistry before = MakeRegistry(1);
  ClaimRegistry after = MakeRegistry(2);
  const TimePoint now = before.started;
  const std::string key = Issue(before, now);
  CHECK(Admit(after, key, now) == ClaimDecision::kIsUnknown);
  const TimePoint late = now + minutes(12);
  RemoveExpiredEpochs(before, late);
  CHECK(Admit(before, key, late) == ClaimDecision::kIsUnknown);
}

// Failure: a VM's name is given to another VM, an entry process with an old VM
// list sends it a key of the previous VM, and the agent answers "not run"
// without knowing it.
TEST_CASE("an agent does not answer for another agent's key") {
  ClaimRegistry owner = MakeRegistry(1);
  ClaimRegistry other = MakeRegistry(1);
  other.agent = "t6";
  const std::string key = Issue(owner, owner.started);
  CHECK(Admit(other, key, other.started) == ClaimDecision::kIsUnknown);
}

TEST_CASE("a key is rejected for another owner, catalogue entry or request") {
  ClaimRegistry registry = MakeRegistry(1);
  const TimePoint now = registry.started;
  const std::string key = Issue(registry, now);
  CHECK(AdmitClaim(registry, {key, "maier", "issue", "invoice 1"}, now) ==
        ClaimDecision::kIsForged);
  CHECK(AdmitClaim(registry, {key, "huber", "other", "invoice 1"}, now) ==
        ClaimDecision::kIsForged);
  REQUIRE(Admit(registry, key, now) == ClaimDecision::kRun);
  CHECK(AdmitClaim(registry, {key, "huber", "issue", "invoice 2"}, now) ==
        ClaimDecision::kIsOtherCall);
}

// Failure: a call runs for longer than keys are retained, its record is
// removed, and a caller that repeats the call does not get its answer.
TEST_CASE("a running key is retained until its call ends") {
  ClaimRegistry registry = MakeRegistry(1);
  const std::string key = Issue(registry, registry.started);
  REQUIRE(Admit(registry, key, registry.started) == ClaimDecision::kRun);
  const TimePoint late = registry.started + minutes(12);
  RemoveExpiredEpochs(registry, late);
  CHECK(Admit(registry, key, late) == ClaimDecision::kIsRunning);
  FinishClaim(registry, key, {.status = 200});
  RemoveExpiredEpochs(registry, late);
  CHECK(Admit(registry, key, late) == ClaimDecision::kIsUnknown);
}

// Failure: large answers fill the agent's memory until it is killed, and the
// outcome of every call in flight becomes unknown.
TEST_CASE("answers are evicted, but not the records of their calls") {
  ClaimRegistry registry = MakeRegistry(1);
  registry.settings.most_answer_bytes = 10;
  registry.settings.largest_answer = 8;
  const TimePoint now = registry.started;
  const std::string first = Issue(registry, now, "01");
  const std::string second = Issue(registry, now, "02");
  const std::string third = Issue(registry, now, "03");
  for (const std::string& key : {first, second, third}) {
    REQUIRE(Admit(registry, key, now) == ClaimDecision::kRun);
    StoredAnswer answer{.status = 200};
    AppendToAnswer(registry.settings, answer, key == third ? "123456789" : "");
    AppendToAnswer(registry.settings, answer, "123456");
    FinishClaim(registry, key, answer);
  }
  CHECK(Admit(registry, first, now) == ClaimDecision::kIsAnswerGone);
  CHECK(Admit(registry, second, now) == ClaimDecision::kIsDone);
  CHECK(Admit(registry, third, now) == ClaimDecision::kIsAnswerGone);
  CHECK(registry.answer_bytes == 6);
}

// Failure: a burst fills the table of keys, a key runs without a record, and
// its duplicate runs again.
TEST_CASE("a full registry removes old epochs, then runs no new key") {
  ClaimRegistry registry = MakeRegistry(1);
  registry.settings.most_records = 2;
  const TimePoint now = registry.started;
  const TimePoint later = now + minutes(1);
  const std::string old = Issue(registry, now);
  REQUIRE(Admit(registry, old, now) == ClaimDecision::kRun);
  FinishClaim(registry, old, {.status = 200});
  REQUIRE(Admit(registry, Issue(registry, later, "02"), later) ==
          ClaimDecision::kRun);
  CHECK(Admit(registry, Issue(registry, later, "03"), later) ==
        ClaimDecision::kRun);
  CHECK(Admit(registry, old, later) == ClaimDecision::kIsUnknown);
  CHECK(Admit(registry, Issue(registry, later, "04"), later) ==
        ClaimDecision::kIsFull);
  CHECK(registry.record_count == 2);
}

// Presents keys, ends calls, evicts answers, removes epochs and restarts in any
// order.
TEST_CASE("property: a key runs at most once and never after not run") {
  tests::CheckProperty(
      "keys of one agent", [](const std::vector<uint8_t>& steps) {
        ClaimRegistry registry = MakeRegistry(1);
        registry.settings = {.epoch_length = minutes(1),
                             .retained_epochs = 2,
                             .most_records = 3,
                             .most_answer_bytes = 4,
                             .largest_answer = 3};
        TimePoint now = registry.started;
        std::vector<std::string> keys;
        std::map<std::string, int> runs;
        std::set<std::string> not_run;
        for (const uint8_t step : steps) {
          if (keys.size() < 6 && step % 8 < 2) {
            keys.push_back(Issue(registry, now, std::to_string(keys.size())));
          }
          if (keys.empty()) {
            continue;
          }
          const std::string& key = keys[(step / 8) % keys.size()];
          switch (step % 8) {
            case 2:
            case 3:
              if (Admit(registry, key, now) == ClaimDecision::kRun) {
                RC_ASSERT(!not_run.contains(key));
                RC_ASSERT(++runs[key] == 1);
              }
              break;
            case 4:
              FinishClaim(registry, key, {.status = 200, .body = "12"});
              break;
            case 5:
              if (Admit(registry, key, now) == ClaimDecision::kRun) {
                RefuseClaim(registry, key);
                not_run.insert(key);
              }
              break;
            case 6:
              MarkClaimUnknown(registry, key);
              break;
            case 7:
              now += std::chrono::seconds(30);
              RemoveExpiredEpochs(registry, now);
              break;
            default:
              break;
          }
          RC_ASSERT(registry.record_count <= registry.settings.most_records);
          RC_ASSERT(registry.answer_bytes <=
                    registry.settings.most_answer_bytes);
        }
      });
}

}  // namespace bramleyspan::claims

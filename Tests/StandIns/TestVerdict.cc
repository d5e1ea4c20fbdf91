#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "StandIns/Soak/Verdict.h"

namespace bramleyspan::standins {

namespace {

using std::chrono::milliseconds;

const std::string kIp = "127.0.1.1";
constexpr milliseconds kStopped(10000);
constexpr milliseconds kGone(17700);
constexpr int kEnoughWhole = 20;

// A soak in which a gateway was stopped and nothing was broken.
Records SoundRecords() {
  Records records{.time_limit = milliseconds(8000)};
  for (int i = 0; i < kEnoughWhole; ++i) {
    records.callers.push_back({.id = "whole-" + std::to_string(i),
                               .kind = "plain",
                               .outcome = "whole",
                               .ip = kIp});
  }
  records.processes.push_back({.name = "gateway-1",
                               .ip = kIp,
                               .stopped = kStopped,
                               .ended = kGone,
                               .is_asked_to_stop = true,
                               .has_begun = true});
  return records;
}

CallerRecord RequestThat(const std::string& outcome,
                         milliseconds sent,
                         milliseconds ended) {
  return {.id = "c-1",
          .kind = "stream",
          .outcome = outcome,
          .begun = sent,
          .sent = sent,
          .ended = ended,
          .ip = kIp,
          .fault = "-"};
}

RunRecord RunOf(const CallerRecord& request, milliseconds ended) {
  return {.server = "rank-0",
          .attempt = request.id,
          .target = request.kind == "plain" ? "/issue/x" : "/draft/x",
          .tenant = "huber",
          .body = "body",
          .begun = request.sent,
          .ended = ended,
          .how = "left"};
}

std::vector<std::string> RulesBrokenIn(const Records& records) {
  std::vector<std::string> rules;
  for (const Finding& finding : Judge(records)) {
    rules.push_back(finding.rule);
  }
  return rules;
}

std::vector<std::string> RulesBrokenBy(
    const CallerRecord& request,
    const std::vector<RunRecord>& runs = {}) {
  Records records = SoundRecords();
  records.callers.push_back(request);
  if (!runs.empty()) {
    records.runs[request.id] = runs;
  }
  return RulesBrokenIn(records);
}

using Rules = std::vector<std::string>;

}  // namespace

TEST_CASE("A sound soak breaks no rule") {
  CHECK(RulesBrokenIn(SoundRecords()).empty());
}

TEST_CASE("An answer that the end of a gateway cuts or drops is lost") {
  const milliseconds late = kStopped + milliseconds(6080);
  const CallerRecord cut = RequestThat("cut", late, kGone);
  CHECK(RulesBrokenBy(cut, {RunOf(cut, kGone)}) == Rules{"LOST"});
  CHECK(RulesBrokenBy(RequestThat("dropped", late, kGone)) == Rules{"LOST"});
}

TEST_CASE("A request that crossed a close is lost only if it was passed on") {
  const CallerRecord crossed =
      RequestThat("crossed", kGone - milliseconds(50), kGone);
  CHECK(RulesBrokenBy(crossed).empty());
  CHECK(RulesBrokenBy(crossed, {RunOf(crossed, kGone)}) == Rules{"LOST"});
}

TEST_CASE("A cut is excused at work in the last sixth if sent early enough") {
  const CallerRecord early =
      RequestThat("cut", kStopped + milliseconds(3000), kGone);
  CHECK(RulesBrokenBy(early, {RunOf(early, kGone)}).empty());
  const CallerRecord late =
      RequestThat("cut", kStopped + milliseconds(3001), kGone);
  CHECK(RulesBrokenBy(late, {RunOf(late, kGone)}) == Rules{"LOST"});
  // Its server had ended before the last sixth.
  const milliseconds before = kStopped + milliseconds(6600);
  CHECK(RulesBrokenBy(early, {RunOf(early, before)}) == Rules{"LOST"});
  // It was cut before the last sixth.
  const CallerRecord soon = RequestThat("cut", kStopped, before);
  CHECK(RulesBrokenBy(soon, {RunOf(soon, before)}) == Rules{"LOST"});
}

TEST_CASE("A cut at the time limit or by the server is excused") {
  const CallerRecord over =
      RequestThat("cut", kGone - milliseconds(8000), kGone);
  CHECK(RulesBrokenBy(over).empty());
  const CallerRecord cut = RequestThat("cut", kGone - milliseconds(900), kGone);
  RunRecord run = RunOf(cut, kGone);
  run.how = "cut";
  CHECK(RulesBrokenBy(cut, {run}).empty());
}

TEST_CASE("A cut far from a stop is one unless there was trouble") {
  Records records = SoundRecords();
  records.callers.push_back(
      RequestThat("cut", milliseconds(5000), milliseconds(6000)));
  CHECK(RulesBrokenIn(records) == Rules{"CUT"});
  records.troubles.push_back(
      {.begin = milliseconds(1000), .end = milliseconds(1999)});
  CHECK(RulesBrokenIn(records) == Rules{"CUT"});
  records.troubles.push_back(
      {.begin = milliseconds(5500), .end = milliseconds(5600)});
  CHECK(RulesBrokenIn(records).empty());
}

TEST_CASE("Trouble excuses no loss around a stop") {
  Records records = SoundRecords();
  records.callers.push_back(
      RequestThat("dropped", kStopped + milliseconds(4000), kGone));
  records.troubles.push_back({.begin = kStopped, .end = kGone});
  CHECK(RulesBrokenIn(records) == Rules{"LOST"});
}

TEST_CASE("A plain request runs once, and never if it was refused") {
  CallerRecord request = RequestThat("whole", kStopped, kGone);
  request.kind = "plain";
  const RunRecord run = RunOf(request, kGone);
  CHECK(RulesBrokenBy(request, {run}).empty());
  CHECK(RulesBrokenBy(request, {run, run}) == Rules{"TWICE"});
  request.outcome = "refused";
  CHECK(RulesBrokenBy(request, {run}) == Rules{"REFUSED"});
  const CallerRecord stream = RequestThat("refused", kStopped, kGone);
  CHECK(RulesBrokenBy(stream, {RunOf(stream, kGone)}).empty());
}

TEST_CASE("A run that no caller asked for, or that was changed, is found") {
  const CallerRecord request = RequestThat("whole", kStopped, kGone);
  for (const auto field :
       {&RunRecord::target, &RunRecord::tenant, &RunRecord::body}) {
    RunRecord run = RunOf(request, kGone);
    run.*field = "other";
    CHECK(RulesBrokenBy(request, {run}) == Rules{"UNASKED"});
  }
  Records records = SoundRecords();
  records.runs["nobody"] = {RunOf(request, kGone)};
  CHECK(RulesBrokenIn(records) == Rules{"UNASKED"});
}

TEST_CASE("An answer with bytes of another is mixed") {
  CHECK(RulesBrokenBy(RequestThat("mixed", kStopped, kGone)) == Rules{"MIXED"});
}

TEST_CASE("A process that ends badly or is killed at its bound is found") {
  constexpr int kSegmentationFault = 139;
  constexpr int kKilled = 137;
  constexpr int kKilledByTerm = 143;
  Records records = SoundRecords();
  ProcessRecord& process = records.processes.front();
  process.status = kSegmentationFault;
  CHECK(RulesBrokenIn(records) == Rules{"STATUS"});
  process.status = kKilled;
  process.is_killed_at_bound = true;
  CHECK(RulesBrokenIn(records) == Rules{"BOUND"});
  process.is_killed_at_bound = false;
  process.status = 0;
  process.is_asked_to_stop = false;
  CHECK(RulesBrokenIn(records) == Rules{"STATUS"});
  process.is_asked_to_stop = true;
  process.status = kKilledByTerm;
  CHECK(RulesBrokenIn(records) == Rules{"STATUS"});
  process.has_begun = false;
  CHECK(RulesBrokenIn(records).empty());
}

TEST_CASE("A soak that served nearly nothing proves nothing") {
  CHECK(RulesBrokenIn({}) == Rules{"EMPTY"});
}

}  // namespace bramleyspan::standins

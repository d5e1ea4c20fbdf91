#include "LibAdmission/Admission.h"
#include "LibAdmission/PrefillModel.h"

#include <algorithm>
#include <map>

#include "Tests/Property.h"

namespace bramleyspan::admission {

namespace {

using catalogue::ServiceClass;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kBegin = TimePoint{} + seconds(100);

Request MakeRequest(uint64_t id,
                    ServiceClass service_class = ServiceClass::kInteractive,
                    Duration allowed = seconds(2),
                    TimePoint now = kBegin) {
  return {.id = id, .service_class = service_class, .deadline = now + allowed};
}

// An agent whose back end runs two requests of 400 ms concurrently.
Admission MakeAdmission() {
  Admission admission;
  admission.settings.slots = 2;
  admission.settings.initial_service = milliseconds(400);
  admission.last_progress = kBegin;
  return admission;
}

}  // namespace

TEST_CASE("requests start while slots are free and wait after that") {
  Admission admission = MakeAdmission();
  CHECK(Decide(admission, MakeRequest(1), kBegin).verdict == Verdict::kStart);
  CHECK(Decide(admission, MakeRequest(2), kBegin).verdict == Verdict::kStart);
  CHECK(Decide(admission, MakeRequest(3), kBegin).verdict == Verdict::kWait);
  const Effects effects = HandleEnd(admission, 1, true, kBegin);
  CHECK(effects.start == std::vector<uint64_t>{3});
}

// Guards against admitting a request although the queue is longer than its
// deadline from the start: its caller is refused only after a wait of 2 s.
TEST_CASE("a request that cannot be answered in time is refused on arrival") {
  Admission admission = MakeAdmission();
  uint64_t id = 0;
  Decision decision;
  do {
    decision = Decide(admission, MakeRequest(++id), kBegin);
  } while (decision.verdict != Verdict::kRefuse && id < 100);
  // Two run; at one start per 200 ms eight can wait within 80% of 2 s.
  CHECK(id == 11);
  CHECK(decision.retry_after > Duration::zero());
  const Decision next = Decide(admission, MakeRequest(12), kBegin);
  CHECK(next.retry_after > decision.retry_after);
}

// If interactive requests keep arriving and always go first, batch requests
// never start.
TEST_CASE("no class starves while more urgent ones keep coming") {
  ClassQueues queues;
  for (uint64_t id = 1; id <= 40; ++id) {
    Push(queues, MakeRequest(id, ServiceClass::kBatch));
  }
  std::map<ServiceClass, int> started;
  for (uint64_t id = 100; id < 310; ++id) {
    Push(queues, MakeRequest(id, ServiceClass::kInteractive));
    Push(queues, MakeRequest(id + 1000, ServiceClass::kStandard));
    ++started[Pop(queues)->service_class];
  }
  CHECK(started[ServiceClass::kInteractive] == 160);
  CHECK(started[ServiceClass::kStandard] == 40);
  CHECK(started[ServiceClass::kBatch] == 10);
}

// Guards against a class that accumulates a claim to start while idle: after
// hours without batch requests, interactive ones wait behind a burst of them.
TEST_CASE("an idle class accumulates no claim to the next starts") {
  ClassQueues queues;
  for (uint64_t id = 1; id <= 100; ++id) {
    Push(queues, MakeRequest(id, ServiceClass::kInteractive));
    Pop(queues);
  }
  for (uint64_t id = 200; id < 220; ++id) {
    Push(queues, MakeRequest(id, ServiceClass::kBatch));
    Push(queues, MakeRequest(id + 100, ServiceClass::kInteractive));
  }
  int batch = 0;
  for (int i = 0; i < 17; ++i) {
    batch += Pop(queues)->service_class == ServiceClass::kBatch;
  }
  CHECK(batch <= 2);
}

// A frozen engine sends no event. Without a check on time, the caller of a
// request that waits for it is refused 2 s late.
TEST_CASE(
    "a request that waits for a stalled back end is refused long before "
    "its deadline") {
  Admission admission = MakeAdmission();
  Decide(admission, MakeRequest(1), kBegin);
  Decide(admission, MakeRequest(2), kBegin);
  Decide(admission, MakeRequest(3, ServiceClass::kInteractive, seconds(4)),
         kBegin);
  TimePoint now = kBegin;
  Effects effects;
  while (effects.refuse.empty() && now < kBegin + seconds(4)) {
    now += kReviewInterval;
    effects = Review(admission, now);
  }
  REQUIRE(effects.refuse.size() == 1);
  CHECK(effects.refuse.front().id == 3);
  CHECK(now - kBegin < milliseconds(2500));
  CHECK(Decide(admission,
               MakeRequest(4, ServiceClass::kInteractive, seconds(2), now), now)
            .verdict == Verdict::kRefuse);
}

// A mean over ended requests ignores those that do not end, so an engine that
// slows down keeps its good estimate for minutes.
TEST_CASE("the estimate shows a slower engine before its requests end") {
  Admission admission = MakeAdmission();
  admission.settings.slots = 4;
  for (uint64_t id = 1; id <= 4; ++id) {
    Decide(admission, MakeRequest(id), kBegin);
    HandleProgress(admission, id, kBegin);
  }
  const auto before = EstimateFor(admission, MakeRequest(9), kBegin);
  const TimePoint later = kBegin + seconds(2);
  HandleProgress(admission, 1, later);
  const auto after = EstimateFor(admission, MakeRequest(9), later);
  CHECK(after.first_token > 4 * before.first_token);
}

// Guards against an estimate from the queue alone. It promises batch requests
// starts that later interactive requests take, and they are refused after most
// of their deadline.
TEST_CASE("an estimate includes the expected arrivals of more urgent classes") {
  ClassQueues quiet;
  ClassQueues busy;
  for (int i = 0; i < 20; ++i) {
    RecordAdmitted(busy, ServiceClass::kInteractive, kBegin);
  }
  constexpr double kInterval = 200'000;
  const double quiet_wait =
      WaitMicroseconds(quiet, ServiceClass::kBatch, 4, 0, kInterval);
  const double busy_wait =
      WaitMicroseconds(busy, ServiceClass::kBatch, 4, 0, kInterval);
  CHECK(busy_wait > 3 * quiet_wait);
}

// Guards against taking the fixed cost of a dozen short prompts for a cost per
// token: an idle back end then refuses a prompt a thousand times longer.
TEST_CASE("prompts of one length imply no cost per token") {
  Admission admission = MakeAdmission();
  TimePoint now = kBegin;
  for (uint64_t id = 1; id <= 12; ++id) {
    Request short_request =
        MakeRequest(id, ServiceClass::kInteractive, seconds(2), now);
    short_request.prompt_tokens = 16;
    Decide(admission, short_request, now);
    now += milliseconds(160);
    HandleProgress(admission, id, now);
    HandleEnd(admission, id, true, now);
  }
  Request long_request =
      MakeRequest(20, ServiceClass::kInteractive, seconds(2), now);
  long_request.prompt_tokens = 25'000;
  CHECK(Decide(admission, long_request, now).verdict == Verdict::kStart);
}

TEST_CASE("the cost per token is estimated from prompts of different lengths") {
  PrefillModel model;
  for (uint32_t tokens = 100; tokens <= 2000; tokens += 100) {
    AddSample(model, tokens, milliseconds(20 + tokens / 10));
  }
  CHECK(Predict(model, 10'000) > milliseconds(900));
  CHECK(Predict(model, 10'000) < milliseconds(1100));
  CHECK(Predict(model, 100) < milliseconds(60));
}

TEST_CASE("a withdrawn request never starts") {
  Admission admission = MakeAdmission();
  for (uint64_t id = 1; id <= 3; ++id) {
    Decide(admission, MakeRequest(id), kBegin);
  }
  CHECK(Withdraw(admission, 3));
  CHECK_FALSE(Withdraw(admission, 1));
  CHECK(HandleEnd(admission, 1, true, kBegin).start.empty());
}

TEST_CASE("the least recently used prefix is removed") {
  RecentPrefixes prefixes{.capacity = 2};
  RecordPrefix(prefixes, 1, 10);
  RecordPrefix(prefixes, 2, 20);
  RecordPrefix(prefixes, 1, 15);
  RecordPrefix(prefixes, 3, 30);
  CHECK(CachedTokens(prefixes, 1) == 15);
  CHECK(CachedTokens(prefixes, 2) == 0);
  CHECK(CachedTokens(prefixes, 3) == 30);
}

TEST_CASE(
    "property: every request has one outcome and slots are not exceeded") {
  tests::CheckProperty("one outcome", [](const std::vector<uint8_t>& choices) {
    Admission admission = MakeAdmission();
    std::map<uint64_t, int> outcomes;
    TimePoint now = kBegin;
    uint64_t last = 0;
    const auto apply = [&](const Effects& effects) {
      for (const uint64_t id : effects.start) {
        ++outcomes[id];
      }
      for (const Refusal& refusal : effects.refuse) {
        ++outcomes[refusal.id];
      }
    };
    for (const uint8_t choice : choices) {
      now += milliseconds(choice);
      if (choice % 3 == 0 && !admission.running.empty()) {
        apply(
            HandleEnd(admission, admission.running.begin()->first, true, now));
        continue;
      }
      const uint64_t id = ++last;
      const auto decision =
          Decide(admission,
                 MakeRequest(id, static_cast<ServiceClass>(choice % 3),
                             seconds(1), now),
                 now);
      outcomes[id] += decision.verdict != Verdict::kWait;
      apply(Review(admission, now));
      RC_ASSERT(admission.running.size() <= admission.settings.slots);
    }
    apply(Review(admission, now + seconds(10)));
    RC_ASSERT(CountWaiting(admission.queues) == 0);
    RC_ASSERT(std::ranges::all_of(
        outcomes, [](const auto& item) { return item.second == 1; }));
  });
}

}  // namespace bramleyspan::admission

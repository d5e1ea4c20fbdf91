#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "LibGateway/Quarantine.h"

namespace bramleyspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Parts = std::vector<std::string>;

const std::string kService = "chat";
constexpr TimePoint kStart{std::chrono::hours(1)};

PartKey KeyOf(const std::string& part) {
  return {.service = kService, .part = part};
}

// A gateway at which other requests were just answered.
struct Gateway {
  Quarantine quarantine;

  Gateway() { this->Answer({"first"}, kStart); }

  void Answer(const Parts& parts, TimePoint at) {
    RecordAnswerBegin(this->quarantine, kService, parts, at);
    RecordAnswer(this->quarantine, kService, parts, at);
  }

  std::vector<PartKey> End(const std::string& target,
                           TimePoint at,
                           const Parts& parts) {
    return RecordTargetEnd(this->quarantine, kService,
                           {.target = target, .at = at}, parts, at);
  }

  PartVerdict Admit(const Parts& parts, TimePoint now) const {
    return AdmitParts(this->quarantine, kService, parts, now).verdict;
  }

  const PartRecord& record(const std::string& part) const {
    return this->quarantine.records.at(KeyOf(part));
  }
};

}  // namespace

TEST_CASE("Requests with a part under which two targets ended are rejected") {
  Gateway gateway;
  CHECK(gateway.End("a", kStart + seconds(1), {"first", "dead"}).empty());
  CHECK(gateway.Admit({"first", "dead"}, kStart + seconds(1)) ==
        PartVerdict::kAdmitted);
  CHECK(gateway.End("b", kStart + seconds(2), {"first", "dead"}) ==
        std::vector{KeyOf("dead")});
  const TimePoint now = kStart + seconds(2);
  CHECK(gateway.Admit({"first", "dead"}, now) == PartVerdict::kRejected);
  CHECK(gateway.Admit({"first", "other"}, now) == PartVerdict::kAdmitted);
  CHECK_FALSE(may_repeat(gateway.quarantine, kService, {"first", "dead"}));
  CHECK(may_repeat(gateway.quarantine, kService, {"first"}));
}

TEST_CASE("Parts are suspected at the service whose targets end only") {
  Gateway gateway;
  gateway.End("a", kStart + seconds(1), {"dead"});
  gateway.End("b", kStart + seconds(2), {"dead"});
  CHECK(AdmitParts(gateway.quarantine, "other", {"dead"}, kStart + seconds(2))
            .verdict == PartVerdict::kAdmitted);
}

TEST_CASE("A part that is answered again and again is never suspected") {
  Gateway gateway;
  for (int i = 1; i <= 60; ++i) {
    const TimePoint now = kStart + seconds(i);
    if (i % 20 == 0) {
      gateway.Answer({"first"}, now);
    }
    CHECK(gateway.End("t" + std::to_string(i), now, {"first"}).empty());
  }
}

TEST_CASE("An answer clears its parts of what was known before") {
  Gateway gateway;
  gateway.End("a", kStart + seconds(1), {"rare"});
  gateway.Answer({"rare"}, kStart + seconds(2));
  CHECK(gateway.End("b", kStart + seconds(40), {"rare"}).empty());
  CHECK(CountEnds(gateway.quarantine, KeyOf("rare")) == 1);
}

TEST_CASE("Targets that end at one moment count once") {
  Gateway gateway;
  for (int i = 0; i < 8; ++i) {
    CHECK(gateway
              .End("t" + std::to_string(i),
                   kStart + seconds(1) + milliseconds(2 * i), {"rare"})
              .empty());
  }
}

TEST_CASE("A part is not suspected if most targets end without it") {
  Gateway gateway;
  for (int i = 0; i < 8; ++i) {
    const bool has_part = i == 0 || i == 5;
    CHECK(gateway
              .End("t" + std::to_string(i),
                   kStart + seconds(1) + milliseconds(100 * i),
                   has_part ? Parts{"rare"} : Parts{})
              .empty());
  }
  CHECK(gateway.Admit({"rare"}, kStart + seconds(5)) == PartVerdict::kAdmitted);
}

// Failure: power returns, targets end again before any request is answered, and
// the part that all requests share is held responsible.
TEST_CASE("Nothing is suspected while no other request is answered") {
  Gateway gateway;
  gateway.quarantine = {};
  for (int i = 0; i < 6; ++i) {
    CHECK(gateway
              .End("t" + std::to_string(i), kStart + seconds(i),
                   {"first", "dead"})
              .empty());
  }
  // Other requests begin to be answered; the first part is cleared with them.
  const TimePoint now = kStart + seconds(7);
  RecordAnswerBegin(gateway.quarantine, kService, {"first"}, now);
  CHECK(gateway.Admit({"first"}, now) == PartVerdict::kAdmitted);
  CHECK(gateway.Admit({"first", "dead"}, now) == PartVerdict::kRejected);
}

// Failure: gateways that have just started know no part that is answered, and
// hold back what sound requests share with those under which targets end.
TEST_CASE("A part whose answers begin is quarantined after more ends only") {
  Gateway gateway;
  RecordAnswerBegin(gateway.quarantine, kService, {"rare"}, kStart);
  for (int i = 1; i <= 3; ++i) {
    gateway.End("t" + std::to_string(i), kStart + seconds(i), {"dead", "rare"});
  }
  CHECK(gateway.Admit({"dead"}, kStart + seconds(3)) == PartVerdict::kRejected);
  CHECK(gateway.Admit({"rare"}, kStart + seconds(3)) == PartVerdict::kAdmitted);
}

TEST_CASE("A part under which targets end only after a first event is found") {
  Gateway gateway;
  for (int i = 1; i <= 4; ++i) {
    const TimePoint now = kStart + seconds(i);
    RecordAnswerBegin(gateway.quarantine, kService, {"dead"}, now);
    gateway.End("t" + std::to_string(i), now, {"dead"});
  }
  CHECK(gateway.Admit({"dead"}, kStart + seconds(4)) == PartVerdict::kRejected);
}

// Failure: a service has so few requests that no other one is answered shortly
// before its targets end.
TEST_CASE("A part is found where requests are rare") {
  Gateway gateway;
  const TimePoint now = kStart + minutes(10);
  gateway.End("a", now, {"dead"});
  gateway.End("b", now + seconds(1), {"dead"});
  CHECK(gateway.Admit({"dead"}, now + seconds(1)) == PartVerdict::kAdmitted);
  RecordAnswerBegin(gateway.quarantine, kService, {"first"}, now + seconds(5));
  CHECK(gateway.Admit({"dead"}, now + seconds(5)) == PartVerdict::kRejected);
}

TEST_CASE("Ends that a quarantined part explains suspect no other part") {
  Gateway gateway;
  gateway.End("a", kStart + seconds(1), {"dead"});
  gateway.End("b", kStart + seconds(2), {"dead", "rare"});
  gateway.End("c", kStart + seconds(3), {"dead", "rare"});
  CHECK(gateway.Admit({"dead"}, kStart + seconds(3)) == PartVerdict::kRejected);
  CHECK(gateway.Admit({"rare"}, kStart + seconds(3)) == PartVerdict::kAdmitted);
}

// Failure: of two parts that explain the same ends the wrong one is known
// first, and hides the one under which targets go on to end.
TEST_CASE("A part hides no other one that explains as many ends") {
  Gateway gateway;
  Gateway other;
  gateway.End("a", kStart + seconds(1), {"dead", "rare"});
  other.End("b", kStart + seconds(2), {"dead", "rare"});
  const TimePoint now = kStart + seconds(2);
  for (const char* part : {"rare", "dead"}) {
    MergePart(gateway.quarantine, KeyOf(part), other.record(part), now);
  }
  CHECK(gateway.Admit({"rare"}, now) == PartVerdict::kRejected);
  CHECK(gateway.Admit({"dead"}, now) == PartVerdict::kRejected);
}

TEST_CASE("A quarantined part is tried by one request after a growing time") {
  Gateway gateway;
  gateway.End("a", kStart + seconds(1), {"dead"});
  gateway.End("b", kStart + seconds(2), {"dead"});
  TimePoint now = kStart + seconds(2);
  for (const Duration hold :
       {Duration(seconds(60)), Duration(minutes(4)), Duration(minutes(16)),
        Duration(minutes(60)), Duration(minutes(60))}) {
    CHECK(QuarantinedUntil(gateway.record("dead")) == now + hold);
    now += hold;
    CHECK(gateway.Admit({"dead"}, now - milliseconds(1)) ==
          PartVerdict::kRejected);
    CHECK(gateway.Admit({"dead"}, now) == PartVerdict::kTrial);
    RecordTrial(gateway.quarantine, kService, {"dead"}, now);
    CHECK(gateway.Admit({"dead"}, now) == PartVerdict::kRejected);
    now += seconds(1);
    gateway.End("t", now, {"dead"});
  }
}

TEST_CASE("An answered trial ends the quarantine, here and at other gateways") {
  Gateway gateway;
  gateway.End("a", kStart + seconds(1), {"rare"});
  gateway.End("b", kStart + seconds(2), {"rare"});
  Gateway other;
  const TimePoint now = kStart + seconds(70);
  CHECK(MergePart(other.quarantine, KeyOf("rare"), gateway.record("rare"), now)
            .is_quarantined);
  CHECK(gateway.Admit({"rare"}, now) == PartVerdict::kTrial);
  RecordTrial(gateway.quarantine, kService, {"rare"}, now);
  CHECK(RecordAnswer(gateway.quarantine, kService, {"rare"}, now) ==
        std::vector{KeyOf("rare")});
  CHECK(gateway.Admit({"rare"}, now) == PartVerdict::kAdmitted);
  CHECK(MergePart(other.quarantine, KeyOf("rare"), gateway.record("rare"), now)
            .is_released);
  CHECK(other.Admit({"rare"}, now) == PartVerdict::kAdmitted);
}

TEST_CASE("A trial at one gateway keeps the others from another one") {
  Gateway gateway;
  gateway.End("a", kStart + seconds(1), {"dead"});
  gateway.End("b", kStart + seconds(2), {"dead"});
  Gateway other;
  const TimePoint now = kStart + seconds(70);
  MergePart(other.quarantine, KeyOf("dead"), gateway.record("dead"), now);
  RecordTrial(gateway.quarantine, kService, {"dead"}, now);
  MergePart(other.quarantine, KeyOf("dead"), gateway.record("dead"), now);
  CHECK(other.Admit({"dead"}, now) == PartVerdict::kRejected);
}

TEST_CASE("An operator's release ends a quarantine until targets end again") {
  Gateway gateway;
  gateway.End("a", kStart + seconds(1), {"dead"});
  gateway.End("b", kStart + seconds(2), {"dead"});
  CHECK(ReleasePart(gateway.quarantine, KeyOf("dead"), kStart + seconds(5)));
  CHECK_FALSE(
      ReleasePart(gateway.quarantine, KeyOf("dead"), kStart + seconds(5)));
  CHECK(gateway.Admit({"dead"}, kStart + seconds(5)) == PartVerdict::kAdmitted);
  gateway.End("c", kStart + seconds(6), {"dead"});
  gateway.End("d", kStart + seconds(7), {"dead"});
  CHECK(gateway.Admit({"dead"}, kStart + seconds(7)) == PartVerdict::kRejected);
}

TEST_CASE("One end that several gateways saw counts once") {
  Gateway gateway;
  Gateway other;
  gateway.End("a", kStart + seconds(1), {"rare"});
  other.End("a", kStart + seconds(1) + milliseconds(80), {"rare"});
  const TimePoint now = kStart + seconds(2);
  MergePart(gateway.quarantine, KeyOf("rare"), other.record("rare"), now);
  CHECK(CountEnds(gateway.quarantine, KeyOf("rare")) == 1);
  CHECK(gateway.Admit({"rare"}, now) == PartVerdict::kAdmitted);
}

TEST_CASE("What gateways know is merged alike in any order, and repeatedly") {
  std::mt19937_64 random(7);
  for (int round = 0; round < 50; ++round) {
    std::vector<PartRecord> reports;
    for (int i = 0; i < 6; ++i) {
      Gateway gateway;
      gateway.End("t" + std::to_string(random() % 4),
                  kStart + seconds(random() % 60), {"dead"});
      if (random() % 4 == 0) {
        gateway.Answer({"dead"}, kStart + seconds(random() % 60));
      }
      reports.push_back(gateway.record("dead"));
    }
    const TimePoint now = kStart + seconds(60);
    std::optional<size_t> ends;
    for (int order = 0; order < 10; ++order) {
      std::ranges::shuffle(reports, random);
      Gateway merged;
      for (int repeat = 0; repeat < 2; ++repeat) {
        for (const PartRecord& report : reports) {
          MergePart(merged.quarantine, KeyOf("dead"), report, now);
        }
      }
      const size_t found = CountEnds(merged.quarantine, KeyOf("dead"));
      CHECK(ends.value_or(found) == found);
      ends = found;
    }
  }
}

TEST_CASE("A flood of new parts neither grows without bound nor hides proof") {
  Gateway gateway;
  gateway.End("a", kStart + seconds(1), {"dead"});
  gateway.End("b", kStart + seconds(2), {"dead"});
  for (int i = 0; i < 10'000; ++i) {
    const TimePoint now = kStart + seconds(3) + milliseconds(100 * i);
    gateway.End("t" + std::to_string(i), now, {"flood" + std::to_string(i)});
    gateway.Answer({"answered" + std::to_string(i)}, now);
  }
  CHECK(gateway.quarantine.records.size() <= 256);
  CHECK(gateway.quarantine.answered.newer.size() +
            gateway.quarantine.answered.older.size() <=
        4096);
  CHECK(gateway.quarantine.services.at(kService).ends.size() <= 64);
  CHECK(is_quarantined(gateway.record("dead")));
}

TEST_CASE("A change is reported several times, a quarantine again and again") {
  Gateway gateway;
  gateway.End("a", kStart + seconds(1), {"dead"});
  TimePoint now = kStart + seconds(1);
  for (int i = 0; i < 3; ++i) {
    CHECK(TakePartReports(gateway.quarantine, 4, now).size() == 1);
  }
  CHECK(TakePartReports(gateway.quarantine, 4, now + seconds(2)).empty());
  gateway.End("b", kStart + seconds(4), {"dead"});
  for (int i = 0; i < 10; ++i) {
    now = kStart + seconds(4 + i);
    CHECK(TakePartReports(gateway.quarantine, 4, now).size() == 1);
  }
}

TEST_CASE("Evidence is forgotten in time, settled parts soon") {
  Gateway gateway;
  gateway.End("a", kStart + seconds(1), {"rare"});
  RemoveOldParts(gateway.quarantine, kStart + minutes(60));
  CHECK(gateway.quarantine.records.size() == 1);
  gateway.Answer({"rare"}, kStart + minutes(60));
  RemoveOldParts(gateway.quarantine, kStart + minutes(62));
  CHECK(gateway.quarantine.records.empty());
}

}  // namespace bramleyspan::gateway

#include <doctest/doctest.h>

#include "LibAdmission/RankAdmission.h"

namespace bramleyspan::admission {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
const RankAdmissionSettings kSettings{.slots = 12,
                                      .longest_pause = milliseconds(120),
                                      .min_pass = milliseconds(18)};

// Returns a rank that has been open for a while and whose passes took `pass`
// for the last 0.5 s.
RankAdmission RankAt(uint32_t running, Duration pass, TimePoint& now) {
  RankAdmission admission{.settings = kSettings};
  RankLoad load{.epoch = 1, .step = 1, .running = running, .is_open = true};
  const auto pass_for = [&](Duration time, Duration each) {
    for (const TimePoint end = now + time; now < end; now += each) {
      RecordReport(admission, load, now);
      ++load.step;
    }
  };
  pass_for(std::chrono::seconds(1), kSettings.min_pass);
  pass_for(milliseconds(500), pass);
  RecordReport(admission, load, now);
  return admission;
}

}  // namespace

// Failure: a rank whose server has ended runs nothing, and its agent offers
// permits for the emptiest rank until its last report is old.
TEST_CASE("A rank whose server has ended offers no permit") {
  TimePoint now = kStart;
  RankAdmission admission = RankAt(0, milliseconds(20), now);
  REQUIRE(OfferOf(admission, false, now).is_admitting);
  RecordServerEnd(admission);
  CHECK_FALSE(OfferOf(admission, false, now).is_admitting);
  RecordReport(admission, {.epoch = 2, .is_open = true}, now);
  CHECK(OfferOf(admission, false, now).is_admitting);
}

// Failure: a rank of a held group runs out of callers, looks idle and draws new
// streams, which wait until their callers leave too.
TEST_CASE(
    "A rank of a group that stands draws no more streams once it is empty") {
  TimePoint now = kStart;
  RankAdmission admission = RankAt(4, milliseconds(30), now);
  RankLoad load = admission.reported;
  const auto report_for = [&](Duration time) {
    int offers = 0;
    for (const TimePoint end = now + time; now < end; now += milliseconds(30)) {
      RecordReport(admission, load, now);
      if (OfferOf(admission, false, now).is_admitting) {
        ++offers;
        RecordReservation(admission, {.gateway = "g", .number = 1}, now);
      }
    }
    return offers;
  };
  report_for(milliseconds(500));
  CHECK(report_for(std::chrono::seconds(2)) == 0);
  load.running = 0;
  CHECK(report_for(std::chrono::seconds(4)) <= 2);
  ++load.step;
  report_for(milliseconds(30));
  CHECK(OfferOf(admission, false, now).limit > 2);
  CHECK_FALSE(admission.is_standing);
}

// An engine counts a stream only once it runs, 0.1 s after it arrived. If
// reservations do not count, twenty streams go to a rank with twelve slots
// within 0.3 s.
TEST_CASE("A reservation counts until its stream has begun") {
  TimePoint now = kStart;
  RankAdmission admission = RankAt(7, milliseconds(50), now);
  REQUIRE(OfferOf(admission, false, now).is_admitting);
  RecordReservation(admission, {.gateway = "10.0.0.1", .number = 1}, now);
  CHECK(LoadOf(admission) == 8);
  CHECK_FALSE(OfferOf(admission, false, now).is_admitting);
  SUBCASE("It is removed once the gateway reports that the stream runs") {
    RemoveReservation(admission, {.gateway = "10.0.0.1", .number = 1});
    CHECK(LoadOf(admission) == 7);
  }
  SUBCASE("Another gateway's number is another reservation") {
    RemoveReservation(admission, {.gateway = "10.0.0.2", .number = 1});
    CHECK(LoadOf(admission) == 8);
  }
  SUBCASE("It expires if the gateway has died") {
    now += std::chrono::seconds(1);
    RecordReport(admission, admission.reported, now);
    CHECK(LoadOf(admission) == 7);
  }
}

// Guards against a rank that opens and offers its free permits to all waiting
// requests.
TEST_CASE("A rank that has just opened offers no more permits than it has") {
  RankAdmission admission{.settings = kSettings};
  RecordReport(admission, {.epoch = 2, .step = 7, .is_open = true}, kStart);
  int admitting = 0;
  for (int probe = 0; probe < 50; ++probe) {
    if (OfferOf(admission, false, kStart).is_admitting) {
      RecordOffer(admission, kStart);
      ++admitting;
    }
  }
  CHECK(admitting == 5);
  SUBCASE("They are offered again if they were not taken") {
    CHECK(OfferOf(admission, false, kStart + milliseconds(10)).is_admitting);
  }
}

// Guards against offering the same permit to many gateways at once.
TEST_CASE("Open offers reduce the permits offered to others") {
  TimePoint now = kStart;
  RankAdmission admission = RankAt(4, milliseconds(40), now);
  int admitting = 0;
  for (int probe = 0; probe < 50; ++probe) {
    if (OfferOf(admission, false, now).is_admitting) {
      RecordOffer(admission, now);
      ++admitting;
    }
  }
  // One in six offers is taken, and four streams run.
  CHECK(admitting / 6.0 <= 5);
  CHECK(admitting / 6.0 > 3);
}

// Guards against a group that opens with its first map and admits all waiting
// requests.
TEST_CASE("The limit of an opened rank grows only with short passes") {
  RankAdmission admission{.settings = kSettings};
  RankLoad load{.epoch = 2, .step = 7, .running = 5, .is_open = true};
  TimePoint now = kStart;
  const auto pass_for = [&](int passes, Duration each) {
    for (int pass = 0; pass < passes; ++pass) {
      RecordReport(admission, load, now);
      ++load.step;
      now += each;
    }
  };
  pass_for(10, milliseconds(95));
  CHECK_FALSE(OfferOf(admission, false, now).is_admitting);
  pass_for(15, milliseconds(45));
  CHECK(OfferOf(admission, false, now).is_admitting);
}

// Guards against a limit that fits only until demand shifts, so that every
// stream is late at each shift.
TEST_CASE("The cost of a demand shift is retained for a few stream lifetimes") {
  TimePoint now = kStart;
  RankAdmission admission = RankAt(7, milliseconds(50), now);
  REQUIRE(OfferOf(admission, false, now).is_admitting);
  RankLoad load = admission.reported;
  // Seven streams run and one starts every 200 ms: a stream lasts 1.4 s.
  uint64_t number = 0;
  TimePoint next_reservation = now;
  const auto pass_for = [&](Duration time, Duration each) {
    for (const TimePoint end = now + time; now < end; now += each) {
      if (now >= next_reservation) {
        RecordReservation(admission, {.gateway = "g", .number = ++number}, now);
        RemoveReservation(admission, {.gateway = "g", .number = number});
        next_reservation += milliseconds(200);
      }
      ++load.step;
      RecordReport(admission, load, now);
    }
  };
  pass_for(std::chrono::seconds(6), milliseconds(50));
  REQUIRE(OfferOf(admission, false, now).is_admitting);
  pass_for(milliseconds(600), milliseconds(140));
  pass_for(std::chrono::seconds(2), milliseconds(50));
  CHECK_FALSE(OfferOf(admission, false, now).is_admitting);
  CHECK(LimitOf(admission, now) >= 6);
  pass_for(std::chrono::seconds(3), milliseconds(50));
  CHECK(OfferOf(admission, false, now).is_admitting);
}

// Guards against a limit that grows by 4% every quarter second: a group whose
// slow rank has recovered stays at two streams per rank for 10 s, while the
// other group refuses callers.
TEST_CASE("The limit follows the present pass duration up and down") {
  TimePoint now = kStart;
  const RankAdmission slow = RankAt(6, milliseconds(200), now);
  CHECK(LimitOf(slow, now) < 4);
  const RankAdmission recovered = RankAt(2, milliseconds(30), now);
  CHECK(LimitOf(recovered, now) > 7);
}

TEST_CASE("A rank with long passes grants no permit to a stream in time") {
  TimePoint now = kStart;
  const RankAdmission admission = RankAt(2, milliseconds(110), now);
  CHECK_FALSE(OfferOf(admission, false, now).is_admitting);
}

TEST_CASE("A pass under way counts before it has ended") {
  TimePoint now = kStart;
  RankAdmission admission = RankAt(3, milliseconds(50), now);
  now += milliseconds(115);
  admission.reported_at = now;
  CHECK_FALSE(OfferOf(admission, false, now).is_admitting);
}

// Guards against gateways with only late requests waiting that take every free
// permit, so that requests that could be in time become late too; within half a
// minute all streams are late.
TEST_CASE("Late streams leave permits for those in time") {
  TimePoint now = kStart;
  const RankAdmission admission = RankAt(7, milliseconds(50), now);
  CHECK(OfferOf(admission, false, now).is_admitting);
  CHECK_FALSE(OfferOf(admission, true, now).is_admitting);
}

// Guards against an idle group: a rank is slow for 7 s, so its group can answer
// nobody in time and admits none, while the other group refuses callers for
// whom a late answer is better than none.
TEST_CASE("A slow group admits only late streams") {
  TimePoint now = kStart;
  RankAdmission admission = RankAt(4, milliseconds(150), now);
  SUBCASE("not at once: demand may just have shifted") {
    CHECK_FALSE(OfferOf(admission, true, now).is_admitting);
  }
  SUBCASE("after a while") {
    RankLoad load = admission.reported;
    for (int pass = 0; pass < 6; ++pass) {
      now += milliseconds(150);
      ++load.step;
      RecordReport(admission, load, now);
    }
    CHECK(OfferOf(admission, true, now).is_admitting);
    CHECK(OfferOf(admission, true, now).is_slow);
    CHECK_FALSE(OfferOf(admission, false, now).is_admitting);
  }
}

TEST_CASE(
    "A rank that is not open, is slow or sends no reports grants no permit") {
  TimePoint now = kStart;
  RankAdmission admission = RankAt(1, milliseconds(30), now);
  REQUIRE(OfferOf(admission, false, now).is_admitting);
  SUBCASE("not open") {
    admission.reported.is_open = false;
  }
  SUBCASE("slow") {
    admission.reported.pace = 6;
  }
  SUBCASE("no reports") {
    now += std::chrono::seconds(1);
  }
  CHECK_FALSE(OfferOf(admission, false, now).is_admitting);
}

// A re-formed group runs its first map, under which the first callers cause
// passes of 145 ms.
TEST_CASE("Few streams are admitted before a pass is observed") {
  RankAdmission admission{.settings = kSettings};
  RecordReport(admission, {.epoch = 2, .step = 7, .is_open = true}, kStart);
  CHECK(LimitOf(admission, kStart) == doctest::Approx(5));
}

}  // namespace bramleyspan::admission

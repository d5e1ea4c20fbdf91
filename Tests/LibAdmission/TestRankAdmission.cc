#include <doctest/doctest.h>

#include "LibAdmission/RankAdmission.h"

namespace bramleyspan::admission {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
const RankAdmissionSettings kSettings{.slots = 12,
                                      .longest_pause = milliseconds(120),
                                      .min_pass = milliseconds(18)};

// A rank that has been open for a while and whose passes took `pass` for the
// last half second.
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

// Story: twenty streams went to a rank with twelve slots within 0.3 s. Its
// engine counts a stream only once it runs, a tenth of a second after it came.
TEST_CASE("A place that was taken counts until its stream has begun") {
  TimePoint now = kStart;
  RankAdmission admission = RankAt(7, milliseconds(50), now);
  REQUIRE(OfferOf(admission, false, now).is_admitting);
  RecordReservation(admission, {.gateway = "10.0.0.1", .number = 1}, now);
  CHECK(LoadOf(admission) == 8);
  CHECK_FALSE(OfferOf(admission, false, now).is_admitting);
  SUBCASE("It is free again once the gateway says that the stream runs") {
    RemoveReservation(admission, {.gateway = "10.0.0.1", .number = 1});
    CHECK(LoadOf(admission) == 7);
  }
  SUBCASE("Another gateway's number is another place") {
    RemoveReservation(admission, {.gateway = "10.0.0.2", .number = 1});
    CHECK(LoadOf(admission) == 8);
  }
  SUBCASE("A gateway that died does not keep it") {
    now += std::chrono::seconds(1);
    RecordReport(admission, admission.reported, now);
    CHECK(LoadOf(admission) == 7);
  }
}

// Failure: an opening rank offers its empty places to all that waited.
TEST_CASE("A rank that has just opened offers no more places than it has") {
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
  SUBCASE("They are offered again once they were not taken") {
    CHECK(OfferOf(admission, false, kStart + milliseconds(10)).is_admitting);
  }
}

// Failure: each of many gateways is offered the same place.
TEST_CASE("Places that are being offered are not offered to everybody") {
  TimePoint now = kStart;
  RankAdmission admission = RankAt(4, milliseconds(40), now);
  int admitting = 0;
  for (int probe = 0; probe < 50; ++probe) {
    if (OfferOf(admission, false, now).is_admitting) {
      RecordOffer(admission, now);
      ++admitting;
    }
  }
  // A sixth of the offers are taken, and four streams run.
  CHECK(admitting / 6.0 <= 5);
  CHECK(admitting / 6.0 > 3);
}

// Failure: a group opens with its first map and lets in all that waited.
TEST_CASE("A rank that has opened takes more with each short pass only") {
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

// Failure: streams fit until demand jumps, and every one is late at each jump.
TEST_CASE("What a jump of demand cost is remembered for lives of a stream") {
  TimePoint now = kStart;
  RankAdmission admission = RankAt(7, milliseconds(50), now);
  REQUIRE(OfferOf(admission, false, now).is_admitting);
  RankLoad load = admission.reported;
  // Seven streams run and one comes every 200 ms: a stream lives 1.4 s.
  uint64_t number = 0;
  TimePoint next_taken = now;
  const auto pass_for = [&](Duration time, Duration each) {
    for (const TimePoint end = now + time; now < end; now += each) {
      if (now >= next_taken) {
        RecordReservation(admission, {.gateway = "g", .number = ++number}, now);
        RemoveReservation(admission, {.gateway = "g", .number = number});
        next_taken += milliseconds(200);
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

// Story: a group whose slow rank had recovered ran two streams a rank for ten
// seconds, while callers of the other group were refused. The limit had grown
// by 4% a quarter second.
TEST_CASE("The limit follows what passes take now, both ways") {
  TimePoint now = kStart;
  const RankAdmission slow = RankAt(6, milliseconds(200), now);
  CHECK(LimitOf(slow, now) < 4);
  const RankAdmission recovered = RankAt(2, milliseconds(30), now);
  CHECK(LimitOf(recovered, now) > 7);
}

TEST_CASE("No stream in time is started where a pass lasts too long") {
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

// Story: gateways that had only late streams waiting took every place that came
// free, so that streams that could have been in time became late as well; half
// a minute later all were.
TEST_CASE("Late streams leave room for those in time") {
  TimePoint now = kStart;
  const RankAdmission admission = RankAt(7, milliseconds(50), now);
  CHECK(OfferOf(admission, false, now).is_admitting);
  CHECK_FALSE(OfferOf(admission, true, now).is_admitting);
}

// Story: a rank turned slow for seven seconds; its group could answer nobody in
// time and stood idle, while the other group refused callers who would have
// been glad of a late answer.
TEST_CASE("A slow group takes late streams only") {
  TimePoint now = kStart;
  RankAdmission admission = RankAt(4, milliseconds(150), now);
  SUBCASE("not at once: demand may just have jumped") {
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
    "A rank that is not open, slow itself or not heard of takes nothing") {
  TimePoint now = kStart;
  RankAdmission admission = RankAt(1, milliseconds(30), now);
  REQUIRE(OfferOf(admission, false, now).is_admitting);
  SUBCASE("not open") {
    admission.reported.is_open = false;
  }
  SUBCASE("slow") {
    admission.reported.pace = 6;
  }
  SUBCASE("not heard of") {
    now += std::chrono::seconds(1);
  }
  CHECK_FALSE(OfferOf(admission, false, now).is_admitting);
}

// Story: a group that was formed anew has its first map, under which the first
// rush of callers made passes of 145 ms.
TEST_CASE("Before a pass was seen few streams are taken") {
  RankAdmission admission{.settings = kSettings};
  RecordReport(admission, {.epoch = 2, .step = 7, .is_open = true}, kStart);
  CHECK(LimitOf(admission, kStart) == doctest::Approx(5));
}

}  // namespace bramleyspan::admission

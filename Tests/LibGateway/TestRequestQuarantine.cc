#include <doctest/doctest.h>

#include <algorithm>

#include "LibGateway/Quarantine.h"

namespace bramleyspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const std::string kService = "chat";
constexpr TimePoint kStart{std::chrono::hours(1)};

PartKey KeyOf(const std::string& digest) {
  return {.service = kService, .part = digest};
}

// A gateway at which no request was answered yet.
struct Gateway {
  Quarantine quarantine{.rules = kRulesOfRequests};

  std::vector<PartKey> End(const std::string& target,
                           TimePoint at,
                           const std::string& digest,
                           std::optional<TimePoint> sent_at = std::nullopt) {
    return RecordTargetEnd(this->quarantine, kService,
                           {.target = target, .at = at, .sent_at = sent_at},
                           {digest}, at);
  }

  bool is_held(const std::string& digest, TimePoint now) const {
    return AdmitParts(this->quarantine, kService, {digest}, now).verdict ==
           PartVerdict::kRejected;
  }

  bool may_repeat(const std::string& digest) const {
    return gateway::may_repeat(this->quarantine, kService, {digest});
  }
};

}  // namespace

TEST_CASE("A request under which two targets ended is held back") {
  Gateway gateway;
  CHECK(gateway.End("a", kStart, "bad").empty());
  CHECK_FALSE(gateway.is_held("bad", kStart));
  CHECK(gateway.may_repeat("bad"));
  CHECK(gateway.End("b", kStart + seconds(1), "bad").size() == 1);
  CHECK(gateway.is_held("bad", kStart + seconds(1)));
  CHECK_FALSE(gateway.may_repeat("bad"));
  CHECK_FALSE(gateway.is_held("other", kStart + seconds(1)));
}

// Failure: servers end so soon that the second end looks like the same failure.
TEST_CASE("An end after the request was sent once more is another one") {
  Gateway gateway;
  gateway.End("a", kStart, "bad", kStart - milliseconds(2));
  CHECK(gateway
            .End("b", kStart + milliseconds(3), "bad", kStart + milliseconds(1))
            .size() == 1);
}

// Failure: a zone fails with several copies of a popular request, and it is
// held back.
TEST_CASE("Ends at one moment hold no request back but end its repeats") {
  Gateway gateway;
  gateway.End("a", kStart, "popular", kStart - milliseconds(50));
  gateway.End("b", kStart + milliseconds(3), "popular",
              kStart - milliseconds(40));
  CHECK_FALSE(gateway.is_held("popular", kStart + milliseconds(3)));
  CHECK_FALSE(gateway.may_repeat("popular"));
}

// Failure: several requests end targets at the same time, and the ends under
// each look like chance to the others.
TEST_CASE("Requests that end targets at the same time hide no other one") {
  for (const int requests : {2, 3, 8, 20}) {
    CAPTURE(requests);
    Gateway gateway;
    for (int end = 0; end < 3; ++end) {
      for (int i = 0; i < requests; ++i) {
        gateway.End("t" + std::to_string(end * requests + i),
                    kStart + milliseconds(100 * (end * requests + i)),
                    "bad-" + std::to_string(i));
      }
    }
    for (int i = 0; i < requests; ++i) {
      CHECK(gateway.is_held("bad-" + std::to_string(i), kStart + seconds(6)));
    }
  }
}

// Failure: an impatient caller sends copies of a request at once, which end
// targets at one moment, and none counts.
TEST_CASE("Ends of copies count once there was a second moment") {
  Gateway gateway;
  gateway.End("a", kStart, "bad");
  gateway.End("b", kStart + milliseconds(2), "bad");
  gateway.End("c", kStart + seconds(1), "bad");
  CHECK(gateway.is_held("bad", kStart + seconds(1)));
}

// Failure: a zone fails within moments, a request is lost there twice, and is
// held back.
TEST_CASE("Two ends of a zone that fails hold back no repeated request") {
  Gateway gateway;
  for (int i = 0; i < 5; ++i) {
    const TimePoint at = kStart + milliseconds(2 * i);
    const bool is_lost = i == 1 || i == 4;
    gateway.End("t" + std::to_string(i), at,
                is_lost ? "sound" : "other-" + std::to_string(i),
                at - milliseconds(1));
  }
  CHECK_FALSE(gateway.is_held("sound", kStart + milliseconds(10)));
}

TEST_CASE(
    "A request lost at two of many ends is not held back, at three it is") {
  Gateway gateway;
  for (int i = 0; i < 8; ++i) {
    gateway.End("t" + std::to_string(i), kStart + milliseconds(100 * i),
                i == 1 || i == 5 ? "sound" : "other-" + std::to_string(i));
  }
  CHECK_FALSE(gateway.is_held("sound", kStart + seconds(1)));
  gateway.End("last", kStart + seconds(1), "sound");
  CHECK(gateway.is_held("sound", kStart + seconds(1)));
}

TEST_CASE("A whole answer clears a request that was lost") {
  Gateway gateway;
  gateway.End("a", kStart, "sound");
  RecordAnswer(gateway.quarantine, kService, {"sound"}, kStart + seconds(1));
  CHECK(gateway.End("b", kStart + seconds(2), "sound").empty());
  CHECK(gateway.End("c", kStart + seconds(3), "sound").empty());
  CHECK_FALSE(gateway.is_held("sound", kStart + seconds(3)));
}

// Failure: thousands of requests are lost once, and the few that matter are
// forgotten.
TEST_CASE("A flood of lost requests pushes out none with two ends") {
  Gateway gateway;
  gateway.End("a", kStart, "bad");
  gateway.End("b", kStart + seconds(1), "bad");
  for (int i = 0; i < 5000; ++i) {
    gateway.End("t" + std::to_string(i % 50),
                kStart + seconds(2) + milliseconds(i),
                "lost-" + std::to_string(i));
  }
  CHECK(gateway.quarantine.records.size() <= kRulesOfRequests.max_records);
  CHECK(gateway.is_held("bad", kStart + seconds(8)));
  // The next one is found all the same, and is among the first that are told.
  gateway.End("x", kStart + seconds(9), "next");
  gateway.End("y", kStart + seconds(10), "next");
  gateway.End("z", kStart + seconds(11), "next");
  CHECK(gateway.is_held("next", kStart + seconds(11)));
  const auto told =
      TakePartReports(gateway.quarantine, 4, kStart + seconds(11));
  CHECK(std::ranges::find(told, KeyOf("next")) != told.end());
}

TEST_CASE("What is heard of a lost request is told to none but counts") {
  Gateway gateway;
  MergePart(gateway.quarantine, KeyOf("bad"),
            {.ends = {{.target = "a", .at = kStart}}}, kStart);
  CHECK(TakePartReports(gateway.quarantine, 4, kStart).empty());
  CHECK(gateway.End("b", kStart + seconds(1), "bad").size() == 1);
  CHECK(TakePartReports(gateway.quarantine, 4, kStart + seconds(1)).size() ==
        1);
}

TEST_CASE("Evidence against a request lasts for ten minutes") {
  Gateway gateway;
  gateway.End("a", kStart, "bad");
  gateway.End("b", kStart + seconds(1), "bad");
  RemoveOldParts(gateway.quarantine, kStart + minutes(9));
  CHECK(gateway.quarantine.records.size() == 1);
  RemoveOldParts(gateway.quarantine, kStart + minutes(11));
  CHECK(gateway.quarantine.records.empty());
}

}  // namespace bramleyspan::gateway

#include <doctest/doctest.h>

#include "LibGateway/EventReader.h"
#include "LibGateway/RepeatBudget.h"

namespace bramleyspan::gateway {

namespace {

const TimePoint kStart{std::chrono::seconds(100)};

bool TakeRepeat(RepeatBudget& budget,
                const std::string& service,
                const std::set<std::string>& others,
                TimePoint now) {
  const bool is_taken = ReserveRepeat(budget, service, others, now).has_repeat;
  if (is_taken) {
    RecordRepeatSent(budget, service, now);
  }
  return is_taken;
}

}  // namespace

// Failure: ids that only begin with a number are taken for one number, and a
// resumed stream leaves out what its caller never got.
TEST_CASE("An id is a number as a whole") {
  const auto id_of = [](const std::string& line) {
    std::optional<uint64_t> id;
    EventReader().Read(line + "\n\n",
                       [&](const StreamEvent& event) { id = event.id; });
    return id;
  };
  CHECK(id_of("id: 12") == 12);
  CHECK(id_of("id:12\r\ndata: x\r") == 12);
  for (const char* line : {"id: 12x", "id: 12-3", "id: -1", "id: 1.5",
                           "id: ", "id: 18446744073709551616"}) {
    CAPTURE(line);
    CHECK_FALSE(id_of(line));
  }
}

// Failure: a server crashes in the middle of an event. The caller received its
// first half, and the run that is resumed at another target repeats the whole
// event.
TEST_CASE("Only complete events are reported, however the bytes are split") {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: ha";
  for (size_t step = 1; step <= stream.size(); ++step) {
    EventReader reader;
    std::string forwarded;
    std::vector<uint64_t> ids;
    for (size_t at = 0; at < stream.size(); at += step) {
      reader.Read(std::string_view(stream).substr(at, step),
                  [&](const StreamEvent& event) {
                    forwarded += event.bytes;
                    ids.push_back(event.id.value_or(0));
                  });
    }
    CHECK(ids == std::vector<uint64_t>{1, 2});
    CHECK(forwarded == stream.substr(0, stream.find("id: 3")));
    CHECK(reader.has_partial_event());
  }
}

TEST_CASE("An event without an id is reported too") {
  EventReader reader;
  int events = 0;
  reader.Read("data: x\n\n", [&events](const StreamEvent& event) {
    CHECK_FALSE(event.id.has_value());
    ++events;
  });
  CHECK(events == 1);
}

TEST_CASE("All gateways together stay within the repeat budget of a window") {
  constexpr size_t kGateways = 6;
  std::vector<RepeatBudget> gateways(
      kGateways,
      RepeatBudget{.settings = {.ratio = 0.2,
                                .slack = 88,
                                .window = std::chrono::seconds(10)}});
  const std::set<std::string> others{"1", "2", "3", "4", "5"};
  int taken = 0;
  for (RepeatBudget& budget : gateways) {
    StartRepeats(budget, "0", 1, true, kStart);
    for (int i = 0; i < 100; ++i) {
      RecordRequest(budget, "invoices", kStart + std::chrono::milliseconds(i));
      if (TakeRepeat(budget, "invoices", others,
                     kStart + std::chrono::milliseconds(i))) {
        ++taken;
      }
    }
  }
  CHECK(taken <= 0.2 * 600 + 88);
  CHECK(taken >= 100);
}

// Failure: a gateway hears another one, which does not hear it and sends its
// share; the first one takes what the second has not sent yet for its own.
TEST_CASE("What a gateway that does not hear this one may send is left to it") {
  RepeatBudget budget{.settings = {.ratio = 0, .slack = 100}};
  StartRepeats(budget, "a", 1, true, kStart);
  const auto count_until_refused = [&budget](TimePoint now) {
    int taken = 0;
    while (TakeRepeat(budget, "s", {"b"}, now)) {
      ++taken;
    }
    return taken;
  };
  RepeatRecord other{.gateway = "b",
                     .incarnation = 2,
                     .started_at = kStart,
                     .written_at = kStart};
  SUBCASE("it does not hear this one") {
    MergeRepeats(budget, other, true, kStart);
    CHECK(count_until_refused(kStart) == 40);
  }
  SUBCASE("it is not heard") {
    CHECK(count_until_refused(kStart) == 40);
  }
  SUBCASE("both hear each other: an equal part at once, then what is left") {
    other.hears_us = true;
    MergeRepeats(budget, other, true, kStart);
    CHECK(count_until_refused(kStart) == 40);
    CHECK(count_until_refused(kStart + std::chrono::milliseconds(500)) == 20);
  }
}

TEST_CASE("Repeats expire with their window and are counted per service") {
  RepeatBudget budget{.settings = {.ratio = 0, .slack = 5}};
  StartRepeats(budget, "0", 1, true, kStart);
  const auto take = [&budget](Duration after) {
    return TakeRepeat(budget, "a", {}, kStart + after);
  };
  for (int i = 0; i < 4; ++i) {
    CHECK(take(Duration(0)));
  }
  CHECK_FALSE(take(std::chrono::seconds(9)));
  CHECK(TakeRepeat(budget, "b", {}, kStart));
  CHECK(take(std::chrono::seconds(12)));
}

}  // namespace bramleyspan::gateway

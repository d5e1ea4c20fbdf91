#include <random>

#include "SimulatedAnswers.h"
#include "Tests/Property.h"

namespace bramleyspan::gateway {

namespace {

constexpr int kKinds = static_cast<int>(InputKind::kNoTarget) + 1;

std::vector<Input> InputsOf(uint32_t seed) {
  std::minstd_rand random(seed);
  std::vector<Input> inputs(random() % 40);
  for (Input& input : inputs) {
    // Pieces and events more often than what ends an attempt or the request.
    const uint32_t drawn = random() % (kKinds + 60);
    input.kind = drawn < kKinds   ? static_cast<InputKind>(drawn)
                 : drawn % 4 == 0 ? InputKind::kHead
                 : drawn % 4 == 1 ? InputKind::kResumption
                                  : InputKind::kEvent;
    input.choice = static_cast<uint8_t>(random());
  }
  return inputs;
}

// Returns the first seed whose inputs lead to a fault; 0 if none does.
uint32_t FindFault(Omission omission, uint32_t seeds) {
  for (uint32_t seed = 1; seed <= seeds; ++seed) {
    const auto received = PlayRequest(InputsOf(seed), true, omission);
    if (received && !FaultOf(*received).empty()) {
      return seed;
    }
  }
  return 0;
}

}  // namespace

// Failure: a caller gets a second answer inside a first one, pieces of two runs
// in one, or a cut answer that looks whole.
TEST_CASE("property: any order of inputs gives one answer or a cut one") {
  tests::CheckProperty("any order of inputs", [] {
    const auto seed = *rc::gen::arbitrary<uint32_t>();
    const bool is_streaming = *rc::gen::arbitrary<bool>();
    const auto received = PlayRequest(InputsOf(seed), is_streaming);
    if (received) {
      RC_ASSERT(FaultOf(*received) == "");
    }
  });
  CHECK(FindFault(Omission::kNone, 100'000) == 0);
}

TEST_CASE("The inputs of this test lead to each kind of end") {
  int whole_streams = 0;
  int cut_streams = 0;
  int plain_answers = 0;
  int left = 0;
  for (uint32_t seed = 1; seed <= 10'000; ++seed) {
    const auto received = PlayRequest(InputsOf(seed), true);
    left += received ? 0 : 1;
    if (received && received->is_stream) {
      (received->is_cut ? cut_streams : whole_streams) += 1;
    } else if (received) {
      ++plain_answers;
    }
  }
  CHECK(whole_streams > 100);
  CHECK(cut_streams > 1000);
  CHECK(plain_answers > 1000);
  CHECK(left > 1000);
}

TEST_CASE("Each rule that is left out lets a caller get a wrong answer") {
  for (const Omission omission :
       {Omission::kForwardsAfterBegin, Omission::kRefusesAfterBegin,
        Omission::kJoinsForeignRuns, Omission::kResumesUnnumbered}) {
    CAPTURE(static_cast<int>(omission));
    const uint32_t seed = FindFault(omission, 100'000);
    MESSAGE("found with seed " << seed);
    CHECK(seed != 0);
  }
}

}  // namespace bramleyspan::gateway

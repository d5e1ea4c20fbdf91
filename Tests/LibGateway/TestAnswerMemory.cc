#include <doctest/doctest.h>

#include "LibGateway/AnswerMemory.h"

namespace bramleyspan::gateway {

// Failure: answers without end take all memory, or sound answers are cut for
// them.
TEST_CASE("Answers that grow without end are cut and spare small ones") {
  constexpr uint64_t kSmall = 100;
  constexpr size_t kBlock = 16384;
  AnswerMemory memory{.limit = AnswerMemoryOf(uint64_t{112} << 20)};
  CHECK(memory.limit == size_t{14} << 20);
  std::map<uint64_t, size_t> growing;
  size_t cut = 0;
  for (uint64_t step = 0; step < 20'000; ++step) {
    const uint64_t request = step % 20;
    growing[request] += kBlock;
    const auto victim = RecordHeldBytes(memory, request, growing[request]);
    if (victim) {
      CHECK(*victim < 20);
      growing[*victim] = 0;
      CHECK_FALSE(RecordHeldBytes(memory, *victim, 0));
      ++cut;
    }
    CHECK_FALSE(RecordHeldBytes(memory, kSmall + step, 800));
    if (step >= 50) {
      CHECK_FALSE(RecordHeldBytes(memory, kSmall + step - 50, 0));
    }
    CHECK(memory.held <= memory.limit);
  }
  CHECK(cut > 0);
}

TEST_CASE("A large answer that fits is read whole") {
  AnswerMemory memory{.limit = 1000};
  CHECK_FALSE(RecordHeldBytes(memory, 1, 600));
  CHECK_FALSE(RecordHeldBytes(memory, 1, 1000));
  CHECK(RecordHeldBytes(memory, 2, 1) == 1);
  CHECK_FALSE(RecordHeldBytes(memory, 1, 0));
  CHECK(memory.held == 1);
}

}  // namespace bramleyspan::gateway

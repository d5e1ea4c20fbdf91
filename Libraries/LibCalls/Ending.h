// How a call ended, as far as it is proved.
#pragma once

#include <string>

#include "Kernel/Error.h"
#include "Kernel/Time.h"

namespace bramleyspan::calls {

enum class Verdict {
  // The answer is complete.
  kWhole,
  // The call did not run and never will.
  kNotRun,
  // Nobody knows whether the call ran; nothing of an answer was passed on.
  kUnknown,
  // A part of the answer was passed on and the rest will not come.
  kTruncated,
};

struct Ending {
  Verdict verdict = Verdict::kWhole;
  // Unused for a whole answer.
  ErrorCode error = ErrorCode::kUnavailable;
  std::string detail;
  // When to come back; zero if that is of no use.
  Duration retry_after{};
};

}  // namespace bramleyspan::calls

// The proven outcome of a call.
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
  // It is unknown whether the call ran. No part of an answer was forwarded.
  kUnknown,
  // A part of the answer was forwarded, and the rest will not follow.
  kTruncated,
};

struct Ending {
  Verdict verdict = Verdict::kWhole;
  // Unused for kWhole.
  ErrorCode error = ErrorCode::kUnavailable;
  std::string detail;
  // Delay before the caller should retry; zero if a retry cannot help.
  Duration retry_after{};
};

}  // namespace bramleyspan::calls

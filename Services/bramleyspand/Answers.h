// The answers that callers and operators get, as JSON.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "Kernel/Error.h"
#include "Kernel/Time.h"
#include "LibHTTP/Message.h"

namespace bramleyspan {

// Whether a failed request ran, as far as it is proved.
enum class RunState { kNotRun, kUnknown };

// A failure as a caller sees it.
struct ErrorAnswer {
  Error error;
  RunState run = RunState::kNotRun;
  // When it makes sense to come back; none if never.
  std::optional<Duration> retry_after;
};

// The HTTP status that stands for a kind of failure.
int StatusFor(ErrorCode code);

// The typed JSON answer for a failure, with Retry-After where it applies.
http::Response ToResponse(const ErrorAnswer& error_answer);

// A JSON document as an answer.
http::Response JsonResponse(int status, const nlohmann::json& document);

}  // namespace bramleyspan

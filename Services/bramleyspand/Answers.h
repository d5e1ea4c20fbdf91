// JSON answers for callers and operators.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "Kernel/Error.h"
#include "Kernel/Time.h"
#include "LibHTTP/Message.h"

namespace bramleyspan {

// Whether a failed request ran, as far as this is proved.
enum class RunState { kNotRun, kUnknown };

// The answer to a failed request.
struct ErrorAnswer {
  Error error;
  RunState run = RunState::kNotRun;
  // How long the caller should wait before it retries; none if it should not
  // retry.
  std::optional<Duration> retry_after;
};

// Returns the HTTP status for an error code.
int StatusFor(ErrorCode code);

// Returns the JSON answer for an error, with Retry-After where it applies.
http::Response ToResponse(const ErrorAnswer& error_answer);

// Returns an answer with a JSON document as its body.
http::Response JsonResponse(int status, const nlohmann::json& document);

}  // namespace bramleyspan

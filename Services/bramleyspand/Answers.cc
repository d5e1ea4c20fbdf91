#include "Services/bramleyspand/Answers.h"

namespace bramleyspan {

int StatusFor(ErrorCode code) {
  switch (code) {
    case ErrorCode::kMalformedDocument:
    case ErrorCode::kMalformedRequest:
      return 400;
    case ErrorCode::kUnauthenticated:
      return 401;
    case ErrorCode::kForbidden:
      return 403;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
    case ErrorCode::kClaimRefused:
    case ErrorCode::kClaimUnknown:
      return 409;
    case ErrorCode::kAnswerGone:
      return 410;
    case ErrorCode::kTooLarge:
      return 413;
    case ErrorCode::kLimitExceeded:
      return 429;
    case ErrorCode::kTargetFailed:
    case ErrorCode::kTruncated:
      return 502;
    default:
      return 503;
  }
}

http::Response ToResponse(const ErrorAnswer& error_answer) {
  nlohmann::json error = {
      {"code", StableCodeOf(error_answer.error.code)},
      {"message",
       error_answer.error.subject + ": " + error_answer.error.detail},
      {"run", error_answer.run == RunState::kNotRun ? "not_run" : "unknown"}};
  http::HeaderList headers;
  if (error_answer.retry_after) {
    const auto wait = *error_answer.retry_after;
    error["retry_after_ms"] =
        std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    headers.emplace_back(
        "retry-after",
        std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count()));
  }
  http::Response response =
      JsonResponse(StatusFor(error_answer.error.code), {{"error", error}});
  response.headers.insert(response.headers.end(), headers.begin(),
                          headers.end());
  return response;
}

http::Response JsonResponse(int status, const nlohmann::json& document) {
  return {.status = status,
          .headers = {{"content-type", "application/json"}},
          .body = document.dump(-1, ' ', false,
                                nlohmann::json::error_handler_t::replace) +
                  "\n"};
}

}  // namespace bramleyspan

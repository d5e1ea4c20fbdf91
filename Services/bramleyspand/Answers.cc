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

http::Response ToResponse(const Refusal& refusal) {
  nlohmann::json error = {
      {"code", StableCodeOf(refusal.error.code)},
      {"message", refusal.error.subject + ": " + refusal.error.detail},
      {"run", refusal.run == RunState::kNotRun ? "not_run" : "unknown"}};
  http::HeaderList headers;
  if (refusal.retry_after) {
    const auto wait = *refusal.retry_after;
    error["retry_after_ms"] =
        std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    headers.emplace_back(
        "retry-after",
        std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count()));
  }
  http::Response response =
      JsonResponse(StatusFor(refusal.error.code), {{"error", error}});
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

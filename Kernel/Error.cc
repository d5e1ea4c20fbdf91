#include "Kernel/Error.h"

#include <array>
#include <utility>

namespace bramleyspan {

namespace {

using StableCode = std::pair<ErrorCode, std::string_view>;

constexpr auto kStableCodes = std::to_array<StableCode>({
    {ErrorCode::kInvalidSetting, "invalid_setting"},
    {ErrorCode::kMalformedDocument, "malformed_document"},
    {ErrorCode::kMalformedFrame, "malformed_frame"},
    {ErrorCode::kMalformedRequest, "malformed_request"},
    {ErrorCode::kConnectionFailed, "connection_failed"},
    {ErrorCode::kConnectionClosed, "connection_closed"},
    {ErrorCode::kTimeout, "timeout"},
    {ErrorCode::kConflict, "conflict"},
    {ErrorCode::kStoreBehind, "store_behind"},
    {ErrorCode::kOutcomeUnknown, "outcome_unknown"},
    {ErrorCode::kUnauthenticated, "unauthenticated"},
    {ErrorCode::kForbidden, "forbidden"},
    {ErrorCode::kNotFound, "not_found"},
    {ErrorCode::kLimitExceeded, "limit_exceeded"},
    {ErrorCode::kDeadlineUnmeetable, "deadline_unmeetable"},
    {ErrorCode::kClaimRefused, "claim_refused"},
    {ErrorCode::kClaimUnknown, "claim_unknown"},
    {ErrorCode::kAnswerGone, "answer_gone"},
    {ErrorCode::kUnavailable, "unavailable"},
    {ErrorCode::kLeaving, "leaving"},
    {ErrorCode::kTruncated, "truncated"},
    {ErrorCode::kTooLarge, "too_large"},
    {ErrorCode::kTargetFailed, "target_failed"},
    {ErrorCode::kHistoryGone, "history_gone"},
});

}  // namespace

std::string_view StableCodeOf(ErrorCode code) {
  for (const auto& [kind, name] : kStableCodes) {
    if (kind == code) {
      return name;
    }
  }
  return "unavailable";
}

ErrorCode ErrorCodeFromStableCode(std::string_view stable_code) {
  for (const auto& [kind, name] : kStableCodes) {
    if (name == stable_code) {
      return kind;
    }
  }
  return ErrorCode::kUnavailable;
}

std::string Describe(const Error& error) {
  std::string text(StableCodeOf(error.code));
  text += ": " + error.subject;
  if (!error.detail.empty()) {
    text += ": " + error.detail;
  }
  return text;
}

}  // namespace bramleyspan

// The error type that all libraries return.
#pragma once

#include <string>
#include <string_view>

namespace bramleyspan {

// Kind of an error. Each has a stable code that appears in answers and logs.
enum class ErrorCode {
  kInvalidSetting,
  kMalformedDocument,
  kMalformedFrame,
  kMalformedRequest,
  kConnectionFailed,
  kConnectionClosed,
  kTimeout,
  kConflict,
  // The key-value service lacks a change that is already in force.
  kStoreBehind,
  kOutcomeUnknown,
  kUnauthenticated,
  kForbidden,
  kNotFound,
  kLimitExceeded,
  kDeadlineUnmeetable,
  kClaimRefused,
  kClaimUnknown,
  kAnswerGone,
  kUnavailable,
  kLeaving,
  kTruncated,
  kTooLarge,
  kTargetFailed,
  // The store no longer holds the changes that a watch requests.
  kHistoryGone,
};

// An error: its kind, the item that it concerns and a readable explanation.
struct Error {
  ErrorCode code = ErrorCode::kUnavailable;
  std::string subject;
  std::string detail;
};

// Returns the stable lower-case code of a kind, such as "limit_exceeded".
std::string_view StableCodeOf(ErrorCode code);

// Returns the kind with that stable code, or kUnavailable if the code is
// unknown.
ErrorCode ErrorCodeFromStableCode(std::string_view stable_code);

// Returns an error as "code: subject: detail", or "code: subject" without a
// detail.
std::string Describe(const Error& error);

}  // namespace bramleyspan

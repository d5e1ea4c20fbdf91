// The typed failure that every library of the workspace returns.
#pragma once

#include <string>
#include <string_view>

namespace bramleyspan {

// Kind of a failure. Each has a stable code that callers and logs see.
enum class ErrorCode {
  kInvalidSetting,
  kMalformedDocument,
  kMalformedFrame,
  kMalformedRequest,
  kConnectionFailed,
  kConnectionClosed,
  kTimeout,
  kConflict,
  // The key-value service lacks a change that is in force.
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
  // A store no longer has the changes that a watch asks for.
  kHistoryGone,
};

// A failure with its kind, the thing it concerns and a sentence for people.
struct Error {
  ErrorCode code = ErrorCode::kUnavailable;
  std::string subject;
  std::string detail;
};

// Returns the stable lower-case code of a kind, such as "limit_exceeded".
std::string_view StableCodeOf(ErrorCode code);

// Returns the kind with that stable code; kUnavailable for an unknown one.
ErrorCode ErrorCodeFromStableCode(std::string_view stable_code);

// Formats a failure as "code: subject: detail" for terminals and logs.
std::string Describe(const Error& error);

}  // namespace bramleyspan

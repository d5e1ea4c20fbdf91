// A result type based on Boost.Outcome, and the TRY macro.
#pragma once

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <utility>

#include "Kernel/Error.h"

namespace bramleyspan {

// Either a value or an Error. Accessing the one that is absent terminates the
// process.
template <typename T>
using Result = boost::outcome_v2::
    basic_result<T, Error, boost::outcome_v2::policy::terminate>;

// Returns a failure that converts to any Result.
inline auto Fail(ErrorCode code, std::string subject, std::string detail = "") {
  return boost::outcome_v2::failure(
      Error{code, std::move(subject), std::move(detail)});
}

// Returns a success for Result<void>.
inline auto Succeed() {
  return boost::outcome_v2::success();
}

}  // namespace bramleyspan

// Evaluates to the value of a Result, or returns its failure to the caller.
#define TRY(expression)                                                        \
  ({                                                                           \
    auto&& try_result = (expression);                                          \
    if (!try_result.has_value()) {                                             \
      return boost::outcome_v2::failure(std::move(try_result).assume_error()); \
    }                                                                          \
    std::move(try_result).assume_value();                                      \
  })

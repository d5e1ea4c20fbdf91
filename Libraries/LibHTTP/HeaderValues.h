// Parses values of headers.
#pragma once

#include <optional>
#include <string_view>

#include "Kernel/Time.h"

namespace bramleyspan::http {

// Parses a decimal number of 0 or more, without sign and exponent.
std::optional<double> ParseDecimal(std::string_view text);

// Parses the value of Retry-After as a number of seconds, which may have
// fractions. Dates are not read. More than an hour counts as an hour.
std::optional<Duration> ParseRetryAfter(std::string_view text);

// Parses a time in milliseconds, which may have fractions. More than a day
// counts as a day.
std::optional<Duration> ParseMilliseconds(std::string_view text);

}  // namespace bramleyspan::http

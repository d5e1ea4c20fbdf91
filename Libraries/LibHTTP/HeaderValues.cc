#include "LibHTTP/HeaderValues.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace bramleyspan::http {

namespace {

// A longer time is taken for a mistake.
constexpr double kMaxRetryAfterSeconds = 3600;
constexpr double kMaxMilliseconds = 24.0 * 3600 * 1000;

}  // namespace

std::optional<double> ParseDecimal(std::string_view text) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, failure] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  const bool is_number = failure == std::errc{} && stop == end &&
                         std::isfinite(value) && value >= 0;
  return is_number ? std::optional<double>(value) : std::nullopt;
}

std::optional<Duration> ParseRetryAfter(std::string_view text) {
  const std::optional<double> seconds = ParseDecimal(text);
  if (!seconds) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(*seconds, kMaxRetryAfterSeconds)));
}

std::optional<Duration> ParseMilliseconds(std::string_view text) {
  const std::optional<double> milliseconds = ParseDecimal(text);
  if (!milliseconds) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          std::min(*milliseconds, kMaxMilliseconds)));
}

}  // namespace bramleyspan::http

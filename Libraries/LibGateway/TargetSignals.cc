#include "LibGateway/TargetSignals.h"

#include <charconv>
#include <cmath>
#include <string_view>

namespace bramleyspan::gateway {

namespace {

// Parses a decimal number of 0 or more, without sign and exponent.
std::optional<double> ParseDecimal(std::string_view text) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, failure] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  const bool is_number = failure == std::errc{} && stop == end &&
                         std::isfinite(value) && value >= 0;
  return is_number ? std::optional<double>(value) : std::nullopt;
}

}  // namespace

AnswerSignals ParseSignals(const CallHeaders& names,
                           const http::HeaderList& headers) {
  AnswerSignals signals;
  const std::string_view limit = http::FindHeader(headers, names.rate_limit);
  signals.rate_limit = ParseDecimal(limit);
  signals.is_rate_limit_unreadable = !limit.empty() && !signals.rate_limit;
  return signals;
}

}  // namespace bramleyspan::gateway

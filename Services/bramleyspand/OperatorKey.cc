#include "Services/bramleyspand/OperatorKey.h"

#include "Kernel/Digest.h"

namespace bramleyspan {

std::string_view BearerKeyOf(const http::Request& request) {
  constexpr std::string_view kScheme = "Bearer ";
  const auto presented = http::FindHeader(request.headers, "authorization");
  return presented.starts_with(kScheme) ? presented.substr(kScheme.size())
                                        : std::string_view();
}

bool is_from_operator(const Settings& settings, const http::Request& request) {
  const std::string_view key = BearerKeyOf(request);
  return !key.empty() && is_equal_in_constant_time(
                             Sha256Hex(key), settings.operator_key_sha256);
}

}  // namespace bramleyspan

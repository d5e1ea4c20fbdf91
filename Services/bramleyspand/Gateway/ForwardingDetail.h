// Constants and helpers that the files of Forwarding share.
#pragma once

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

#include "Kernel/Time.h"

namespace bramleyspan::gatewayd::detail {

inline constexpr int kOk = 200;
inline constexpr int kFirstFailure = 300;
inline constexpr int kFirstServerFailure = 500;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;
// Time without an event after which a stream is resumed at another target.
// Callers disconnect after 2 s.
inline constexpr Duration kStreamEventTimeout = std::chrono::milliseconds(1750);

// Headers that concern one connection only, and those that the gateway sets
// itself.
inline constexpr std::array<std::string_view, 11> kHopByHopHeaders{
    "connection", "keep-alive", "proxy-connection",    "te",
    "trailer",    "upgrade",    "transfer-encoding",   "content-length",
    "expect",     "host",       "proxy-authorization",
};

// Formats a duration as whole milliseconds, for headers and logs.
inline std::string ToMillisecondsText(Duration time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

// Whether a header is in kHopByHopHeaders.
inline bool is_hop_by_hop(std::string_view name) {
  return std::find(kHopByHopHeaders.begin(), kHopByHopHeaders.end(), name) !=
         kHopByHopHeaders.end();
}

}  // namespace bramleyspan::gatewayd::detail

// The parts that a prompt is made of, as the caller lists them. Requests share
// parts; the last one belongs to the request or to its session alone.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bramleyspan::gateway {

// Returns the ids of the parts that other requests may share: all but the last
// of a list such as "5c1e:800,91bd:410,e440:250", each once, in lower case. An
// id that is no text is replaced by a digest of it, since ids are written down.
// Empty ids and those over kMaxPartIdBytes are left out, as are those beyond
// the first kMaxParts.
std::vector<std::string> ParseSharedParts(std::string_view list);

inline constexpr size_t kMaxPartIdBytes = 64;
inline constexpr size_t kMaxParts = 64;

}  // namespace bramleyspan::gateway

// Answers that a server breaks off before their end.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyspan::standins {

// Returns the bytes of an answer with these header lines and parts of a body
// that breaks off at `place`; nullopt if there is no such place. In the head:
// status, header, framing (inside a length), blank (before the blank line). In
// chunks, one a part: chunk-size, chunk, chunks (between two), last-chunk. In a
// body with a length: length; unreadable-length has a length that is too large.
// by-length and by-chunks are whole.
std::optional<std::string> CutAnswer(std::string_view place,
                                     const std::string& header_lines,
                                     const std::vector<std::string>& parts);

}  // namespace bramleyspan::standins

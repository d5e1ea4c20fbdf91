// Answers in whose heads a line is no field: a blank or a control byte in a
// field's name, and what else may not be there (RFC 9112, section 5).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyspan::standins {

// Bytes that a server sends, in two writes if `border` is not 0.
struct RawAnswer {
  std::string name;
  std::string bytes;
  // Bytes of the first write.
  size_t border = 0;
};

// Returns an answer 200 with these header lines and this body for each odd
// shape, in each form of it. Its name is that of the shape, then where the odd
// line stands (first, middle, last), the version (10, 11), how the body ends
// (length, chunks, close) and whether the odd byte comes in one write with all
// else (together), begins a second write (apart) or ends the first one
// (behind), joined by dots. Shapes of lines that a receiver needs have no
// place, and those outside of the final head's lines have one form.
std::vector<RawAnswer> OddHeadAnswers(const std::string& header_lines,
                                      const std::string& body);

// Returns the forms of an answer that has nothing odd in its head, named as
// above, and answers whose body alone has something odd, of which a receiver
// may pass on no more than the body.
std::vector<RawAnswer> SoundHeadAnswers(const std::string& header_lines,
                                        const std::string& body);

// Returns the answer with this name; nullopt if there is none.
std::optional<RawAnswer> FindAnswer(const std::vector<RawAnswer>& answers,
                                    std::string_view name);

}  // namespace bramleyspan::standins

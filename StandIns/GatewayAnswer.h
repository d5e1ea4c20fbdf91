// What a stand-in for a caller reads of an answer, and whether it is a whole
// answer of the stand-in's servers to the caller's own request.
#pragma once

#include <optional>
#include <string>

namespace bramleyspan::standins {

struct Answer {
  int status = 0;
  std::string input;
  size_t head_bytes = 0;
  bool is_chunked = false;
  bool is_last = false;
  std::optional<size_t> length;
  // Whether the connection has ended, in good order.
  bool is_ended = false;

  bool has_begun() const { return !this->input.empty(); }
};

// Whether the answer has come as a whole, by its framing. Reads its head once
// that has come.
bool is_whole(Answer& answer);

// What is wrong with the bytes that have come of an answer: the first of
// stamp, attempt, service, body, order (an event that is missing, comes twice
// or is not of this attempt), early (a stream that ends as whole without its
// last event). Empty if nothing is. Call it after is_whole.
std::string FindFault(const Answer& answer,
                      const std::string& id,
                      bool is_stream,
                      bool is_answer_whole);

}  // namespace bramleyspan::standins

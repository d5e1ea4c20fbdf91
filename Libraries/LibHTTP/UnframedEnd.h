// Judges whether an answer that has no length, and so ends with its connection,
// has come as a whole.
//
// Failure: a server resets the connection in the middle of its answer, while
// the request is still being written. The system reports a reset once. The
// write gets it; the read that follows finds what had come before and then an
// end that looks orderly. So such an end counts only once the request has been
// written as a whole: until then it can't be told from a cut.
#pragma once

namespace bramleyspan::http {

// A connection whose server sends nothing more.
struct UnframedEnd {
  // Whether reading reported the end, and no failure.
  bool is_read_in_order = false;
  // Whether writing the request has failed.
  bool has_write_failed = false;
  // Whether a part of the request has not been handed to the system.
  bool is_writing = false;
};

enum class UnframedVerdict { kWhole, kCut, kUndecided };

// Judges an end. One that is kUndecided is to be judged again: either the
// server takes the rest of the request, or the connection fails.
UnframedVerdict JudgeUnframedEnd(const UnframedEnd& end);

}  // namespace bramleyspan::http

// Judges whether an answer that has no length, and so ends with its connection,
// has come as a whole.
//
// Failure: a server resets the connection in the middle of its answer, while
// the request is still being written. The system reports a reset once. The
// write gets it; the read that follows finds what had come before and then an
// end that looks orderly.
//
// Failure: a server's process dies in the middle of its answer, while it waits
// for more of the request. Its system closes the connection in order, since
// nothing lies unread there, and resets it when the next bytes come.
//
// So an end counts only once the server's machine has acknowledged the whole
// request: until then it can't be told from a cut. A server that ends its
// answer early and takes the rest of the request has answered as a whole.
#pragma once

#include <cstddef>

namespace bramleyspan::http {

// A connection whose server sends nothing more.
struct UnframedEnd {
  // Whether reading reported the end, and no failure.
  bool is_read_in_order = false;
  // Whether writing the request has failed.
  bool has_write_failed = false;
  // Whether a part of the request has not been handed to the system.
  bool is_writing = false;
  // Bytes of the request that the server's machine has not acknowledged.
  size_t unacknowledged_bytes = 0;
  // Whether the system has given the connection up, as after a reset.
  bool has_failed = false;
};

enum class UnframedVerdict { kWhole, kCut, kUndecided };

// Judges an end. One that is kUndecided is to be judged again: either the
// server takes the rest of the request, or the connection fails.
UnframedVerdict JudgeUnframedEnd(const UnframedEnd& end);

}  // namespace bramleyspan::http

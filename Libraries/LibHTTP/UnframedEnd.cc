#include "LibHTTP/UnframedEnd.h"

namespace bramleyspan::http {

UnframedVerdict JudgeUnframedEnd(const UnframedEnd& end) {
  if (!end.is_read_in_order || end.has_write_failed) {
    return UnframedVerdict::kCut;
  }
  if (!end.is_writing && end.unacknowledged_bytes == 0) {
    return UnframedVerdict::kWhole;
  }
  return end.has_failed ? UnframedVerdict::kCut : UnframedVerdict::kUndecided;
}

}  // namespace bramleyspan::http

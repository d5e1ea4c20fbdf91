#include "LibHTTP/UnframedEnd.h"

namespace bramleyspan::http {

UnframedVerdict JudgeUnframedEnd(const UnframedEnd& end) {
  if (!end.is_read_in_order || end.has_write_failed) {
    return UnframedVerdict::kCut;
  }
  return end.is_writing ? UnframedVerdict::kUndecided : UnframedVerdict::kWhole;
}

}  // namespace bramleyspan::http

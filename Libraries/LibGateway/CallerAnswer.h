// Decides what of the answers of several targets the caller of one request
// gets, so that it is one whole answer or one that is visibly cut. These
// functions alone know what the caller has got so far.
#pragma once

#include <cstdint>
#include <optional>

#include "LibGateway/TargetAnswer.h"

namespace bramleyspan::gateway {

// What the caller has got, from all targets together.
struct CallerAnswer {
  // Whether its stream has begun. Nothing but the rest of this stream, or a
  // cut, can follow.
  bool has_begun = false;
  // Whether it has a piece of the stream, and the id of the last one that bears
  // an id.
  bool has_piece = false;
  std::optional<uint64_t> last_event;
  // Whether pieces without an id came after that one. No other run of the
  // request can go on behind them.
  bool has_unnumbered_piece = false;
};

// What becomes of an event: it begins the caller's stream; it is passed on in
// it; it is left out, since the caller has it; or it can't follow what the
// caller has.
enum class EventUse { kBegin, kPass, kLeaveOut, kForeign };

// Takes the next event of a target's answer, and records it in both answers if
// the caller gets it.
EventUse TakeEvent(CallerAnswer& caller,
                   TargetAnswer& answer,
                   const StreamEvent& event);

// Whether another target could go on with the answer.
bool may_go_on(const CallerAnswer& caller);

// What follows from the end of a target's answer.
enum class EndUse {
  // The caller's stream is whole.
  kFinish,
  // The target's whole answer may be passed on.
  kForward,
  // The target answered, but to pass it on would begin a second answer.
  kUnusable,
  kRejected,
  kFailed,
};

EndUse JudgeEnd(const CallerAnswer& caller,
                const TargetAnswer& answer,
                const AnswerTerms& terms,
                http::CallEnd end);

// How a request ends that no target answers: its answer is cut; it may have
// run; or it has not run and never will.
enum class LastWord { kCut, kFailure, kRefusal };

LastWord ChooseLastWord(const CallerAnswer& caller, bool may_have_run);

}  // namespace bramleyspan::gateway

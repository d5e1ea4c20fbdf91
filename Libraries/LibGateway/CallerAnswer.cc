#include "LibGateway/CallerAnswer.h"

#include <utility>

namespace bramleyspan::gateway {

EventUse TakeEvent(CallerAnswer& caller,
                   TargetAnswer& answer,
                   const StreamEvent& event) {
  // A run that is resumed at another target may begin with events that the
  // caller already has.
  if (event.id && caller.last_event && *event.id <= *caller.last_event) {
    return EventUse::kLeaveOut;
  }
  const bool is_of_new_run = caller.has_piece && !answer.has_passed_events;
  if (!event.id && is_of_new_run) {
    return event.is_comment() ? EventUse::kLeaveOut : EventUse::kForeign;
  }
  const bool is_first = !std::exchange(caller.has_begun, true);
  if (event.id || !event.is_comment()) {
    answer.has_passed_events = true;
    caller.has_piece = true;
    caller.has_unnumbered_piece = !event.id;
    caller.last_event = event.id ? event.id : caller.last_event;
  }
  return is_first ? EventUse::kBegin : EventUse::kPass;
}

bool may_go_on(const CallerAnswer& caller) {
  return !caller.has_unnumbered_piece;
}

EndUse JudgeEnd(const CallerAnswer& caller,
                const TargetAnswer& answer,
                const AnswerTerms& terms,
                http::CallEnd end) {
  if (end != http::CallEnd::kWhole) {
    return EndUse::kFailed;
  }
  if (answer.use == BodyUse::kEvents) {
    const bool is_whole =
        caller.has_begun && !answer.events.has_partial_event();
    return is_whole ? EndUse::kFinish : EndUse::kFailed;
  }
  switch (JudgeHead(answer, terms)) {
    case AnswerVerdict::kForward:
      return caller.has_begun ? EndUse::kUnusable : EndUse::kForward;
    case AnswerVerdict::kRejected:
      return EndUse::kRejected;
    case AnswerVerdict::kInvalid:
      return EndUse::kFailed;
  }
  return EndUse::kFailed;
}

LastWord ChooseLastWord(const CallerAnswer& caller, bool may_have_run) {
  if (caller.has_begun) {
    return LastWord::kCut;
  }
  return may_have_run ? LastWord::kFailure : LastWord::kRefusal;
}

}  // namespace bramleyspan::gateway

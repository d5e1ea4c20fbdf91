#include "LibHTTP/AnswerPhase.h"

namespace bramleyspan::http {

StepOutcome Advance(AnswerPhase& phase, AnswerStep step) {
  if (phase == AnswerPhase::kEnded) {
    return StepOutcome::kIgnore;
  }
  const bool is_beginning =
      step == AnswerStep::kRespond || step == AnswerStep::kStartStream;
  const bool is_expected = is_beginning == (phase == AnswerPhase::kNotBegun);
  if (step == AnswerStep::kAbort || !is_expected) {
    phase = AnswerPhase::kEnded;
    return StepOutcome::kCut;
  }
  if (step == AnswerStep::kStartStream) {
    phase = AnswerPhase::kStreaming;
  } else if (step != AnswerStep::kWrite) {
    phase = AnswerPhase::kEnded;
  }
  return StepOutcome::kPerform;
}

}  // namespace bramleyspan::http

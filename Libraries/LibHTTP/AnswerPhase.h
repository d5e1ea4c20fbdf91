// How far the answer to one request has got. An answer begins once and ends
// once. A step that would begin a second answer, or end one that has not begun,
// cuts it instead: its caller sees that it is not whole.
#pragma once

namespace bramleyspan::http {

enum class AnswerPhase { kNotBegun, kStreaming, kEnded };

// What a handler asks of an exchange.
enum class AnswerStep { kRespond, kStartStream, kWrite, kFinish, kAbort };

// What the exchange does.
enum class StepOutcome { kPerform, kIgnore, kCut };

// Advances `phase` by a step.
StepOutcome Advance(AnswerPhase& phase, AnswerStep step);

}  // namespace bramleyspan::http

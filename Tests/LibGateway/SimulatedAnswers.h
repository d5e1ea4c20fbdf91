// One request of a caller and the targets that answer it, without a network:
// what a gateway does with answers is decided by LibGateway/CallerAnswer.h, and
// carried out here as Forwarding does it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibGateway/CallerAnswer.h"
#include "LibHTTP/AnswerPhase.h"

namespace bramleyspan::gateway {

// What may come next, in any order. What can't come in the present state is
// passed over.
enum class InputKind {
  kHead,
  kPiece,
  kEvent,
  kEnd,
  kReset,
  kRejection,
  kFailure,
  kDeadline,
  kCallerGone,
  kResumption,
  kNoTarget,
};

struct Input {
  InputKind kind = InputKind::kHead;
  // Chooses among the variants of an input.
  uint8_t choice = 0;
};

// A rule of the gateway that is left out, to see that it is missed.
enum class Omission {
  kNone,
  // A whole answer is passed on though the caller's stream has begun.
  kForwardsAfterBegin,
  // The last word is a refusal though the caller's stream has begun.
  kRefusesAfterBegin,
  // Pieces without ids of another run are joined to what the caller has.
  kJoinsForeignRuns,
  // A stream whose pieces bear no ids is gone on with by another run.
  kResumesUnnumbered,
};

// What the caller has received.
struct ReceivedAnswer {
  http::AnswerPhase phase = http::AnswerPhase::kNotBegun;
  int heads = 0;
  bool is_stream = false;
  bool is_cut = false;
  // Bytes of the body, and the status.
  std::string body;
  int status = 0;
  // Whether a step was asked for that makes up no single answer.
  bool is_contradictory = false;
};

// Plays the inputs, then lets the time of the request run out. Returns what the
// caller got, or nullopt if it left before the end.
std::optional<ReceivedAnswer> PlayRequest(const std::vector<Input>& inputs,
                                          bool is_streaming,
                                          Omission omission = Omission::kNone);

// Returns what is wrong with an answer; empty if it is the whole answer of one
// run, or is visibly cut.
std::string FaultOf(const ReceivedAnswer& received);

}  // namespace bramleyspan::gateway

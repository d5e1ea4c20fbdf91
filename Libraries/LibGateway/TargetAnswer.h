// What one target answers to one request.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "LibGateway/CallHeaders.h"
#include "LibGateway/EventReader.h"
#include "LibHTTP/DirectCall.h"
#include "LibHTTP/Parser.h"

namespace bramleyspan::gateway {

// What an answer has to be, for one request.
struct AnswerTerms {
  const CallHeaders& names;
  // The id that the target returns with its own answer.
  std::string_view attempt;
  // Whether the route's answers are streams of events.
  bool is_streaming = false;
};

// What becomes of the body of an answer: each event is passed on as it comes,
// all of it is passed on once it is whole, or nothing is.
enum class BodyUse { kEvents, kWhole, kNone };

// How a complete answer is treated: passed on, taken as a rejection, or taken
// as a failure.
enum class AnswerVerdict { kForward, kRejected, kInvalid };

struct TargetAnswer {
  // None until the head has come.
  std::optional<http::AnswerHead> head;
  // Whether the answer says where it ends, and does not end with its
  // connection.
  bool is_framed = true;
  BodyUse use = BodyUse::kNone;
  // The body, if it is passed on as a whole.
  std::string body;
  size_t dropped_bytes = 0;
  // The events of a stream, and whether the caller has one of them.
  EventReader events;
  bool has_passed_events = false;

  size_t held_bytes() const {
    return this->body.size() + this->events.partial_bytes();
  }
};

void TakeHead(TargetAnswer& answer,
              const AnswerTerms& terms,
              const http::AnswerHead& head,
              http::BodyFraming framing);

// Whether the answer is that to the request, as far as it can be told.
bool is_own_answer(const AnswerTerms& terms, const http::AnswerHead& head);

// Judges an answer by its head, which must have come.
AnswerVerdict JudgeHead(const TargetAnswer& answer, const AnswerTerms& terms);

}  // namespace bramleyspan::gateway

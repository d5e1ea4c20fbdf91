#include "SimulatedAnswers.h"

namespace bramleyspan::gateway {

namespace {

using http::AnswerStep;
using http::CallEnd;

constexpr int kPieces = 3;
constexpr int kMaxAttempts = 4;

const CallHeaders& Names() {
  static const CallHeaders names{
      .attempt = "attempt", .stamp = "stamp", .not_run = "not-run"};
  return names;
}

std::string PieceOf(int number) {
  return "data: " + std::to_string(number) + "\n\n";
}

std::string WholeStream() {
  std::string body;
  for (int number = 1; number <= kPieces; ++number) {
    body += PieceOf(number);
  }
  return body;
}

// What a target has sent of its answer, and how it writes it.
struct TargetRun {
  bool has_head = false;
  int status = 200;
  bool is_stream = false;
  bool has_ids = true;
  int next_piece = 1;
};

struct SimulatedRequest {
  AnswerTerms terms;
  Omission omission;
  CallerAnswer caller;
  TargetAnswer answer;
  std::optional<TargetRun> run;
  int attempts = 0;
  bool has_ended = false;
  bool has_caller_left = false;
  ReceivedAnswer received;
};

// Sends a step to the caller. What http::Advance would cut is sent, and noted.
void Send(SimulatedRequest& request,
          AnswerStep step,
          std::string_view bytes = "",
          int status = 200) {
  ReceivedAnswer& received = request.received;
  const bool is_cut =
      http::Advance(received.phase, step) == http::StepOutcome::kCut;
  received.is_contradictory |= is_cut && step != AnswerStep::kAbort;
  received.is_cut |= step == AnswerStep::kAbort;
  if (step == AnswerStep::kRespond || step == AnswerStep::kStartStream) {
    ++received.heads;
    received.is_stream = step == AnswerStep::kStartStream;
    received.status = status;
  }
  received.body += bytes;
}

void BeginAttempt(SimulatedRequest& request, uint8_t choice) {
  ++request.attempts;
  request.answer = {};
  request.run = TargetRun{.has_ids = choice % 4 != 0};
  // Some targets go on where the caller is; others begin again.
  if (choice % 2 == 0 && request.caller.last_event && request.run->has_ids) {
    request.run->next_piece = static_cast<int>(*request.caller.last_event) + 1;
  }
}

void EndUnserved(SimulatedRequest& request) {
  request.has_ended = true;
  LastWord word = ChooseLastWord(request.caller, request.attempts > 1);
  if (request.omission == Omission::kRefusesAfterBegin) {
    word = LastWord::kRefusal;
  }
  switch (word) {
    case LastWord::kCut:
      return Send(request, AnswerStep::kAbort);
    case LastWord::kFailure:
      return Send(request, AnswerStep::kRespond, "", 502);
    case LastWord::kRefusal:
      return Send(request, AnswerStep::kRespond, "", 503);
  }
}

// Leaves the request without a target, or ends it if no other one may go on.
void FailAttempt(SimulatedRequest& request) {
  request.run.reset();
  const bool may_resume = may_go_on(request.caller) ||
                          request.omission == Omission::kResumesUnnumbered;
  if (!may_resume || request.attempts == kMaxAttempts) {
    EndUnserved(request);
  }
}

void EndAttempt(SimulatedRequest& request, CallEnd end) {
  EndUse use = JudgeEnd(request.caller, request.answer, request.terms, end);
  if (use == EndUse::kUnusable &&
      request.omission == Omission::kForwardsAfterBegin) {
    use = EndUse::kForward;
  }
  switch (use) {
    case EndUse::kFinish:
      request.has_ended = true;
      return Send(request, AnswerStep::kFinish);
    case EndUse::kForward:
      request.has_ended = true;
      return Send(request, AnswerStep::kRespond, request.answer.body,
                  request.answer.head->status);
    case EndUse::kUnusable:
    case EndUse::kRejected:
    case EndUse::kFailed:
      return FailAttempt(request);
  }
}

void SendHead(SimulatedRequest& request, uint8_t choice) {
  TargetRun& run = *request.run;
  run.has_head = true;
  http::AnswerHead head{.headers = {{"stamp", "1"}, {"attempt", "own"}}};
  constexpr int kStatuses[] = {200, 200, 200, 500, 404, 200, 200};
  const int kind = choice % 7;
  run.status = head.status = kStatuses[kind];
  if (kind == 5) {
    head.headers = {{"attempt", "another"}};
  }
  if (kind == 6) {
    head.headers.emplace_back("content-type", "application/json");
  }
  TakeHead(request.answer, request.terms, head, http::BodyFraming::kChunked);
  run.is_stream = request.answer.use == BodyUse::kEvents;
}

void SendBytes(SimulatedRequest& request, std::string_view bytes) {
  if (request.answer.use == BodyUse::kWhole) {
    request.answer.body += bytes;
  }
  if (request.answer.use != BodyUse::kEvents) {
    return;
  }
  bool is_foreign = false;
  request.answer.events.Read(bytes, [&](const StreamEvent& event) {
    if (is_foreign) {
      return;
    }
    const size_t data = event.bytes.find("data: ");
    const std::string_view piece =
        data == std::string::npos ? std::string_view()
                                  : std::string_view(event.bytes).substr(data);
    switch (TakeEvent(request.caller, request.answer, event)) {
      case EventUse::kBegin:
        Send(request, AnswerStep::kStartStream);
        return Send(request, AnswerStep::kWrite, piece);
      case EventUse::kPass:
        return Send(request, AnswerStep::kWrite, piece);
      case EventUse::kLeaveOut:
        return;
      case EventUse::kForeign:
        if (request.omission == Omission::kJoinsForeignRuns) {
          return Send(request, AnswerStep::kWrite, piece);
        }
        is_foreign = true;
    }
  });
  if (is_foreign) {
    EndAttempt(request, CallEnd::kMalformed);
  }
}

void SendEvent(SimulatedRequest& request, uint8_t choice) {
  TargetRun& run = *request.run;
  if (choice % 8 == 0) {
    return SendBytes(request, ": comment\n\n");
  }
  if (run.next_piece > kPieces) {
    return;
  }
  const int number = run.next_piece++;
  const std::string id =
      run.has_ids ? "id: " + std::to_string(number) + "\n" : "";
  SendBytes(request, id + PieceOf(number));
}

// A target whose run is not complete can't end its answer in order.
void SendEnd(SimulatedRequest& request) {
  const TargetRun& run = *request.run;
  const bool is_complete = !run.is_stream || run.next_piece > kPieces;
  EndAttempt(request, is_complete ? CallEnd::kWhole : CallEnd::kTruncated);
}

void Reject(SimulatedRequest& request) {
  TakeHead(request.answer, request.terms,
           {.status = 503, .headers = {{"not-run", "1"}}},
           http::BodyFraming::kLength);
  EndAttempt(request, CallEnd::kWhole);
}

// Takes an input from the target; it may come only while one is at work.
void TakeFromTarget(SimulatedRequest& request, const Input& input) {
  const bool has_head = request.run->has_head;
  switch (input.kind) {
    case InputKind::kHead:
      return has_head ? void() : SendHead(request, input.choice);
    case InputKind::kPiece:
      return has_head ? SendBytes(request, "da") : void();
    case InputKind::kEvent:
      return has_head ? SendEvent(request, input.choice) : void();
    case InputKind::kEnd:
      return has_head ? SendEnd(request) : void();
    case InputKind::kReset:
      return EndAttempt(request,
                        has_head ? CallEnd::kTruncated : CallEnd::kClosed);
    case InputKind::kRejection:
      return has_head ? void() : Reject(request);
    case InputKind::kFailure:
      return EndAttempt(request, input.choice % 2 == 0 ? CallEnd::kTimeout
                                                       : CallEnd::kMalformed);
    default:
      return;
  }
}

void Take(SimulatedRequest& request, const Input& input) {
  if (request.has_ended || request.has_caller_left) {
    return;
  }
  switch (input.kind) {
    case InputKind::kDeadline:
      return EndUnserved(request);
    case InputKind::kCallerGone:
      request.has_caller_left = true;
      return;
    case InputKind::kResumption:
      return request.run ? void() : BeginAttempt(request, input.choice);
    case InputKind::kNoTarget:
      return request.run ? void() : EndUnserved(request);
    default:
      return request.run ? TakeFromTarget(request, input) : void();
  }
}

}  // namespace

std::optional<ReceivedAnswer> PlayRequest(const std::vector<Input>& inputs,
                                          bool is_streaming,
                                          Omission omission) {
  SimulatedRequest request{.terms = {.names = Names(),
                                     .attempt = "own",
                                     .is_streaming = is_streaming},
                           .omission = omission};
  BeginAttempt(request, inputs.empty() ? 1 : inputs.front().choice);
  for (const Input& input : inputs) {
    Take(request, input);
  }
  Take(request, {.kind = InputKind::kDeadline});
  if (request.has_caller_left) {
    return std::nullopt;
  }
  return request.received;
}

std::string FaultOf(const ReceivedAnswer& received) {
  if (received.is_contradictory || received.heads > 1) {
    return "a second answer begins, or none has begun";
  }
  if (received.phase != http::AnswerPhase::kEnded) {
    return "neither whole nor cut";
  }
  const bool is_whole_stream = received.is_stream && !received.is_cut;
  if (is_whole_stream && received.body != WholeStream()) {
    return "looks whole, but is: " + received.body;
  }
  if (received.is_cut && !WholeStream().starts_with(received.body)) {
    return "is no beginning of the answer: " + received.body;
  }
  return "";
}

}  // namespace bramleyspan::gateway

#include "LibGateway/TargetAnswer.h"

#include <algorithm>
#include <cctype>

namespace bramleyspan::gateway {

namespace {

using http::FindHeader;

constexpr int kOk = 200;
constexpr int kFirstFailure = 300;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

// Whether a media type is that of event streams, with any parameters.
bool is_event_stream_type(std::string_view type) {
  constexpr std::string_view kEventStream = "text/event-stream";
  return std::ranges::equal(type.substr(0, kEventStream.size()), kEventStream,
                            {}, [](unsigned char letter) {
                              return static_cast<char>(std::tolower(letter));
                            });
}

// Whether the head belongs to a body that the target itself wrote, as it wrote
// it.
bool is_genuine(const AnswerTerms& terms, const http::AnswerHead& head) {
  return !FindHeader(head.headers, terms.names.stamp).empty() &&
         FindHeader(head.headers, "content-encoding").empty();
}

bool is_event_stream(const AnswerTerms& terms, const http::AnswerHead& head) {
  const std::string_view type = FindHeader(head.headers, "content-type");
  return terms.is_streaming && head.status == kOk &&
         (type.empty() || is_event_stream_type(type));
}

}  // namespace

bool is_own_answer(const AnswerTerms& terms, const http::AnswerHead& head) {
  const std::string_view echoed = FindHeader(head.headers, terms.names.attempt);
  return echoed.empty() || echoed == terms.attempt;
}

void TakeHead(TargetAnswer& answer,
              const AnswerTerms& terms,
              const http::AnswerHead& head,
              http::BodyFraming framing) {
  answer.head = head;
  answer.is_framed = framing != http::BodyFraming::kUntilClose;
  if (is_own_answer(terms, head) && is_genuine(terms, head) &&
      is_event_stream(terms, head)) {
    answer.use = BodyUse::kEvents;
  } else if (JudgeHead(answer, terms) == AnswerVerdict::kForward) {
    answer.use = BodyUse::kWhole;
  } else {
    answer.use = BodyUse::kNone;
  }
}

AnswerVerdict JudgeHead(const TargetAnswer& answer, const AnswerTerms& terms) {
  const http::AnswerHead& head = *answer.head;
  if (!is_own_answer(terms, head)) {
    return AnswerVerdict::kInvalid;
  }
  if (head.status == kMisdirected ||
      !FindHeader(head.headers, terms.names.not_run).empty()) {
    return AnswerVerdict::kRejected;
  }
  // A 429, 503 or 408 of a target without the not-run header may come after a
  // run; forwarded, it would tell the caller that nothing ran.
  const bool is_not_run_status = head.status == kTooManyRequests ||
                                 head.status == kUnavailable ||
                                 head.status == kRequestTimeout;
  const bool is_failure = head.status >= kFirstFailure;
  const bool has_stamp = !FindHeader(head.headers, terms.names.stamp).empty();
  if (is_failure ? !has_stamp : !is_genuine(terms, head)) {
    return AnswerVerdict::kInvalid;
  }
  return is_not_run_status || (terms.is_streaming && !is_failure)
             ? AnswerVerdict::kInvalid
             : AnswerVerdict::kForward;
}

}  // namespace bramleyspan::gateway

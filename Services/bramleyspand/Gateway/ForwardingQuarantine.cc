// What a gateway learns from targets that end under requests, and the requests
// that it keeps from targets because of that.
#include <algorithm>
#include <utility>

#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"
#include "Services/bramleyspand/Gateway/Quarantines.h"
#include "Services/bramleyspand/Gateway/TargetEnds.h"

namespace bramleyspan::gatewayd {

namespace {

using detail::kBadGateway;
using detail::kUnavailable;
using gateway::Outcome;
using http::CallEnd;

// A target that ends under a request does so before its answer has gone on for
// this long.
constexpr Duration kAnsweredAfter = std::chrono::milliseconds(500);

}  // namespace

bool Forwarding::EndIfQuarantined() {
  const QuarantineDecision decision =
      this->state.quarantine->Admit(this->marks);
  this->is_trial = decision.verdict == gateway::PartVerdict::kTrial;
  if (decision.verdict != gateway::PartVerdict::kRejected) {
    return false;
  }
  auto keep_until_return = this->shared_from_this();
  this->SettlePermit();
  this->state.quarantine->RecordRejected(this->marks);
  this->EndUnserved(
      {.cause = decision.cause,
       .may_have_run = this->may_have_run,
       .refusal_headers = {{"content-type", "text/plain"},
                           {"retry-after", FormatRetryAfter(decision.until -
                                                            EventLoop::Now())}},
       .refusal_text = "not run: " + decision.cause + "\n"});
  return true;
}

void EndRequestsWithPart(GatewayState& state, const gateway::PartKey& key) {
  std::vector<std::shared_ptr<Forwarding>> open;
  for (const auto& [number, forwarding] : state.open) {
    open.push_back(forwarding->shared_from_this());
  }
  for (const auto& forwarding : open) {
    forwarding->HandleQuarantine(key);
  }
}

void Forwarding::HandleQuarantine(const gateway::PartKey& key) {
  const auto& parts = this->marks.parts;
  const bool has_part = this->marks.digest == key.part ||
                        std::ranges::find(parts, key.part) != parts.end();
  const bool is_waiting_or_sent =
      this->call != nullptr || this->is_probing() ||
      std::ranges::find(this->state.waiting, this->shared_from_this()) !=
          this->state.waiting.end();
  if (!has_part || this->service != key.service || this->is_finished ||
      this->is_trial || !is_waiting_or_sent || this->answer_began) {
    return;
  }
  // A quarantine that another gateway reports may be due for a trial.
  const QuarantineDecision decision =
      this->state.quarantine->Admit(this->marks);
  if (decision.verdict != gateway::PartVerdict::kRejected) {
    return;
  }
  if (this->call != nullptr) {
    std::exchange(this->call, nullptr)->Cancel();
    this->ReleaseTarget(Outcome::kGood);
  }
  this->EndIfQuarantined();
}

bool Forwarding::CheckTarget(CallEnd end) {
  const bool is_lost = end == CallEnd::kClosed || end == CallEnd::kTruncated ||
                       end == CallEnd::kMalformed;
  const auto found = this->state.targets.by_id.find(this->target_id);
  // A target that leaves is expected to end.
  if (!is_lost || found == this->state.targets.by_id.end() ||
      !gateway::is_staying(this->state.targets, found->second)) {
    return false;
  }
  LostRequest lost = this->DescribeLost();
  const bool is_awaited =
      this->state.quarantine->is_suspect(this->marks, lost.is_answered);
  this->state.target_ends->Check(
      std::move(lost),
      [self = this->shared_from_this(), is_awaited, end](http::ConnectOutcome) {
        if (is_awaited) {
          self->RepeatOrEnd(end);
        }
      });
  return is_awaited;
}

bool Forwarding::is_doubtful(CallEnd end) const {
  if (end != CallEnd::kWhole || this->answer.is_framed) {
    return false;
  }
  switch (gateway::JudgeEnd(this->caller, this->answer, this->terms(), end)) {
    case gateway::EndUse::kFinish:
    case gateway::EndUse::kForward:
    case gateway::EndUse::kUnusable:
      return true;
    case gateway::EndUse::kRejected:
    case gateway::EndUse::kFailed:
      return this->state.quarantine->is_suspect(
          this->marks, this->is_answered_by_target(EventLoop::Now()));
  }
  return true;
}

void Forwarding::OpenWitness() {
  this->witness = http::Witness::Open(this->state.loop, this->target_address,
                                      this->state.adapter.liveness_path,
                                      kTargetCheckTimeout);
}

void Forwarding::CheckUnframedAnswer() {
  if (this->witness == nullptr) {
    this->CheckByConnection();
    return;
  }
  this->witness->Ask(kTargetCheckTimeout, [self = this->shared_from_this()](
                                              http::WitnessVerdict verdict) {
    self->witness = nullptr;
    if (self->is_finished) {
      return;
    }
    if (verdict == http::WitnessVerdict::kNone) {
      self->CheckByConnection();
      return;
    }
    self->HandleKnownEnd(verdict == http::WitnessVerdict::kRuns
                             ? CallEnd::kWhole
                             : CallEnd::kTruncated);
  });
}

void Forwarding::CheckByConnection() {
  const auto judge =
      [self = this->shared_from_this()](http::ConnectOutcome outcome) {
        if (!self->is_finished) {
          self->HandleKnownEnd(outcome == http::ConnectOutcome::kAccepted
                                   ? CallEnd::kWhole
                                   : CallEnd::kTruncated);
        }
      };
  const auto found = this->state.targets.by_id.find(this->target_id);
  if (found != this->state.targets.by_id.end() &&
      gateway::is_staying(this->state.targets, found->second)) {
    this->state.target_ends->Check(this->DescribeLost(), judge);
    return;
  }
  // The end of a target that leaves is no evidence against the request, but its
  // last answer may be cut like any other.
  http::CheckConnect(this->state.loop, this->target_address,
                     kTargetCheckTimeout, judge);
}

LostRequest Forwarding::DescribeLost() const {
  return {
      .id = this->id,
      .target = this->target_id,
      .address = this->state.targets.by_id.at(this->target_id).target.address,
      .marks = this->marks,
      .sent_at = this->sent_at,
      .is_answered = this->is_answered_by_target(EventLoop::Now())};
}

void Forwarding::RecordAnswerProgress(bool is_whole) {
  if (is_whole) {
    this->state.quarantine->RecordWholeAnswer(this->marks);
  }
  if (this->is_answer_recorded) {
    return;
  }
  const TimePoint now = EventLoop::Now();
  if (!this->answer_began) {
    this->answer_began = now;
    this->state.quarantine->RecordAnswerBegin(this->marks);
  }
  if (is_whole || this->is_answered_by_target(now)) {
    this->is_answer_recorded = true;
    this->state.quarantine->RecordAnswer(this->marks);
  }
}

bool Forwarding::is_answered_by_target(TimePoint now) const {
  return this->answer_began && now - *this->answer_began >= kAnsweredAfter;
}

}  // namespace bramleyspan::gatewayd

// Sends a request to a target.
#include <algorithm>
#include <utility>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"
#include "Services/bramleyspand/Gateway/Quarantines.h"
#include "Services/bramleyspand/Gateway/Repeats.h"
#include "Services/bramleyspand/Gateway/SignalRecorder.h"

namespace bramleyspan::gatewayd {

namespace {

using detail::is_hop_by_hop;
using detail::kStreamEventTimeout;
using detail::ToMillisecondsText;
using gateway::RouteKind;
using gateway::TargetView;
using http::CallEnd;
using telemetry::Log;
using telemetry::LogLevel;

// Within a region a connection takes 1 to 2 ms.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);

// From this share of a service's answers without a length on, a witness is
// opened with each request; below it, with the head of such an answer only,
// which costs other requests nothing but does not notice a target that ends
// before its head has come.
constexpr double kMinUnframedShare = 0.25;

}  // namespace

http::HeaderList Forwarding::HeadersFor(const TargetView& target,
                                        TimePoint now) const {
  const gateway::CallHeaders& names = this->state.adapter.headers;
  http::HeaderList headers;
  headers.emplace_back("host", this->request.host);
  std::string connection_words;
  for (const auto& [name, value] : this->request.headers) {
    if (name == "connection") {
      connection_words += value + ",";
    }
  }
  for (const auto& [name, value] : this->request.headers) {
    const bool is_reserved =
        std::find(names.reserved.begin(), names.reserved.end(), name) !=
        names.reserved.end();
    if (is_hop_by_hop(name) || is_reserved || name == names.key ||
        name == names.tenant || name == names.deadline ||
        name == names.expected_target || name == names.priority ||
        http::has_token(connection_words, name)) {
      continue;
    }
    if (name == names.last_event && this->caller.last_event) {
      continue;
    }
    headers.emplace_back(name, value);
  }
  if (this->caller.last_event) {
    headers.emplace_back(names.last_event,
                         std::to_string(*this->caller.last_event));
  }
  if (!this->tenant.empty()) {
    headers.emplace_back(names.tenant, this->tenant);
  }
  headers.emplace_back(names.deadline,
                       ToMillisecondsText(this->deadline - now));
  headers.emplace_back(names.expected_target, target.target.id);
  return headers;
}

void Forwarding::SendTo(const TargetView& target) {
  const TimePoint now = EventLoop::Now();
  this->target_id = target.target.id;
  this->target_address = target.target.address;
  this->last_target = this->target_id;
  this->sent_at = now;
  this->first_sent_at = this->first_sent_at.value_or(now);
  this->waited = now - this->arrived;
  this->group = gateway::GroupOf(target);
  this->tried.insert(this->target_id);
  usage::RecordSent(this->meter, now);
  ++this->state.targets.by_id[this->target_id].open;
  this->DropAnswer();
  this->answer_began.reset();
  this->is_answer_recorded = false;
  Log(LogLevel::kInfo, "forward", "sent",
      {{"request", this->id},
       {"target", this->target_id},
       {"server", Format(target.target.address)},
       {"group", this->group},
       {"open", std::to_string(target.open)},
       {"open_elsewhere", std::to_string(target.open_elsewhere)},
       {"waited_ms", ToMillisecondsText(now - this->arrived)},
       {"repeat_waited_ms",
        ToMillisecondsText(this->has_reserved_repeat
                               ? now - this->repeat_reserved_at
                               : Duration(0))},
       {"targets_revision",
        std::to_string(this->state.targets_feed->newest_revision())},
       {"targets_age_ms",
        ToMillisecondsText(this->state.targets_feed->age(now))},
       {"attempt", std::to_string(this->tried.size())}});
  if (std::exchange(this->has_reserved_repeat, false)) {
    this->state.repeats->RecordSent(this->service);
  }
  this->state.signals->RecordSent(this->target_id, this->service);
  http::DirectRequest outgoing{
      .target = target.target.address,
      .method = this->request.method,
      .path = this->request.target,
      .headers = this->HeadersFor(target, now),
      .shared_body = this->body,
      .connect_timeout = kConnectTimeout,
      .timeout = this->deadline - now + std::chrono::seconds(1)};
  auto self = this->shared_from_this();
  http::DirectEvents listeners;
  listeners.on_connected = [self] {
    ++self->sent;
    self->may_have_run = true;
    if (self->is_trial) {
      self->state.quarantine->RecordTrial(self->id, self->marks);
    }
  };
  listeners.on_head = [self](const http::AnswerHead& head,
                             const http::MessageFraming& framing) {
    self->HandleHead(head, framing);
  };
  listeners.on_bytes = [self](std::string_view bytes) {
    self->HandleBytes(bytes);
  };
  listeners.on_end = [self](CallEnd end) { self->HandleEnd(end); };
  this->call = http::DirectCall::Start(this->state.loop, std::move(outgoing),
                                       std::move(listeners));
  this->witness = nullptr;
  if (this->state.unframed_share[this->service] >= kMinUnframedShare) {
    this->OpenWitness();
  }
  if (this->is_streaming()) {
    this->ArmAttemptTimer(kStreamEventTimeout);
  } else if (this->route->kind == RouteKind::kIdempotent) {
    this->ArmAttemptTimer(std::max<Duration>(this->route->objective * 2,
                                             (this->deadline - now) * 2 / 5));
  }
}

}  // namespace bramleyspan::gatewayd

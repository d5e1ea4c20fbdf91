// How a request ends that no target answers, and when its caller may come back.
#include <algorithm>
#include <utility>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"

namespace bramleyspan::gatewayd {

namespace {

using detail::kBadGateway;
using detail::kUnavailable;
using telemetry::Log;
using telemetry::LogLevel;

}  // namespace

void Forwarding::EndUnserved(const Unserved& unserved) {
  switch (gateway::ChooseLastWord(this->caller, unserved.may_have_run)) {
    case gateway::LastWord::kCut:
      this->AbortAnswer(unserved.cause);
      return;
    case gateway::LastWord::kFailure:
      this->Fail(unserved.status_if_run, unserved.cause);
      return;
    case gateway::LastWord::kRefusal:
      break;
  }
  if (unserved.refusal_headers.empty()) {
    this->Refuse(kUnavailable, unserved.cause, true);
  } else {
    this->RespondRefusal(kUnavailable, unserved.cause, unserved.refusal_headers,
                         unserved.refusal_text);
  }
}

void Forwarding::Fail(int status, std::string_view cause) {
  Log(LogLevel::kWarning, "forward", "failed",
      {{"request", this->id},
       {"status", std::to_string(status)},
       {"target", this->last_target},
       {"cause", std::string(cause)}});
  this->exchange->Respond(status, {}, "");
  this->Finish("failed", status);
}

void Forwarding::AbortAnswer(std::string_view cause) {
  Log(LogLevel::kWarning, "forward", "broken_off",
      {{"request", this->id},
       {"target", this->last_target},
       {"cause", std::string(cause)}});
  this->exchange->Abort();
  this->Finish("broken_off", kBadGateway);
}

void Forwarding::Refuse(int status,
                        std::string_view cause,
                        bool has_retry_after) {
  http::HeaderList headers;
  if (has_retry_after) {
    headers.emplace_back("retry-after", this->RetryAfter());
  }
  this->RespondRefusal(status, cause, headers, "");
}

void Forwarding::RespondRefusal(int status,
                                std::string_view cause,
                                const http::HeaderList& headers,
                                std::string_view text) {
  Log(LogLevel::kWarning, "forward", "refused",
      {{"request", this->id},
       {"status", std::to_string(status)},
       {"cause", std::string(cause)},
       {"path", this->request.path},
       {"waiting", std::to_string(this->state.waiting.size())},
       {"table_version",
        std::to_string(this->table == nullptr ? 0 : this->table->version)}});
  this->exchange->Respond(status, headers, std::string(text));
  this->Finish("refused", status);
}

gateway::RefusalReason Forwarding::FindRefusalReason() const {
  if (this->table == nullptr) {
    return this->state.table_feed->is_reachable()
               ? gateway::RefusalReason::kStarting
               : gateway::RefusalReason::kStoreUnavailable;
  }
  const bool is_closed =
      this->has_engine() &&
      !gateway::is_any_open(this->state.targets, this->service);
  return this->sent > 0 && !is_closed ? gateway::RefusalReason::kRejected
                                      : gateway::RefusalReason::kNoPermit;
}

std::string Forwarding::RetryAfter() const {
  // The caller's next attempt may use all targets.
  const std::optional<TimePoint> held_back_until =
      this->service.empty() ? std::nullopt : this->HeldBackUntil({});
  Duration delay =
      held_back_until
          ? *held_back_until - EventLoop::Now()
          : gateway::RetryDelayFor(this->FindRefusalReason(), this->TimeLeft());
  const auto until_permit = this->TimeUntilPermit();
  if (!held_back_until && until_permit) {
    delay = std::min(delay, std::max(*until_permit, gateway::kMinRetryDelay));
  }
  return FormatRetryAfter(delay);
}

std::optional<Duration> Forwarding::TimeUntilPermit() const {
  const auto forecast = this->state.forecasts.find(this->service);
  if (forecast == this->state.forecasts.end() ||
      this->FindServiceWithPriorities() == nullptr) {
    return std::nullopt;
  }
  return scheduling::TimeUntilPermit(
      forecast->second, this->priority,
      gateway::CountUsable(this->state.targets, this->service),
      EventLoop::Now());
}

std::string Forwarding::FormatRetryAfter(Duration delay) {
  const auto after = std::chrono::ceil<std::chrono::milliseconds>(
      std::max<Duration>(delay, Duration(0)));
  constexpr int64_t kMillisecondsPerSecond = 1000;
  std::string fraction = std::to_string(after.count() % kMillisecondsPerSecond);
  fraction.insert(0, 3 - fraction.size(), '0');
  return std::to_string(after.count() / kMillisecondsPerSecond) + "." +
         fraction;
}

}  // namespace bramleyspan::gatewayd

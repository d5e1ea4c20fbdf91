#include "Services/bramleyspand/Gateway/TargetEnds.h"

#include <algorithm>
#include <set>
#include <utility>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"
#include "Services/bramleyspand/Gateway/Quarantines.h"

namespace bramleyspan::gatewayd {

namespace {

using http::ConnectOutcome;
using telemetry::Log;
using telemetry::LogLevel;

// Requests that are lost within this time after a check has begun share it. One
// that is lost later may have lost a target that still ran when it began.
constexpr Duration kSameLoss = std::chrono::milliseconds(2);
// Requests that are lost within this time after a check belong to the same end
// of the target.
constexpr Duration kOutcomeLifetime = std::chrono::milliseconds(500);
// Parts that one log record names.
constexpr size_t kLoggedParts = 8;

std::string Join(const std::set<std::string>& parts) {
  std::string text;
  size_t count = 0;
  for (const std::string& part : parts) {
    if (count++ == kLoggedParts) {
      return text + ",...";
    }
    text += (text.empty() ? "" : ",") + part;
  }
  return text;
}

}  // namespace

void TargetEnds::Check(LostRequest lost, OnChecked on_checked) {
  const TimePoint now = EventLoop::Now();
  this->RemoveOldChecks(now);
  const std::string target = lost.target;
  const Address address = lost.address;
  auto& known = this->checks[target];
  if (known != nullptr && known->is_done) {
    LogLost(lost);
    this->state.quarantine->RecordTargetEnd({lost}, known->began);
    this->state.loop.RunAfter(Duration(0),
                              [on_checked = std::move(on_checked)] {
                                on_checked(ConnectOutcome::kRefused);
                              });
    return;
  }
  const bool is_new = known == nullptr || now - known->began > kSameLoss;
  if (is_new) {
    known = std::make_shared<TargetCheck>();
    known->began = now;
  }
  known->lost.push_back(std::move(lost));
  known->on_checked.push_back(std::move(on_checked));
  if (is_new) {
    http::CheckConnect(this->state.loop, address, kTargetCheckTimeout,
                       [this, target, check = known](ConnectOutcome outcome) {
                         this->HandleOutcome(target, check, outcome);
                       });
  }
}

void TargetEnds::HandleOutcome(const std::string& target,
                               const std::shared_ptr<TargetCheck>& check,
                               ConnectOutcome outcome) {
  const bool has_ended = outcome == ConnectOutcome::kRefused;
  // A target that runs now may end before the next request is lost there, so
  // that only an end is remembered.
  if (has_ended) {
    check->is_done = true;
    this->checks[target] = check;
    this->RecordEnd(*check);
  } else if (const auto found = this->checks.find(target);
             found != this->checks.end() && found->second == check) {
    this->checks.erase(found);
  }
  check->lost.clear();
  for (const OnChecked& on_checked : std::exchange(check->on_checked, {})) {
    on_checked(outcome);
  }
}

void TargetEnds::RecordEnd(const TargetCheck& check) const {
  const LostRequest& first = check.lost.front();
  // Requests that had been answered are no suspects, but their target's end
  // counts.
  std::set<std::string> parts;
  size_t unanswered = 0;
  for (const LostRequest& lost : check.lost) {
    unanswered += lost.is_answered ? 0 : 1;
    if (!lost.is_answered) {
      parts.insert(lost.marks.parts.begin(), lost.marks.parts.end());
    }
  }
  telemetry::Count(kTargetEnds, {{"service", first.marks.service}});
  Log(LogLevel::kWarning, "targets", "target_ended",
      {{"target", first.target},
       {"service", first.marks.service},
       {"address", Format(first.address)},
       {"requests", std::to_string(check.lost.size())},
       {"unanswered", std::to_string(unanswered)},
       {"unanswered_parts", Join(parts)},
       {"checked_after_ms",
        std::to_string((EventLoop::Now() - check.began).count() / 1000)}});
  std::ranges::for_each(check.lost, LogLost);
  this->state.quarantine->RecordTargetEnd(check.lost, check.began);
}

void TargetEnds::LogLost(const LostRequest& lost) {
  Log(LogLevel::kInfo, "forward", "lost_with_target",
      {{"request", lost.id},
       {"target", lost.target},
       {"digest", lost.marks.digest},
       {"is_answered", lost.is_answered ? "true" : "false"},
       {"parts", Join({lost.marks.parts.begin(), lost.marks.parts.end()})}});
}

void TargetEnds::RemoveOldChecks(TimePoint now) {
  std::erase_if(this->checks, [now](const auto& item) {
    return item.second->is_done && now - item.second->began > kOutcomeLifetime;
  });
}

}  // namespace bramleyspan::gatewayd

#include "Services/bramleyspand/Gateway/TargetEnds.h"

#include <algorithm>
#include <set>
#include <utility>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"

namespace bramleyspan::gatewayd {

namespace {

using http::ConnectOutcome;
using telemetry::Log;
using telemetry::LogLevel;

// Within a region a connection takes 1 to 2 ms.
constexpr Duration kCheckTimeout = std::chrono::milliseconds(250);
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
  const auto [found, is_new] = this->checks.try_emplace(target);
  TargetCheck& check = found->second;
  if (!is_new && check.is_done) {
    if (check.has_ended) {
      LogLost(lost);
    }
    this->state.loop.RunAfter(Duration(0), std::move(on_checked));
    return;
  }
  check.lost.push_back(std::move(lost));
  check.on_checked.push_back(std::move(on_checked));
  if (!is_new) {
    return;
  }
  check.began = now;
  http::CheckConnect(this->state.loop, address, kCheckTimeout,
                     [this, target](ConnectOutcome outcome) {
                       this->HandleOutcome(target, outcome);
                     });
}

void TargetEnds::HandleOutcome(const std::string& target,
                               ConnectOutcome outcome) {
  TargetCheck& check = this->checks.at(target);
  check.is_done = true;
  check.has_ended = outcome == ConnectOutcome::kRefused;
  if (check.has_ended) {
    this->LogEnd(check);
    std::ranges::for_each(check.lost, LogLost);
  }
  check.lost.clear();
  // A callback may start a check of another target.
  for (const OnChecked& on_checked : std::exchange(check.on_checked, {})) {
    on_checked();
  }
}

void TargetEnds::LogEnd(const TargetCheck& check) const {
  const LostRequest& first = check.lost.front();
  std::set<std::string> parts;
  size_t unanswered = 0;
  for (const LostRequest& lost : check.lost) {
    unanswered += lost.is_answered ? 0 : 1;
    if (!lost.is_answered) {
      parts.insert(lost.parts.begin(), lost.parts.end());
    }
  }
  telemetry::Count(kTargetEnds, {{"service", first.service}});
  Log(LogLevel::kWarning, "targets", "target_ended",
      {{"target", first.target},
       {"service", first.service},
       {"address", Format(first.address)},
       {"requests", std::to_string(check.lost.size())},
       {"unanswered", std::to_string(unanswered)},
       {"unanswered_parts", Join(parts)},
       {"checked_after_ms",
        std::to_string((EventLoop::Now() - check.began).count() / 1000)}});
}

void TargetEnds::LogLost(const LostRequest& lost) {
  Log(LogLevel::kInfo, "forward", "lost_with_target",
      {{"request", lost.id},
       {"target", lost.target},
       {"is_answered", lost.is_answered ? "true" : "false"},
       {"parts", Join({lost.parts.begin(), lost.parts.end()})}});
}

void TargetEnds::RemoveOldChecks(TimePoint now) {
  std::erase_if(this->checks, [now](const auto& item) {
    return item.second.is_done && now - item.second.began > kOutcomeLifetime;
  });
}

}  // namespace bramleyspan::gatewayd

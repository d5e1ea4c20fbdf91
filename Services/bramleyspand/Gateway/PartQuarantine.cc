#include "Services/bramleyspand/Gateway/PartQuarantine.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/Forwarding.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"

namespace bramleyspan::gatewayd {

namespace {

using gateway::PartKey;
using gateway::PartRecord;
using membership::wire::PartReportT;
using telemetry::Log;
using telemetry::LogLevel;

// Reports in one message, so that it fits into one packet.
constexpr size_t kReportsPerMessage = 4;
// Messages with changes that are sent one after the other; the rest is in
// heartbeats.
constexpr size_t kMaxMessagesAtOnce = 4;
// Changes within this time are sent together.
constexpr Duration kReportDelay = std::chrono::milliseconds(2);
constexpr Duration kMaxAge = std::chrono::hours(24);

int64_t AgeOf(const std::optional<TimePoint>& at, TimePoint now) {
  return at ? std::max<int64_t>(0, (now - *at).count()) : -1;
}

std::optional<TimePoint> TimeOf(int64_t age_microseconds, TimePoint now) {
  if (age_microseconds < 0) {
    return std::nullopt;
  }
  return now - std::min<Duration>(Duration(age_microseconds), kMaxAge);
}

PartReport MakeReport(const PartKey& key,
                      const PartRecord& record,
                      TimePoint now) {
  auto report = std::make_unique<PartReportT>();
  report->service = key.service;
  report->part = key.part;
  for (const gateway::TargetEnd& end : record.ends) {
    auto wire = std::make_unique<membership::wire::TargetEndT>();
    wire->target = end.target;
    wire->age_microseconds = AgeOf(end.at, now);
    wire->sent_age_microseconds = AgeOf(end.sent_at, now);
    report->ends.push_back(std::move(wire));
  }
  report->answered_age_microseconds = AgeOf(record.answered_at, now);
  report->quarantined_age_microseconds = AgeOf(record.quarantined_at, now);
  report->trial_age_microseconds = AgeOf(record.trial_at, now);
  report->failed_trials = record.failed_trials;
  return report;
}

PartRecord ParseReport(const PartReportT& report, TimePoint now) {
  PartRecord record;
  for (const auto& end : report.ends) {
    if (end != nullptr && end->age_microseconds >= 0) {
      record.ends.push_back(
          {.target = end->target,
           .at = *TimeOf(end->age_microseconds, now),
           .sent_at = TimeOf(end->sent_age_microseconds, now)});
    }
  }
  record.answered_at = TimeOf(report.answered_age_microseconds, now);
  record.quarantined_at = TimeOf(report.quarantined_age_microseconds, now);
  record.trial_at = TimeOf(report.trial_age_microseconds, now);
  record.failed_trials = report.failed_trials;
  return record;
}

std::string Milliseconds(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string DescribeEnds(const PartRecord& record, TimePoint now) {
  std::string text;
  for (const gateway::TargetEnd& end : record.ends) {
    text += (text.empty() ? "" : ", ") + end.target + " " +
            Milliseconds(now - end.at) + " ms ago";
  }
  return text;
}

}  // namespace

void PartQuarantine::Start() {
  this->documents.Read([this](const PartKey& key, const PartRecord& record) {
    this->Merge(key, record, "store");
  });
}

void PartQuarantine::RecordTargetEnd(const std::string& service,
                                     const gateway::TargetEnd& end,
                                     const std::vector<std::string>& parts) {
  const TimePoint now = EventLoop::Now();
  std::vector<PartKey> tried;
  for (const std::string& part : parts) {
    const auto found = this->quarantine.records.find({service, part});
    if (found != this->quarantine.records.end() &&
        found->second.is_trial_open) {
      tried.push_back(found->first);
    }
  }
  const auto begun =
      gateway::RecordTargetEnd(this->quarantine, service, end, parts, now);
  for (const PartKey& key : tried) {
    const PartRecord& record = this->quarantine.records.at(key);
    Log(LogLevel::kWarning, "quarantine", "trial_failed",
        {{"service", service},
         {"part", key.part},
         {"target", end.target},
         {"failed_trials", std::to_string(record.failed_trials)},
         {"next_in_ms", Milliseconds(QuarantinedUntil(record) - now)}});
    this->documents.Write(key, record);
  }
  this->Begin(begun);
  this->ScheduleReports();
}

void PartQuarantine::RecordAnswerBegin(const std::string& service,
                                       const std::vector<std::string>& parts) {
  this->Begin(gateway::RecordAnswerBegin(this->quarantine, service, parts,
                                         EventLoop::Now()));
}

void PartQuarantine::RecordAnswer(const std::string& service,
                                  const std::vector<std::string>& parts) {
  std::vector<PartKey> quarantined;
  for (const std::string& part : parts) {
    const auto found = this->quarantine.records.find({service, part});
    if (found != this->quarantine.records.end() &&
        is_quarantined(found->second)) {
      quarantined.push_back(found->first);
    }
  }
  const auto cleared =
      gateway::RecordAnswer(this->quarantine, service, parts, EventLoop::Now());
  for (const PartKey& key : quarantined) {
    this->HandleRelease(key, "answered");
    this->documents.Remove(key);
  }
  if (!cleared.empty()) {
    this->ScheduleReports();
  }
}

void PartQuarantine::RecordTrial(const std::string& request,
                                 const std::string& service,
                                 const std::vector<std::string>& parts) {
  gateway::RecordTrial(this->quarantine, service, parts, EventLoop::Now());
  Log(LogLevel::kWarning, "quarantine", "trial_began",
      {{"request", request}, {"service", service}});
  this->ScheduleReports();
}

gateway::PartDecision PartQuarantine::Admit(
    const std::string& service,
    const std::vector<std::string>& parts) const {
  return gateway::AdmitParts(this->quarantine, service, parts,
                             EventLoop::Now());
}

void PartQuarantine::RecordRejected(const std::string& service,
                                    const std::string& part) {
  ++this->quarantine.records[{service, part}].rejected;
  telemetry::Count(
      kHeldBack, {{"service", service}, {"by", std::string(this->kind.name)}});
}

bool PartQuarantine::may_repeat(const std::string& service,
                                const std::vector<std::string>& parts) const {
  return gateway::may_repeat(this->quarantine, service, parts);
}

bool PartQuarantine::may_be_cause(const std::string& service,
                                  const std::vector<std::string>& parts) const {
  const TimePoint now = EventLoop::Now();
  return !std::ranges::all_of(parts, [&](const std::string& part) {
    return gateway::is_answered_lately(this->quarantine, {service, part}, now);
  });
}

bool PartQuarantine::has_ends(const std::string& service,
                              const std::string& part) const {
  const auto found = this->quarantine.records.find({service, part});
  return found != this->quarantine.records.end() &&
         gateway::has_evidence(found->second);
}

std::string PartQuarantine::EventName(std::string_view event) const {
  return std::string(this->kind.name) + "_" + std::string(event);
}

void PartQuarantine::Begin(const std::vector<PartKey>& parts) {
  for (const PartKey& key : parts) {
    this->HandleBegin(key, "own");
    this->documents.Write(key, this->quarantine.records.at(key));
  }
  if (!parts.empty()) {
    this->ScheduleReports();
  }
}

void PartQuarantine::HandleBegin(const PartKey& key,
                                 std::string_view heard_from) {
  const TimePoint now = EventLoop::Now();
  const PartRecord& record = this->quarantine.records.at(key);
  Log(LogLevel::kWarning, "quarantine", this->EventName("quarantined"),
      {{"service", key.service},
       {"part", key.part},
       {"ends", std::to_string(gateway::CountEnds(this->quarantine, key))},
       {"targets", DescribeEnds(record, now)},
       {"heard_from", std::string(heard_from)},
       {"next_trial_in_ms", Milliseconds(QuarantinedUntil(record) - now)}});
  EndRequestsWithPart(this->state, key);
}

void PartQuarantine::HandleRelease(const PartKey& key, std::string_view cause) {
  const PartRecord& record = this->quarantine.records.at(key);
  Log(LogLevel::kWarning, "quarantine", this->EventName("released"),
      {{"service", key.service},
       {"part", key.part},
       {"cause", std::string(cause)},
       {"rejected", std::to_string(record.rejected)}});
}

void PartQuarantine::Merge(const PartKey& key,
                           const PartRecord& reported,
                           std::string_view heard_from) {
  const gateway::MergeResult result =
      gateway::MergePart(this->quarantine, key, reported, EventLoop::Now());
  const auto& here = result.quarantined_here;
  const bool is_own = std::ranges::find(here, key) != here.end();
  if (result.is_quarantined && !is_own) {
    this->HandleBegin(key, heard_from);
  }
  if (result.is_released) {
    this->HandleRelease(key, heard_from);
  }
  this->Begin(here);
  if (result.is_refuted) {
    this->ScheduleReports();
  }
}

void PartQuarantine::HandleReports(const std::vector<PartReport>& reports) {
  for (const PartReport& report : reports) {
    if (report != nullptr) {
      this->HandleReport(*report);
    }
  }
}

void PartQuarantine::HandleReport(const PartReportT& report) {
  if (report.part.empty() || report.service.empty()) {
    return;
  }
  const TimePoint now = EventLoop::Now();
  this->Merge({.service = report.service, .part = report.part},
              ParseReport(report, now), "peer");
}

std::vector<PartReport> PartQuarantine::ReportsToSend() {
  const TimePoint now = EventLoop::Now();
  std::vector<PartReport> reports;
  for (const PartKey& key :
       gateway::TakePartReports(this->quarantine, kReportsPerMessage, now)) {
    reports.push_back(MakeReport(key, this->quarantine.records.at(key), now));
  }
  return reports;
}

// What a gateway learns of a part is sent to all others at once: until they
// know, the next target may end.
void PartQuarantine::ScheduleReports() {
  if (std::exchange(this->is_report_scheduled, true)) {
    return;
  }
  this->state.loop.RunAfter(kReportDelay, [this] {
    this->is_report_scheduled = false;
    this->SendReportsNow(kMaxMessagesAtOnce);
  });
}

void PartQuarantine::SendReportsNow(size_t messages_left) {
  auto reports = this->ReportsToSend();
  if (reports.empty()) {
    return;
  }
  this->send(std::move(reports));
  if (messages_left > 1 && gateway::has_unreported(this->quarantine)) {
    this->SendReportsNow(messages_left - 1);
  }
}

bool PartQuarantine::Release(const PartKey& key) {
  if (!gateway::ReleasePart(this->quarantine, key, EventLoop::Now())) {
    return false;
  }
  this->HandleRelease(key, "operator");
  this->documents.Remove(key);
  this->ScheduleReports();
  return true;
}

void PartQuarantine::RemoveOld() {
  gateway::RemoveOldParts(this->quarantine, EventLoop::Now());
}

void PartQuarantine::UpdateGauges() const {
  std::map<std::string, uint64_t> quarantined;
  for (const auto& [name, history] : this->quarantine.services) {
    quarantined[name] = 0;
  }
  for (const auto& [key, record] : this->quarantine.records) {
    quarantined[key.service] += is_quarantined(record) ? 1 : 0;
  }
  for (const auto& [service, count] : quarantined) {
    telemetry::SetGauge(this->kind.quarantined, {{"service", service}},
                        static_cast<double>(count));
  }
}

nlohmann::json PartQuarantine::Dump() const {
  const TimePoint now = EventLoop::Now();
  nlohmann::json parts = nlohmann::json::array();
  for (const auto& [key, record] : this->quarantine.records) {
    const bool is_in_force = is_quarantined(record);
    // A target that ends loses many requests; those lost once say nothing yet.
    if (!this->kind.rules.is_shared && !is_in_force && record.ends.size() < 2) {
      continue;
    }
    nlohmann::json part = {{"service", key.service},
                           {"part", key.part},
                           {"kind", this->kind.name},
                           {"state", is_in_force ? "quarantined" : "suspected"},
                           {"ends", gateway::CountEnds(this->quarantine, key)},
                           {"targets", DescribeEnds(record, now)},
                           {"rejected", record.rejected},
                           {"failed_trials", record.failed_trials}};
    if (is_in_force) {
      part["since_ms"] = (now - *record.quarantined_at).count() / 1000;
      part["next_trial_in_ms"] =
          (QuarantinedUntil(record) - now).count() / 1000;
    }
    parts.push_back(std::move(part));
  }
  return parts;
}

}  // namespace bramleyspan::gatewayd

#include "Services/bramleyspand/Gateway/Repeats.h"

#include <algorithm>
#include <utility>

#include "LibMembership/Gossip.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/ForwardingDetail.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"

namespace bramleyspan::gatewayd {

namespace {

using detail::ToMillisecondsText;
using gateway::RepeatHistory;
using gateway::RepeatRecord;
using membership::wire::HeartbeatT;
using membership::wire::RepeatReportT;
using membership::wire::RepeatSlicesT;
using telemetry::Log;
using telemetry::LogLevel;

// Repeats are reported this long after they are sent, several in one report.
constexpr Duration kReportDelay = std::chrono::milliseconds(50);

constexpr size_t kMaxRecords = 64;

std::unique_ptr<RepeatSlicesT> MakeSlices(const std::string& service,
                                          const RepeatHistory& history,
                                          TimePoint now) {
  auto slices = std::make_unique<RepeatSlicesT>();
  slices->service = service;
  slices->slice_microseconds = history.slice.count();
  slices->newest_age_microseconds = (now - history.newest).count();
  for (const gateway::RepeatSlice& slice : history.slices) {
    slices->requests.push_back(
        static_cast<uint16_t>(std::min<uint32_t>(slice.requests, UINT16_MAX)));
    slices->repeats.push_back(
        static_cast<uint16_t>(std::min<uint32_t>(slice.repeats, UINT16_MAX)));
  }
  return slices;
}

std::unique_ptr<RepeatReportT> MakeReport(const RepeatRecord& record,
                                          TimePoint now) {
  auto report = std::make_unique<RepeatReportT>();
  report->gateway = record.gateway;
  report->incarnation = record.incarnation;
  report->started_age_microseconds = (now - record.started_at).count();
  report->age_microseconds = (now - record.written_at).count();
  report->is_final = record.is_final;
  for (const auto& [service, history] : record.services) {
    report->services.push_back(MakeSlices(service, history, now));
  }
  return report;
}

RepeatRecord ParseReport(const RepeatReportT& report,
                         uint64_t own_incarnation,
                         TimePoint now) {
  RepeatRecord record{
      .gateway = report.gateway,
      .incarnation = report.incarnation,
      .started_at = now - Duration(report.started_age_microseconds),
      .written_at = now - Duration(report.age_microseconds),
      .hears_us = std::ranges::find(report.heard, own_incarnation) !=
                  report.heard.end(),
      .is_final = report.is_final};
  for (const auto& slices : report.services) {
    if (slices == nullptr || slices->slice_microseconds <= 0) {
      continue;
    }
    RepeatHistory& history = record.services[slices->service];
    history.slice = Duration(slices->slice_microseconds);
    history.newest = now - Duration(slices->newest_age_microseconds);
    const size_t count =
        std::min(slices->requests.size(), slices->repeats.size());
    for (size_t i = 0; i < count; ++i) {
      history.slices.push_back(
          {.requests = slices->requests[i], .repeats = slices->repeats[i]});
    }
  }
  return record;
}

}  // namespace

void Repeats::Start() {
  const TimePoint now = EventLoop::Now();
  const FleetSettings& fleet = this->state.fleet();
  this->HandleSettings();
  gateway::StartRepeats(this->budget, this->state.settings.name,
                        this->state.incarnation, fleet.is_first_start, now);
}

void Repeats::HandleSettings() {
  const FleetSettings& fleet = this->state.fleet();
  gateway::ChangeSettings(this->budget,
                          {.ratio = fleet.repeat_ratio,
                           .slack = fleet.repeat_slack,
                           .window = fleet.repeat_window},
                          EventLoop::Now());
}

std::set<std::string> Repeats::OtherGateways() const {
  std::set<std::string> others = membership::GatewaysHeardWithin(
      this->state.members, gateway::CountedFor(this->budget.settings),
      EventLoop::Now());
  others.insert(this->state.listed_gateways.begin(),
                this->state.listed_gateways.end());
  others.erase(this->state.settings.name);
  return others;
}

gateway::RepeatUse Repeats::FindUse(const std::string& service) const {
  return gateway::FindRepeatUse(this->budget, service, this->OtherGateways(),
                                EventLoop::Now());
}

void Repeats::RecordRequest(const std::string& service) {
  gateway::RecordRequest(this->budget, service, EventLoop::Now());
}

bool Repeats::Reserve(const std::string& request,
                      const std::string& service,
                      std::string_view cause) {
  const TimePoint now = EventLoop::Now();
  const gateway::RepeatUse use =
      gateway::ReserveRepeat(this->budget, service, this->OtherGateways(), now);
  const bool is_reserved = use.has_repeat;
  Log(is_reserved ? LogLevel::kInfo : LogLevel::kWarning, "forward",
      is_reserved ? "sent_once_more" : "no_budget",
      {{"request", request},
       {"service", service},
       {"cause", std::string(cause)},
       {"own_repeats", std::to_string(use.own_repeats)},
       {"repeats", std::to_string(use.repeats)},
       {"allowed", std::to_string(use.allowed)},
       {"requests", std::to_string(use.requests)},
       {"gateways", std::to_string(use.gateways)},
       {"sharing", std::to_string(use.sharing)},
       {"is_known", use.is_known ? "true" : "false"},
       {"running_ms", ToMillisecondsText(now - this->budget.own.started_at)}});
  telemetry::Count(is_reserved ? kRepeats : kRefusedRepeats,
                   {{"service", service}});
  return is_reserved;
}

void Repeats::RecordSent(const std::string& service) {
  gateway::RecordRepeatSent(this->budget, service, EventLoop::Now());
  this->ScheduleReport();
}

void Repeats::Release(const std::string& service) {
  gateway::ReleaseRepeat(this->budget, service);
}

bool Repeats::is_reporting() const {
  return !membership::is_large(this->state.members);
}

void Repeats::ScheduleReport() {
  if (std::exchange(this->is_report_scheduled, true)) {
    return;
  }
  this->state.loop.RunAfter(kReportDelay, [this] {
    this->is_report_scheduled = false;
    this->SendReport();
  });
}

void Repeats::SendReport() {
  HeartbeatT heartbeat;
  this->AddReport(heartbeat);
  if (!heartbeat.repeats.empty()) {
    this->send_to_all(membership::Encode(std::move(heartbeat)));
  }
}

void Repeats::SendFinalReport() {
  this->budget.own.is_final = true;
  this->SendReport();
}

void Repeats::AddReport(HeartbeatT& heartbeat) {
  const TimePoint now = EventLoop::Now();
  gateway::RemoveOldRepeats(this->budget, now);
  if (!this->is_reporting()) {
    return;
  }
  auto report = MakeReport(gateway::DescribeOwnRepeats(this->budget, now), now);
  report->is_own = true;
  for (const auto& [incarnation, record] : this->budget.others) {
    if (gateway::is_heard(record, now)) {
      report->heard.push_back(incarnation);
    }
  }
  heartbeat.repeats.push_back(std::move(report));
  heartbeat.repeats_known_microseconds =
      (now - this->budget.known_since).count();
}

void Repeats::SendAll(const std::string& ip) {
  const TimePoint now = EventLoop::Now();
  HeartbeatT heartbeat;
  this->AddReport(heartbeat);
  for (const auto& [incarnation, record] : this->budget.others) {
    if (heartbeat.repeats.size() < kMaxRecords) {
      heartbeat.repeats.push_back(MakeReport(record, now));
    }
  }
  // A part of the records would be taken for all of them.
  if (heartbeat.repeats.size() <= kMaxRecords) {
    heartbeat.are_all_repeats =
        heartbeat.repeats.size() == this->budget.others.size() + 1;
    this->send(ip, membership::Encode(std::move(heartbeat)));
  }
}

void Repeats::HandleHeartbeat(const std::string& from_ip,
                              const HeartbeatT& heartbeat) {
  const TimePoint now = EventLoop::Now();
  for (const auto& report : heartbeat.repeats) {
    if (report != nullptr) {
      gateway::MergeRepeats(this->budget,
                            ParseReport(*report, this->state.incarnation, now),
                            report->is_own, now);
    }
  }
  if (heartbeat.repeats_known_microseconds < 0 || !this->is_reporting()) {
    return;
  }
  const TimePoint known_since =
      now - Duration(heartbeat.repeats_known_microseconds);
  if (heartbeat.are_all_repeats &&
      !gateway::is_window_known(this->budget, now) &&
      gateway::LearnRepeatsSince(this->budget, known_since)) {
    Log(LogLevel::kInfo, "forward", "repeats_learned",
        {{"from_ip", from_ip},
         {"records", std::to_string(heartbeat.repeats.size())},
         {"known_ms", ToMillisecondsText(now - known_since)}});
  }
  const bool is_window_known_there =
      now - known_since >= gateway::CountedFor(this->budget.settings);
  if (!is_window_known_there && gateway::is_window_known(this->budget, now)) {
    this->SendAll(from_ip);
  }
}

void Repeats::UpdateGauges() const {
  for (const auto& [service, history] : this->budget.own.services) {
    const gateway::RepeatUse use = this->FindUse(service);
    for (const auto& [of, value] :
         {std::pair("own", static_cast<double>(use.own_repeats)),
          std::pair("all", static_cast<double>(use.repeats)),
          std::pair("allowed", use.allowed)}) {
      telemetry::SetGauge(kRepeatsInWindow, {{"service", service}, {"of", of}},
                          value);
    }
  }
}

nlohmann::json Repeats::Dump() const {
  const TimePoint now = EventLoop::Now();
  nlohmann::json dump;
  for (const auto& [service, history] : this->budget.own.services) {
    const gateway::RepeatUse use = this->FindUse(service);
    if (use.repeats > 0) {
      dump["services"][service] = {
          {"own_repeats", use.own_repeats}, {"repeats", use.repeats},
          {"allowed", use.allowed},         {"requests", use.requests},
          {"gateways", use.gateways},       {"sharing", use.sharing},
          {"is_known", use.is_known}};
    }
  }
  if (dump.is_null()) {
    return dump;
  }
  for (const auto& [incarnation, record] : this->budget.others) {
    dump["incarnations"][std::to_string(incarnation)] = {
        {"gateway", record.gateway},
        {"started_ms", (now - record.started_at).count() / 1000},
        {"written_ms", (now - record.written_at).count() / 1000},
        {"is_heard", gateway::is_heard(record, now)},
        {"hears_us", record.hears_us},
        {"is_final", record.is_final}};
  }
  return dump;
}

}  // namespace bramleyspan::gatewayd

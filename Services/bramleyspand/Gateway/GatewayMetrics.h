// All metrics that a gateway exports.
#pragma once

#include "LibTelemetry/Metrics.h"

namespace bramleyspan::gatewayd {

using telemetry::MetricName;

inline constexpr MetricName kRequests{
    "bramleyspan_requests_total",
    "Callers' requests that ended, by service and outcome."};
inline constexpr MetricName kRequestTime{
    "bramleyspan_request_seconds",
    "Time from a request's arrival to the end of its answer, by service."};
inline constexpr MetricName kFirstEventTime{
    "bramleyspan_first_event_seconds",
    "Time from a request's arrival to its stream's first event, by service."};
inline constexpr MetricName kPauseTime{
    "bramleyspan_pause_seconds",
    "Time between two events of a stream, by service."};
inline constexpr MetricName kRepeats{
    "bramleyspan_repeats_total",
    "Requests sent to a further target, by service."};
inline constexpr MetricName kRefusedRepeats{
    "bramleyspan_repeats_refused_total",
    "Requests not sent to a further target for lack of repeats, by service."};
inline constexpr MetricName kRepeatsInWindow{
    "bramleyspan_repeats_in_window",
    "Repeats in the window of their budget, by service: of=own are those of "
    "this gateway, of=all those that it knows of, of=allowed those that all "
    "gateways may send."};
inline constexpr MetricName kLimitedTargets{
    "bramleyspan_limited_targets",
    "Targets that name a rate limit in their answers, by service."};
inline constexpr MetricName kBackingOffTargets{
    "bramleyspan_backing_off_targets",
    "Targets that want no requests from this gateway for a time, by service."};
inline constexpr MetricName kLeavingTargets{
    "bramleyspan_leaving_targets",
    "Listed targets that say in their answers that they leave, by service."};
inline constexpr MetricName kSentToLimited{
    "bramleyspan_sent_to_limited_total",
    "Requests sent to targets that name a rate limit, by service."};
inline constexpr MetricName kHeldBack{
    "bramleyspan_held_back_total",
    "Requests that targets held back, by service: by=target if one was not "
    "sent to the target that was chosen, by=backoff if one came while a target "
    "backed off, by=part if one was rejected because of a quarantined part of "
    "its prompt, by=request if targets had ended under it before."};
inline constexpr MetricName kQuarantinedParts{
    "bramleyspan_quarantined_parts",
    "Parts of prompts that are kept from all targets, by service."};
inline constexpr MetricName kQuarantinedRequests{
    "bramleyspan_quarantined_requests",
    "Single requests that are kept from all targets, by service."};
inline constexpr MetricName kTargetEnds{
    "bramleyspan_target_ends_total",
    "Targets that ended while requests of this gateway were there, by "
    "service."};
inline constexpr MetricName kAnswersCut{
    "bramleyspan_answers_cut_total",
    "Answers of targets that were not read on since all that were being read "
    "took too much memory, by service."};
inline constexpr MetricName kCallersLeft{
    "bramleyspan_callers_left_total",
    "Callers that left before their answer ended, by service: at=gateway if "
    "their request was at no target, at=target, at=silent_target if that "
    "answered neither requests nor probes."};
inline constexpr MetricName kRefusedByStop{
    "bramleyspan_refused_by_stop_total",
    "Requests that a planned stop refused since they could not end before it, "
    "by service."};
inline constexpr MetricName kCutByStop{
    "bramleyspan_cut_by_stop_total",
    "Requests that the end of a planned stop cuts, by service: at=gateway if "
    "they were at no target, at=target, at=answer if their answer had begun."};
inline constexpr MetricName kMovedStreams{
    "bramleyspan_moved_streams_total",
    "Streams taken from a target that owed them events, by service."};
inline constexpr MetricName kSilentTargets{
    "bramleyspan_targets_silent_total",
    "Times that a target with streams answered neither them nor probes."};
inline constexpr MetricName kProbeTime{
    "bramleyspan_probe_seconds",
    "Time from asking agents for a place to the decision."};
inline constexpr MetricName kWaiting{"bramleyspan_waiting",
                                     "Requests that wait for a place."};
inline constexpr MetricName kLiveGateways{
    "bramleyspan_live_gateways", "Gateways at work, this one among them."};
inline constexpr MetricName kTableVersion{
    "bramleyspan_table_version", "Version of the desired state in force."};
inline constexpr MetricName kEvacuatedZones{
    "bramleyspan_evacuated_zones",
    "Availability zones whose targets get no further requests."};
inline constexpr MetricName kFeedAge{
    "bramleyspan_feed_age_seconds",
    "Time since the store last answered, by feed."};
inline constexpr MetricName kGroupLimit{
    "bramleyspan_streams_per_rank",
    "Streams that may run at once at each rank, by group."};
inline constexpr MetricName kStoreCalls{
    "bramleyspan_store_calls_total",
    "Calls of the platform's store that ended, by call and outcome."};
inline constexpr MetricName kStoreCallTime{
    "bramleyspan_store_call_seconds",
    "Time of a store call, by call; a watch waits for changes."};
inline constexpr MetricName kUsageWrites{
    "bramleyspan_usage_writes_total",
    "Writes of who caused which work, by outcome."};

}  // namespace bramleyspan::gatewayd

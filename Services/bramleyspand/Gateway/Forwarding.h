// One caller's request on its way: found a route, given a place, sent to a
// target, perhaps sent once more, answered.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "LibGateway/EventReader.h"
#include "LibHTTP/DirectCall.h"
#include "LibHTTP/Ingress.h"
#include "LibUsage/RequestMeter.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"
#include "Services/bramleyspand/Gateway/PermitRequests.h"

namespace bramleyspan::gatewayd {

// Takes a request from a caller.
void HandleCaller(GatewayState& state,
                  http::IngressRequest request,
                  const std::shared_ptr<http::IngressExchange>& exchange);

// Gives places to waiting requests and refuses those that waited long enough.
void ServeWaiting(GatewayState& state);

class Forwarding : public std::enable_shared_from_this<Forwarding> {
 public:
  Forwarding(GatewayState& state,
             http::IngressRequest request,
             std::shared_ptr<http::IngressExchange> exchange);
  ~Forwarding();
  Forwarding(const Forwarding&) = delete;
  Forwarding& operator=(const Forwarding&) = delete;

  void Start();

  // Tries to get a place and to send. False if there is none now; the agents
  // may have been asked for one.
  bool TrySend();

  // Whether agents have been asked and have not all answered.
  bool is_probing() const { return this->is_awaiting_offers; }

  // There was no place in time.
  void RefuseForLackOfPermit();

  // Before the others, if true.
  bool is_before(const Forwarding& other, TimePoint now) const;

  // Whether a stream can no longer be in time, wherever it runs.
  bool is_late(TimePoint now) const;

  TimePoint waits_until() const { return this->wait.ends; }
  const std::string& service_name() const { return this->service; }
  bool is_streaming() const {
    return this->route->kind == gateway::RouteKind::kStreaming;
  }

 private:
  // What an answer is worth once it is whole.
  enum class Verdict { kForward, kRejected, kInvalid };

  bool FindRouteAndTenant();
  bool is_allowed_by_key();
  void SendOrWait();
  bool has_engine() const;
  // Joins those that wait, in front of them or by priority.
  void Wait(bool is_in_front);
  bool TrySendByLocalView();
  void HandlePermitDecision(PermitRequests::Verdict verdict,
                            const PermitRequests::Permit& permit);
  void SettlePermit();
  void SendTo(const gateway::TargetView& target);
  http::HeaderList HeadersFor(const gateway::TargetView& target,
                              TimePoint now) const;
  void HandleHead(const http::AnswerHead& head);
  void HandleBytes(std::string_view bytes);
  void HandleEvent(const gateway::StreamEvent& event);
  void HandleEnd(http::CallEnd end);
  void HandleStreamEnd(http::CallEnd end);
  Verdict CheckAnswer() const;
  bool is_own_answer(const http::AnswerHead& head) const;
  void HandleRejected();
  void HandleFailed(http::CallEnd end);
  bool TryRepeat(std::string_view cause, bool has_reached_target);
  void ForwardAnswer();
  http::HeaderList AnswerHeaders() const;
  void Refuse(int status, std::string_view cause, bool has_retry_after);
  // Seconds after which the caller is told to come back.
  std::string RetryAfter() const;
  gateway::RefusalReason FindRefusalReason() const;
  // What is left of the caller's time, or of the route's if that is less.
  Duration TimeLeft() const;
  void Fail(int status, std::string_view cause);
  void AbortAnswer(std::string_view cause);
  void Finish(std::string_view outcome, int status);
  // Files what the request cost under who caused it.
  void CountUsage(std::string_view outcome) const;
  // Tokens of one of the target's events.
  uint64_t TokensPerEvent() const;
  void ReleaseTarget(gateway::Outcome outcome);
  void HandleCallerGone();
  void HandleDeadline();
  void HandleAttemptTimeout();
  void ArmAttemptTimer(Duration after);
  void StopTimers();

  GatewayState& state;
  uint64_t number = 0;
  http::IngressRequest request;
  std::shared_ptr<http::IngressExchange> exchange;
  std::shared_ptr<const gateway::RouteTable> table;
  std::shared_ptr<const gateway::Route> route;
  std::string service;
  std::string id;
  std::string tenant;
  int priority = 0;
  TimePoint arrived;
  TimePoint deadline;
  gateway::Wait wait;
  // Whether the caller has waited before, so that it will not come once more.
  bool is_retry = false;
  bool is_awaiting_offers = false;
  std::optional<PermitRequests::Permit> permit;
  TimerId deadline_timer = 0;
  TimerId attempt_timer = 0;

  std::shared_ptr<http::DirectCall> call;
  std::string target_id;
  std::string group;
  std::set<std::string> tried;
  // Targets that the request was sent to, and connections that failed.
  int sent = 0;
  int failed_connections = 0;
  // Whether some target may have run it.
  bool may_have_run = false;

  std::optional<http::AnswerHead> answer;
  std::string answer_body;
  bool is_forwarding_events = false;
  bool has_started_answer = false;
  std::optional<uint64_t> last_event;
  TimePoint last_event_at;
  // What makes a stream late, for the log.
  Duration first_event_after{};
  Duration longest_pause{};
  gateway::EventReader events;
  usage::RequestMeter meter;
  bool is_finished = false;
};

}  // namespace bramleyspan::gatewayd

// One request of a caller: finds its route, obtains a permit, sends it to a
// target, repeats it if necessary, and answers it.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibGateway/CallerAnswer.h"
#include "LibGateway/Liveness.h"
#include "LibGateway/Quarantine.h"
#include "LibHTTP/DirectCall.h"
#include "LibHTTP/Ingress.h"
#include "LibHTTP/Witness.h"
#include "LibUsage/RequestMeter.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"
#include "Services/bramleyspand/Gateway/LostRequest.h"
#include "Services/bramleyspand/Gateway/PermitRequests.h"
#include "Services/bramleyspand/Gateway/TargetEnds.h"

namespace bramleyspan::gatewayd {

// Handles a caller's request.
void HandleCaller(GatewayState& state,
                  http::IngressRequest request,
                  const std::shared_ptr<http::IngressExchange>& exchange);

// Ends the requests that are quarantined from now on, by a part or their
// digest, unless their targets have begun to answer: such an answer may clear
// it.
void EndRequestsWithPart(GatewayState& state, const gateway::PartKey& key);

// Returns how many streams of the service wait, by class.
std::vector<scheduling::ClassCount> CountWaiting(const GatewayState& state,
                                                 const std::string& service);

// Tries to send the waiting requests and refuses those that waited too long.
void ServeWaiting(GatewayState& state);

// Why no target answers a request, and what its caller is told if it has got
// nothing yet.
struct Unserved {
  std::string cause;
  // Whether the caller is told that its request may have run, and how.
  bool may_have_run = false;
  int status_if_run = 502;
  // What a refusal says; without headers, when the caller may come back.
  http::HeaderList refusal_headers;
  std::string refusal_text;
};

class Forwarding : public std::enable_shared_from_this<Forwarding> {
 public:
  Forwarding(GatewayState& state,
             http::IngressRequest request,
             std::shared_ptr<http::IngressExchange> exchange);
  ~Forwarding();
  Forwarding(const Forwarding&) = delete;
  Forwarding& operator=(const Forwarding&) = delete;

  void Start();

  // Tries to obtain a permit and to send the request, or ends it if a part of
  // its prompt is quarantined. Returns false if neither happened; agents may
  // have been probed for a permit.
  bool TrySend();

  // Whether a probe of agents or a question to a target's allocator is under
  // way.
  bool is_probing() const {
    return this->is_awaiting_offers || this->is_awaiting_rate;
  }

  // Refuses the request because no permit was obtained in time, or for another
  // cause why it can be sent to no target.
  void RefuseForLackOfPermit(std::string_view cause);

  // Ends the wait for a permit: refuses the request, or sends it to the target
  // with the lowest load if it is a stream that has begun.
  void EndWait();

  // Refuses the request if all targets of its service are in evacuated zones.
  // Returns whether it was refused.
  bool RefuseIfEvacuated();

  // Refuses the request if the process stops and can't finish it in time.
  // Returns whether it was refused.
  bool RefuseIfStopping();

  // Records how its target's group passes, if the request is a stream that was
  // sent.
  void RecordPartialRun() const;

  // Refuses the request if all targets hold it back for longer than it may
  // wait. Returns whether it was refused.
  bool RefuseIfHeldBack();

  // Refuses the request if no permit is expected for it in the time that it can
  // wait. Returns whether it was refused.
  bool RefuseIfUnservable();

  // The class of a stream by which permits are granted.
  scheduling::StreamClass class_at(TimePoint now) const;

  // Whether this request is served before `other`.
  bool is_before(const Forwarding& other, TimePoint now) const;

  // Whether a stream can no longer be in time, on any target.
  bool is_late(TimePoint now) const;

  // Ends the request if it has the part and its target has not begun to answer.
  void HandleQuarantine(const gateway::PartKey& key);

  // What the target owes the caller, if the request is a stream that was sent
  // and may be moved.
  std::optional<gateway::OwedStream> FindOwed() const;

  // Moves the stream to another target, or ends it, because its target owes
  // events and sends none.
  void MoveFromSilentTarget();

  // Ends the request since the process is about to be killed: as not run if it
  // is at no target, by a failure, or by a cut if its answer has begun.
  void EndByStop();

  // The id of the present target; empty if there is none.
  const std::string& target() const { return this->target_id; }

  TimePoint waits_until() const { return this->wait.ends; }
  const std::string& service_name() const { return this->service; }
  bool is_streaming() const {
    return this->route->kind == gateway::RouteKind::kStreaming;
  }

 private:
  // kSent includes a request that was ended instead, since a part is
  // quarantined or the process stops.
  enum class SendVerdict { kSent, kHeldBack, kPending };

  bool FindRouteAndTenant();
  bool is_allowed_by_key();
  void SendOrWait();
  bool has_engine() const;
  // The service, if it is one whose streams differ in priority.
  const gateway::Service* FindServiceWithPriorities() const;
  // Adds the request to the waiting ones, in front of them or by priority.
  void Wait(bool is_in_front);
  bool TrySendByLocalView();
  // Sends to the target with the lowest load, which rejects what it can't take.
  bool TrySendWithoutPermit();
  void HandlePermitDecision(PermitRequests::Verdict verdict,
                            const PermitRequests::Permit& permit);
  // The zone whose ranks are probed first, since traffic between zones is
  // charged; empty if there is none.
  std::string_view PreferredZone() const;
  // Agents have no permit for the stream now.
  void RecordDenial(TimePoint now);
  void SettlePermit();
  // Sends the request to the target of its permit.
  void SendWithPermit();
  const gateway::TargetView* ChooseByLocalView(
      const std::set<std::string>& excluded);
  // Sends the request unless the target holds it back. Every request to a
  // target passes here, also repeats and resumed streams. If the verdict is
  // kPending, HandleRateReply is called later.
  SendVerdict SendIfAdmitted(const gateway::TargetView& target);
  void HandleRateReply();
  // Returns when the request can be sent, if all targets but the excluded ones
  // hold it back.
  std::optional<TimePoint> HeldBackUntil(
      const std::set<std::string>& excluded) const;
  void SendTo(const gateway::TargetView& target);
  http::HeaderList HeadersFor(const gateway::TargetView& target,
                              TimePoint now) const;
  void HandleHead(const http::AnswerHead& head,
                  const http::MessageFraming& framing);
  // Records what the head of the target's own answer asks of its callers.
  void RecordSignals(const http::AnswerHead& head);
  void HandleBytes(std::string_view bytes);
  // Counts what the present answer takes. Returns whether there is room.
  bool CountAnswer(size_t bytes);
  // Takes the room of an answer whose length is known before it is read, or
  // reads nothing of it until there is room.
  void AwaitRoom(size_t bytes);
  // Ends the attempt because its answer takes too much memory.
  void CutAnswer();
  // Drops an answer that is passed on to nobody, and ends it if it goes on and
  // on.
  void DropBytes(std::string_view bytes);
  // Frees what the present answer takes.
  void DropAnswer();
  void HandleEvents(std::string_view bytes);
  // Returns whether the event can follow what the caller has got.
  bool HandleEvent(const gateway::StreamEvent& event);
  void RecordFirstEvent(TimePoint now);
  void RecordPause(TimePoint now);
  void HandleEnd(http::CallEnd end);
  // Handles the end of an answer that is either whole or known not to be.
  void HandleKnownEnd(http::CallEnd end);
  gateway::AnswerTerms terms() const;
  void FinishStream();
  void HandleRejected();
  void HandleFailed(http::CallEnd end);
  // Repeats the request or ends it, after its target was checked.
  void RepeatOrEnd(http::CallEnd end);
  // Lets the target be checked if the request was lost there, which shows
  // whether the target has ended. Returns whether RepeatOrEnd is called after
  // that.
  bool CheckTarget(http::CallEnd end);
  // Whether the caller would get what has come as a whole answer, though only
  // the end of its connection says that it is one.
  bool is_doubtful(http::CallEnd end) const;
  // Lets the target be checked after an answer that ended with its connection,
  // as it does when the target ends. HandleKnownEnd is called after that.
  void CheckUnframedAnswer();
  // The same without a witness. It shows less: a process that has begun anew
  // accepts connections too.
  void CheckByConnection();
  void OpenWitness();
  // Records whether the answer has a length; opens a witness if it has none.
  void RecordFraming();
  LostRequest DescribeLost() const;
  // Records that the target writes an answer: once it has gone on for a while
  // it speaks for the parts, once it is whole for the request.
  void RecordAnswerProgress(bool is_whole);
  bool is_answered_by_target(TimePoint now) const;
  // Sends the request to a further target. Returns false if the remaining time,
  // the route or the repeat budget does not allow that.
  bool TryRepeat(std::string_view cause, bool has_reached_target);
  // Passes the target's whole answer on, unless it is a failure that another
  // target may not have, or would begin a second answer.
  void UseWholeAnswer(gateway::EndUse use);
  // Ends the request because no target answers it. Every such request passes
  // here, so that what its caller has got decides how.
  void EndUnserved(const Unserved& unserved);
  void Refuse(int status, std::string_view cause, bool has_retry_after);
  void RespondRefusal(int status,
                      std::string_view cause,
                      const http::HeaderList& headers,
                      std::string_view text);
  // Ends the request if it, or a part of its prompt, is quarantined. Every
  // request passes here before it is sent to a target. Returns whether it was
  // ended.
  bool EndIfQuarantined();
  // Returns after what time a permit is free for a stream, if that is known.
  std::optional<Duration> TimeUntilPermit() const;
  // Returns the value of the Retry-After header, in seconds.
  std::string RetryAfter() const;
  static std::string FormatRetryAfter(Duration delay);
  gateway::RefusalReason FindRefusalReason() const;
  // Returns the smaller of the time that the caller and the route still allow.
  Duration TimeLeft() const;
  void Fail(int status, std::string_view cause);
  void AbortAnswer(std::string_view cause);
  void Finish(std::string_view outcome, int status);
  // Counts the usage of the request under its tenant, route and service.
  void CountUsage(std::string_view outcome) const;
  // Logs a stream whose first event or longest pause was late.
  void LogIfLate() const;
  // Returns the number of tokens in one event of the target.
  uint64_t TokensPerEvent() const;
  // Ends the attempt at the present target and records its outcome.
  void ReleaseTarget(gateway::Outcome outcome);
  void HandleCallerGone();
  void LogCutByStop() const;
  // Whether the request, sent now, would end before a stop of the process.
  bool can_end_before_stop() const;
  // When a caller may come back that a stop turns away.
  std::string RetryAfterByStop() const;
  // Returns how many events the answer has at most; 0 if that is unknown.
  size_t ExpectedEvents() const;
  // How long answers like this one take lately.
  gateway::AnswerTimes& answer_times() const;
  gateway::AnswerRun FindRun() const;
  // Records the course of the answer, which has ended as a whole.
  void RecordWholeRun() const;
  // Logs and counts that the caller left, and at which target its work was.
  void LogCallerLeft() const;
  void HandleDeadline();
  void HandleAttemptTimeout();
  void ArmAttemptTimer(Duration after);
  void StopTimers();

  GatewayState& state;
  uint64_t number = 0;
  http::IngressRequest request;
  // The body of the request, which its attempts share.
  std::shared_ptr<const std::string> body;
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
  // Whether the caller retries already, and will not retry again.
  bool is_retry = false;
  bool is_awaiting_offers = false;
  // Whether agents had no permit for the request before.
  bool was_denied = false;
  bool is_awaiting_rate = false;
  std::optional<PermitRequests::Permit> permit;
  TimerId deadline_timer = 0;
  TimerId attempt_timer = 0;

  std::shared_ptr<http::DirectCall> call;
  // Tells whether the target outlived an answer without a length.
  std::shared_ptr<http::Witness> witness;
  std::string target_id;
  Address target_address;
  // The target that it was sent to last, also after that attempt has ended.
  std::string last_target;
  std::string group;
  // When the request was sent first.
  std::optional<TimePoint> first_sent_at;
  // When the request was sent to its last target, and when that began to
  // answer.
  TimePoint sent_at;
  std::optional<TimePoint> answer_began;
  bool is_answer_recorded = false;
  // Whether the request was let through to try a quarantined part.
  bool is_trial = false;
  // Time that the request waited for the permit of its last target.
  Duration waited{};
  // Whether a repeat is reserved that was not sent yet, and since when.
  bool has_reserved_repeat = false;
  TimePoint repeat_reserved_at;
  std::set<std::string> tried;
  // Targets that the request was sent to, and connections that failed.
  int sent = 0;
  int failed_connections = 0;
  // Whether a target may have run the request.
  bool may_have_run = false;

  // What the present target has answered, and what the caller has got.
  gateway::TargetAnswer answer;
  memory::Hold answer_hold;
  gateway::CallerAnswer caller;
  TimePoint last_event_at;
  // Events that were passed on.
  size_t events = 0;
  // Time to the first event and longest pause between two, for the log.
  Duration first_event_after{};
  Duration longest_pause{};
  TimePoint longest_pause_ended;
  RequestMarks marks;
  usage::RequestMeter meter;
  bool is_finished = false;
};

}  // namespace bramleyspan::gatewayd

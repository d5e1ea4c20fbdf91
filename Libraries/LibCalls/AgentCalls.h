// The calls that an agent forwards to the back end on its VM, from the entry's
// frame to the end of the answer. Pure: each function handles an event and
// returns the effects that the agent must perform, in order.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "LibCalls/Ending.h"
#include "LibClaims/Claims.h"

namespace bramleyspan::calls {

// Identifies who receives an answer: the connection, by a number that the agent
// never reuses, and the call's id on it. Calls on different connections may
// have equal ids, so both numbers are needed.
struct Recipient {
  uint64_t connection = 0;
  uint64_t call = 0;

  auto operator<=>(const Recipient&) const = default;
};

// A call as received from an entry.
struct CallRequest {
  Recipient from;
  // The claim key; empty if the call may be repeated.
  std::string claim;
  std::string owner;
  std::string entry;
  std::string fingerprint;
  // The catalogue entry is declared at-most-once.
  bool needs_claim = false;
  // A model answers the call. Its event streams end with "data: [DONE]".
  bool is_chat = false;
  // Time until the deadline for the first byte of the answer.
  Duration remaining{};
};

// The status and headers of a back end's answer that matter here.
struct BackEndHead {
  uint16_t status = 0;
  std::string content_type;
  // The end of the answer is defined by a length or by chunks.
  bool is_framed = true;
};

// How the exchange with the back end ended.
enum class BackEndOutcome {
  // The answer is complete according to HTTP.
  kComplete,
  // No byte of the request was sent.
  kNeverSent,
  // The connection failed or the back end did not respond in time.
  kBroken,
};

// Effects: start or cancel the exchange with the back end, and send a part of
// the answer to a recipient.
struct StartForward {
  uint64_t forward = 0;
};
struct CancelForward {
  uint64_t forward = 0;
};
struct SendHead {
  Recipient to;
  uint16_t status = 0;
  std::string content_type;
};
struct SendBytes {
  Recipient to;
  std::string bytes;
};
struct SendEnd {
  Recipient to;
  Ending ending;
};
using Effect =
    std::variant<StartForward, CancelForward, SendHead, SendBytes, SendEnd>;
using Effects = std::vector<Effect>;

// The sender of a duplicate of a running call. It receives the stored answer
// when the call ends, or an error at `until`.
struct Waiter {
  Recipient to;
  TimePoint until;
};

// A call that was accepted for the back end. `started` is when it was accepted.
struct ForwardedCall {
  std::string claim;
  // The caller that the answer is streamed to; empty after it has disconnected
  // or its deadline has passed.
  std::optional<Recipient> recipient;
  std::vector<Waiter> waiters;
  TimePoint first_byte_by;
  TimePoint started;
  TimePoint last_received;
  bool is_chat = false;
  bool has_head = false;
  bool is_framed = true;
  claims::StoredAnswer answer;
  // The last bytes of the answer, to detect the end of an event stream.
  std::string tail;
};

struct AgentCallSettings {
  // Delay before a refused caller should retry.
  Duration retry_after = std::chrono::seconds(1);
  // A started answer without new bytes for this long is ended as truncated.
  Duration max_answer_gap = std::chrono::seconds(60);
  // An at-most-once call whose answer has not started after this time is ended
  // with an unknown outcome.
  Duration max_run_time = std::chrono::minutes(30);
};

struct AgentCalls {
  AgentCallSettings settings;
  claims::ClaimRegistry claims;
  std::map<uint64_t, ForwardedCall> forwarded;
  // The running call for each claim key.
  std::map<std::string, uint64_t> forward_of_claim;
  uint64_t last_forward = 0;
  bool is_leaving = false;
};

// Handles a call from an entry: forwards it to the back end (StartForward),
// adds it as a waiter of a running duplicate, or ends it.
Effects ReceiveCall(AgentCalls& calls,
                    const CallRequest& request,
                    TimePoint now);

// Handles the head of the back end's answer.
Effects ReceiveHead(AgentCalls& calls,
                    uint64_t forward,
                    const BackEndHead& head,
                    TimePoint now);

// Handles a part of the body of the back end's answer.
Effects ReceiveBytes(AgentCalls& calls,
                     uint64_t forward,
                     std::string_view bytes,
                     TimePoint now);

// Handles the end of the exchange with the back end. For kNeverSent,
// invalidates the claim key and reports kNotRun to the recipient and all
// waiters.
Effects ReceiveEnd(AgentCalls& calls,
                   uint64_t forward,
                   BackEndOutcome outcome,
                   const std::string& detail);

// Ends a call that admission rejected before it was sent to the back end.
// Invalidates its claim key and reports kNotRun to the recipient and all
// waiters.
Effects RefuseForward(AgentCalls& calls,
                      uint64_t forward,
                      ErrorCode error,
                      const std::string& detail,
                      Duration retry_after);

// Handles the disconnection of a caller.
Effects CancelCall(AgentCalls& calls, const Recipient& recipient);

// Handles the closing of the connection to an entry, and so of all its callers.
Effects HandleConnectionClosed(AgentCalls& calls, uint64_t connection);

// Ends calls and waiters whose deadline has passed.
Effects CheckDeadlines(AgentCalls& calls, TimePoint now);

// Ends all running calls. Called when the time allowed for a planned stop is
// over.
Effects AbortAll(AgentCalls& calls);

}  // namespace bramleyspan::calls

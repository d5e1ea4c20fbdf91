// The calls that an agent has forwarded to the back end on its VM, from the
// entry's frame to the end of the answer. Pure: every function takes an event
// and returns what the agent has to do, in that order.
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

// Who waits for an answer: a connection, by a number that the agent never uses
// twice, and the call's id on it. Ids of two connections may be equal, so that
// neither alone finds the right caller.
struct Recipient {
  uint64_t connection = 0;
  uint64_t call = 0;

  auto operator<=>(const Recipient&) const = default;
};

// A call as an entry hands it over.
struct CallRequest {
  Recipient from;
  // Empty if the call may be repeated.
  std::string claim;
  std::string owner;
  std::string entry;
  std::string fingerprint;
  // The entry's declaration says at-most-once.
  bool needs_claim = false;
  // A model answers: its event streams end with an event that says so.
  bool is_chat = false;
  // How long the first byte of the answer may take.
  Duration remaining{};
};

// The head of a back end's answer.
struct BackEndHead {
  uint16_t status = 0;
  std::string content_type;
  // The answer says where it ends: by a length or by chunks.
  bool is_framed = true;
};

// How the exchange with the back end ended.
enum class BackEndOutcome {
  // By the rules of HTTP the answer is complete.
  kComplete,
  // No byte of the request was sent.
  kNeverSent,
  // The connection broke or was silent for too long.
  kBroken,
};

// Effects.
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

// A duplicate of a running call. It gets the stored answer at the end.
struct Waiter {
  Recipient to;
  TimePoint until;
};

// A call that was handed to the back end.
struct ForwardedCall {
  std::string claim;
  // The caller that the answer is streamed to; none once it has left.
  std::optional<Recipient> recipient;
  std::vector<Waiter> waiters;
  TimePoint first_byte_by;
  TimePoint started;
  TimePoint last_received;
  bool is_chat = false;
  bool has_head = false;
  bool is_framed = true;
  claims::StoredAnswer answer;
  // The last bytes of the answer, to recognise the end of an event stream.
  std::string tail;
};

struct AgentCallSettings {
  // When a refused caller should come back.
  Duration retry_after = std::chrono::seconds(1);
  // A started answer that brings nothing for so long is given up.
  Duration max_answer_gap = std::chrono::seconds(60);
  // An at-most-once call without an answer is given up after this.
  Duration max_run_time = std::chrono::minutes(30);
};

struct AgentCalls {
  AgentCallSettings settings;
  claims::ClaimRegistry claims;
  std::map<uint64_t, ForwardedCall> forwarded;
  // The running call of each claim key.
  std::map<std::string, uint64_t> forward_of_claim;
  uint64_t last_forward = 0;
  bool is_leaving = false;
};

// Decides about a call that arrived. StartForward hands it to the back end.
Effects ReceiveCall(AgentCalls& calls,
                    const CallRequest& request,
                    TimePoint now);

// The head of the back end's answer came.
Effects ReceiveHead(AgentCalls& calls,
                    uint64_t forward,
                    const BackEndHead& head,
                    TimePoint now);

// A part of the back end's answer came.
Effects ReceiveBytes(AgentCalls& calls,
                     uint64_t forward,
                     std::string_view bytes,
                     TimePoint now);

// The exchange with the back end ended. For kNeverSent the claim key is burnt
// and everybody who waits is told "not run".
Effects ReceiveEnd(AgentCalls& calls,
                   uint64_t forward,
                   BackEndOutcome outcome,
                   const std::string& detail);

// Admission gave up a call that was not handed to the back end yet. Its claim
// key is burnt and everybody who waits is told "not run".
Effects RefuseForward(AgentCalls& calls,
                      uint64_t forward,
                      ErrorCode error,
                      const std::string& detail,
                      Duration retry_after);

// A caller has left.
Effects CancelCall(AgentCalls& calls, const Recipient& recipient);

// The connection to an entry is gone with all its callers.
Effects HandleConnectionClosed(AgentCalls& calls, uint64_t connection);

// Ends what has waited too long.
Effects CheckDeadlines(AgentCalls& calls, TimePoint now);

// The bound of a planned stop has come: ends all that is still running.
Effects AbortAll(AgentCalls& calls);

}  // namespace bramleyspan::calls

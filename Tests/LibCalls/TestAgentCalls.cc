#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "LibCalls/AgentCalls.h"
#include "Tests/Property.h"

namespace bramleyspan::calls {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

AgentCalls MakeAgent() {
  AgentCalls calls;
  calls.claims.agent = "t5";
  calls.claims.incarnation = 1;
  calls.claims.secret = "secret of the test";
  return calls;
}

CallRequest Claimed(const AgentCalls& calls,
                    Recipient from,
                    const std::string& nonce = "01") {
  return {.from = from,
          .claim = claims::IssueClaim(calls.claims, "huber", "issue", nonce,
                                      calls.claims.started),
          .owner = "huber",
          .entry = "issue",
          .fingerprint = nonce,
          .needs_claim = true,
          .remaining = seconds(2)};
}

CallRequest Chat(Recipient from) {
  return {.from = from, .is_chat = true, .remaining = seconds(2)};
}

const SendEnd* FindEnd(const Effects& effects, Recipient to) {
  for (const Effect& effect : effects) {
    const auto* end = std::get_if<SendEnd>(&effect);
    if (end != nullptr && end->to == to) {
      return end;
    }
  }
  return nullptr;
}

Verdict VerdictOf(const Effects& effects, Recipient to) {
  const SendEnd* end = FindEnd(effects, to);
  REQUIRE(end != nullptr);
  return end->ending.verdict;
}

std::string BytesFor(const Effects& effects, Recipient to) {
  std::string bytes;
  for (const Effect& effect : effects) {
    const auto* sent = std::get_if<SendBytes>(&effect);
    if (sent != nullptr && sent->to == to) {
      bytes += sent->bytes;
    }
  }
  return bytes;
}

size_t ForwardsIn(const Effects& effects) {
  size_t count = 0;
  for (const Effect& effect : effects) {
    count += std::holds_alternative<StartForward>(effect) ? 1 : 0;
  }
  return count;
}

constexpr Recipient kFirst{1, 7};
constexpr Recipient kSecond{2, 7};
constexpr TimePoint kStart{};

}  // namespace

// A caller loses its connection and retries through another entry while the
// call is running. The retry must receive the answer of the first attempt.
TEST_CASE("a duplicate of a running call receives its answer") {
  AgentCalls calls = MakeAgent();
  REQUIRE(ForwardsIn(ReceiveCall(calls, Claimed(calls, kFirst), kStart)) == 1);
  CHECK(ReceiveCall(calls, Claimed(calls, kSecond), kStart).empty());
  CHECK(HandleConnectionClosed(calls, kFirst.connection).empty());
  ReceiveHead(calls, 1, {.status = 200}, kStart);
  ReceiveBytes(calls, 1, "invoice", kStart);
  const Effects effects = ReceiveEnd(calls, 1, BackEndOutcome::kComplete, "");
  CHECK(VerdictOf(effects, kSecond) == Verdict::kWhole);
  CHECK(BytesFor(effects, kSecond) == "invoice");
  CHECK(FindEnd(effects, kFirst) == nullptr);
}

// The back end is down, and the caller receives kNotRun and does the work by
// other means. A delayed duplicate of the call must not run afterwards.
TEST_CASE("kNotRun is reported only after the key is invalidated") {
  AgentCalls calls = MakeAgent();
  ReceiveCall(calls, Claimed(calls, kFirst), kStart);
  const Effects effects = ReceiveEnd(calls, 1, BackEndOutcome::kNeverSent, "");
  CHECK(VerdictOf(effects, kFirst) == Verdict::kNotRun);
  const Effects late = ReceiveCall(calls, Claimed(calls, kSecond), kStart);
  CHECK(ForwardsIn(late) == 0);
  CHECK(VerdictOf(late, kSecond) == Verdict::kNotRun);
}

// A leaving agent receives calls with the same key from two entries. Once
// refused, the key stays refused.
TEST_CASE("a key that a leaving agent refused never runs") {
  AgentCalls calls = MakeAgent();
  calls.is_leaving = true;
  const Effects refused = ReceiveCall(calls, Claimed(calls, kFirst), kStart);
  CHECK(VerdictOf(refused, kFirst) == Verdict::kNotRun);
  CHECK(FindEnd(refused, kFirst)->ending.retry_after > Duration(0));
  calls.is_leaving = false;
  CHECK(ForwardsIn(ReceiveCall(calls, Claimed(calls, kSecond), kStart)) == 0);
}

// The back end's VM freezes. Without a deadline, the caller and the back end's
// slot would be held long after the caller's own client has disconnected.
TEST_CASE("an unresponsive back end holds no call beyond its deadline") {
  AgentCalls calls = MakeAgent();
  ReceiveCall(calls, Chat(kFirst), kStart);
  CHECK(CheckDeadlines(calls, kStart + milliseconds(1999)).empty());
  const Effects effects = CheckDeadlines(calls, kStart + seconds(2));
  CHECK(VerdictOf(effects, kFirst) == Verdict::kUnknown);
  CHECK(std::holds_alternative<CancelForward>(effects.back()));
  CHECK(calls.forwarded.empty());
}

// A slow at-most-once call: at its deadline the caller receives kUnknown and is
// asked to retry. The retry must find the answer, so the call is not cancelled.
TEST_CASE("an at-most-once call continues after its callers' deadlines") {
  AgentCalls calls = MakeAgent();
  ReceiveCall(calls, Claimed(calls, kFirst), kStart);
  ReceiveCall(calls, Claimed(calls, kSecond), kStart + seconds(1));
  CHECK(VerdictOf(CheckDeadlines(calls, kStart + seconds(2)), kFirst) ==
        Verdict::kUnknown);
  CHECK(VerdictOf(CheckDeadlines(calls, kStart + seconds(3)), kSecond) ==
        Verdict::kUnknown);
  ReceiveHead(calls, 1, {.status = 200}, kStart + seconds(4));
  ReceiveEnd(calls, 1, BackEndOutcome::kComplete, "");
  const Effects again = ReceiveCall(calls, Claimed(calls, kFirst), kStart);
  CHECK(VerdictOf(again, kFirst) == Verdict::kWhole);
}

// A model server dies between two events of a stream, and the operating system
// closes the connection normally, so HTTP considers the answer complete.
TEST_CASE("an answer whose end is not proven is truncated") {
  AgentCalls calls = MakeAgent();
  ReceiveCall(calls, Chat(kFirst), kStart);
  ReceiveHead(calls, 1, {200, "text/event-stream", true}, kStart);
  ReceiveBytes(calls, 1, "data: {}\n\n", kStart);
  CHECK(VerdictOf(ReceiveEnd(calls, 1, BackEndOutcome::kComplete, ""),
                  kFirst) == Verdict::kTruncated);
  ReceiveCall(calls, Chat(kFirst), kStart);
  ReceiveHead(calls, 2, {200, "text/event-stream", true}, kStart);
  ReceiveBytes(calls, 2, "data: [DO", kStart);
  ReceiveBytes(calls, 2, "NE]\n\n", kStart);
  CHECK(VerdictOf(ReceiveEnd(calls, 2, BackEndOutcome::kComplete, ""),
                  kFirst) == Verdict::kWhole);
  ReceiveCall(calls, Chat(kFirst), kStart);
  ReceiveHead(calls, 3, {200, "application/json", /*is_framed=*/false}, kStart);
  CHECK(VerdictOf(ReceiveEnd(calls, 3, BackEndOutcome::kComplete, ""),
                  kFirst) == Verdict::kTruncated);
}

// Two entries use the same call id, and one of them cancels its call.
TEST_CASE("a call is identified by connection and id") {
  AgentCalls calls = MakeAgent();
  ReceiveCall(calls, Chat(kFirst), kStart);
  ReceiveCall(calls, Chat(kSecond), kStart);
  CancelCall(calls, kFirst);
  ReceiveHead(calls, 1, {.status = 200}, kStart);
  CHECK(ReceiveBytes(calls, 1, "late", kStart).empty());
  ReceiveHead(calls, 2, {.status = 200}, kStart);
  CHECK(BytesFor(ReceiveBytes(calls, 2, "b", kStart), kSecond) == "b");
}

namespace {

// The endings that callers received and the runs of the back end, for any order
// of events.
struct History {
  std::map<uint64_t, std::string> nonce_of_forward;
  std::map<std::string, int> runs;
  std::set<std::string> not_run;
  std::map<Recipient, std::string> nonce_of_recipient;
};

void Observe(History& history,
             const Effects& effects,
             const std::string& nonce) {
  for (const Effect& effect : effects) {
    if (const auto* start = std::get_if<StartForward>(&effect)) {
      history.nonce_of_forward[start->forward] = nonce;
      RC_ASSERT(!history.not_run.contains(nonce));
    } else if (const auto* bytes = std::get_if<SendBytes>(&effect)) {
      RC_ASSERT(bytes->bytes == history.nonce_of_recipient.at(bytes->to));
    } else if (const auto* end = std::get_if<SendEnd>(&effect)) {
      const std::string& requested_nonce =
          history.nonce_of_recipient.at(end->to);
      if (end->ending.verdict == Verdict::kNotRun) {
        RC_ASSERT(history.runs[requested_nonce] == 0);
        history.not_run.insert(requested_nonce);
      }
    }
  }
}

// Performs one generated step: `event` selects the event, `choice` the key.
void Step(AgentCalls& calls,
          History& history,
          uint8_t event,
          uint8_t choice,
          uint64_t serial,
          TimePoint& now) {
  const std::string nonce = std::to_string(choice % 3);
  const uint64_t forward =
      calls.last_forward == 0 ? 0 : 1 + choice % calls.last_forward;
  const std::string running = history.nonce_of_forward[forward];
  const bool is_open = calls.forwarded.contains(forward);
  switch (event % 9) {
    case 0:
    case 1: {
      const Recipient from{choice % 2U, serial};
      history.nonce_of_recipient[from] = nonce;
      Observe(history, ReceiveCall(calls, Claimed(calls, from, nonce), now),
              nonce);
      break;
    }
    case 2:
      if (is_open && !calls.forwarded.at(forward).has_head) {
        RC_ASSERT(++history.runs[running] == 1);
        RC_ASSERT(!history.not_run.contains(running));
        Observe(history, ReceiveHead(calls, forward, {.status = 200}, now), "");
        Observe(history, ReceiveBytes(calls, forward, running, now), "");
      }
      break;
    case 3:
      if (is_open && calls.forwarded.at(forward).has_head) {
        Observe(history,
                ReceiveEnd(calls, forward, BackEndOutcome::kComplete, ""), "");
      }
      break;
    case 4:
      if (is_open && !calls.forwarded.at(forward).has_head) {
        Observe(history,
                ReceiveEnd(calls, forward, BackEndOutcome::kNeverSent, ""), "");
      }
      break;
    case 5:
      Observe(history, ReceiveEnd(calls, forward, BackEndOutcome::kBroken, ""),
              "");
      break;
    case 6:
      Observe(history, HandleConnectionClosed(calls, choice % 2), "");
      break;
    case 7:
      now += seconds(choice);
      Observe(history, CheckDeadlines(calls, now), "");
      claims::RemoveExpiredEpochs(calls.claims, now);
      break;
    default:
      calls.is_leaving = choice % 4 == 0;
      break;
  }
}

}  // namespace

// No key runs twice, no key runs after or before kNotRun, and each caller
// receives only the answer to its own key.
TEST_CASE("property: at most one run per key, correct kNotRun, own answer") {
  tests::CheckProperty(
      "calls of one agent",
      [](const std::vector<std::pair<uint8_t, uint8_t>>& steps) {
        AgentCalls calls = MakeAgent();
        calls.claims.settings.retained_epochs = 2;
        History history;
        TimePoint now = kStart;
        uint64_t serial = 0;
        for (const auto& [event, choice] : steps) {
          Step(calls, history, event, choice, ++serial, now);
        }
      });
}

}  // namespace bramleyspan::calls

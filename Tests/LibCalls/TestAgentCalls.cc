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

// A member's program loses its connection, asks again through another entry
// and hears "unknown" although the invoice is being issued just then. The
// second attempt must get the first one's answer.
TEST_CASE("a duplicate of a running call gets its answer") {
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

// The back end is down; the caller hears "not run" and issues the invoice by
// other means. A copy of the call that was delayed must not issue it again.
TEST_CASE("not run is said only after the key is burnt") {
  AgentCalls calls = MakeAgent();
  ReceiveCall(calls, Claimed(calls, kFirst), kStart);
  const Effects effects = ReceiveEnd(calls, 1, BackEndOutcome::kNeverSent, "");
  CHECK(VerdictOf(effects, kFirst) == Verdict::kNotRun);
  const Effects late = ReceiveCall(calls, Claimed(calls, kSecond), kStart);
  CHECK(ForwardsIn(late) == 0);
  CHECK(VerdictOf(late, kSecond) == Verdict::kNotRun);
}

// The agent is told to stop and the same key comes by two entries.
TEST_CASE("a leaving agent refuses and keeps to it") {
  AgentCalls calls = MakeAgent();
  calls.is_leaving = true;
  const Effects refused = ReceiveCall(calls, Claimed(calls, kFirst), kStart);
  CHECK(VerdictOf(refused, kFirst) == Verdict::kNotRun);
  CHECK(FindEnd(refused, kFirst)->ending.retry_after > Duration(0));
  calls.is_leaving = false;
  CHECK(ForwardsIn(ReceiveCall(calls, Claimed(calls, kSecond), kStart)) == 0);
}

// The engine's VM freezes. A caller that waits without an end would be held
// long after its own client has hung up, and the engine's slot with it.
TEST_CASE("a silent back end holds no call beyond its deadline") {
  AgentCalls calls = MakeAgent();
  ReceiveCall(calls, Chat(kFirst), kStart);
  CHECK(CheckDeadlines(calls, kStart + milliseconds(1999)).empty());
  const Effects effects = CheckDeadlines(calls, kStart + seconds(2));
  CHECK(VerdictOf(effects, kFirst) == Verdict::kUnknown);
  CHECK(std::holds_alternative<CancelForward>(effects.back()));
  CHECK(calls.forwarded.empty());
}

// A slow invoice: its caller is told "unknown, ask again" at the deadline and
// must find the answer later; a cancelled call would have none.
TEST_CASE("an at-most-once call runs on after its callers were told") {
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

// The engine dies between two events of a stream and its kernel closes the
// connection in good order: the draft ends in the middle of a sentence.
TEST_CASE("an answer that does not say that it is whole is truncated") {
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

// Two entries number their calls alike; one of them cancels its own.
TEST_CASE("a call is found by connection and id") {
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

// What callers were told and what the back end did, over any interleaving.
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

// One generated step: which event, of which key.
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
      claims::ForgetOldEpochs(calls.claims, now);
      break;
    default:
      calls.is_leaving = choice % 4 == 0;
      break;
  }
}

}  // namespace

TEST_CASE("property: at most once, true not run, one's own answer") {
  tests::CheckProperty(
      "calls of one agent",
      [](const std::vector<std::pair<uint8_t, uint8_t>>& steps) {
        AgentCalls calls = MakeAgent();
        calls.claims.settings.remembered_epochs = 2;
        History history;
        TimePoint now = kStart;
        uint64_t serial = 0;
        for (const auto& [event, choice] : steps) {
          Step(calls, history, event, choice, ++serial, now);
        }
      });
}

}  // namespace bramleyspan::calls

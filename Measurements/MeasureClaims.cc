// Compares schemes that run a call at most once, in virtual time under several
// failures: writes to the key-value service and round trips before the call,
// and how many callers end with "not run" and with "unknown" for each failure.
// The claim per agent runs the daemon's code (LibClaims, LibCalls); the other
// schemes are minimal models that still run nothing twice.

#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "LibCalls/AgentCalls.h"
#include "LibClaims/ClosingRecord.h"

namespace bramleyspan {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Scheme {
  kAgent,
  kAgentNoWaiters,
  kAgentNoClosingRecord,
  kWritePerCall,
  kEntryBatch,
  kRendezvous,
};
constexpr std::array<std::pair<Scheme, const char*>, 6> kSchemes{{
    {Scheme::kAgent, "claim per agent"},
    {Scheme::kAgentNoWaiters, "  without attaching"},
    {Scheme::kAgentNoClosingRecord, "  without the seal"},
    {Scheme::kWritePerCall, "write per call"},
    {Scheme::kEntryBatch, "batch per entry"},
    {Scheme::kRendezvous, "rendezvous"},
}};

enum class Failure {
  kNone,
  kEntryKilled,
  kAgentKilled,
  kAgentFrozen,
  kAgentStopped,
  kOutage,
};
constexpr std::array<std::pair<Failure, const char*>, 6> kFailures{{
    {Failure::kNone, "none"},
    {Failure::kEntryKilled, "entry killed"},
    {Failure::kAgentKilled, "agent killed"},
    {Failure::kAgentFrozen, "agent frozen 5 s"},
    {Failure::kAgentStopped, "agent restarted in a planned way"},
    {Failure::kOutage, "key-value service away 30 s"},
}};

constexpr size_t kAgents = 3;
constexpr size_t kEntries = 3;
constexpr int kCallsPerSecond = 30;
constexpr TimePoint kFailureAt{seconds(20)};
constexpr TimePoint kCallsEnd{seconds(60)};
constexpr Duration kDeadline = seconds(2);
constexpr int kMaxAttempts = 4;

// The answer of an agent or of the process that owns a call's claim.
struct Reply {
  calls::Verdict verdict = calls::Verdict::kUnknown;
  bool is_final = false;
};

struct Agent {
  calls::AgentCalls calls;
  bool is_alive = true;
  TimePoint frozen_until{};
  std::map<uint64_t, std::function<void(Reply)>> callers;
};

struct Totals {
  uint64_t calls = 0;
  uint64_t writes = 0;
  uint64_t extra_trips = 0;
  uint64_t whole = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  uint64_t duplicate_runs = 0;
};

struct Call {
  uint64_t number = 0;
  std::string key;
  size_t agent = 0;
  size_t entry = 0;
  size_t owner_entry = 0;
  uint64_t generation = 0;
  int attempts = 0;
  bool is_ended = false;
};
using CallPointer = std::shared_ptr<Call>;

struct Simulation {
  Scheme scheme;
  Failure failure;
  std::mt19937_64 random;
  TimePoint now{};
  uint64_t last_event = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> events;
  std::array<Agent, kAgents> agents;
  std::array<bool, kEntries> is_entry_alive{true, true, true};
  uint64_t last_incarnation = 0;
  uint64_t generation = 1;
  bool is_outage = false;
  claims::ClosingRecords closing_records;
  // For the other schemes: whether each call is recorded as done, and the agent
  // that runs it.
  std::map<uint64_t, bool> is_done;
  std::map<uint64_t, size_t> running_at;
  std::map<uint64_t, int> runs;
  uint64_t last_recipient = 0;
  Totals totals;

  void After(Duration delay, std::function<void()> event) {
    this->events.emplace(std::pair{this->now + delay, ++this->last_event},
                         std::move(event));
  }
  uint64_t Below(uint64_t bound) { return this->random() % bound; }
  Duration Hop() { return Duration(500 + this->Below(1000)); }
  Duration ServiceTime() { return milliseconds(50 + this->Below(400)); }
  bool is_claim_per_agent() const {
    return this->scheme == Scheme::kAgent ||
           this->scheme == Scheme::kAgentNoWaiters ||
           this->scheme == Scheme::kAgentNoClosingRecord;
  }
};

void Boot(Simulation& simulation, size_t index) {
  Agent& agent = simulation.agents[index];
  agent = {};
  agent.calls.claims.agent = "t" + std::to_string(index);
  agent.calls.claims.incarnation = ++simulation.last_incarnation;
  agent.calls.claims.secret = "secret";
  agent.calls.claims.started = simulation.now;
}

void ApplyEffects(Simulation& simulation,
                  size_t index,
                  const calls::Effects& effects,
                  uint64_t number);

// Forwards a call to the service behind an agent. The service runs it whether
// or not the agent survives; only a live agent of the same incarnation receives
// the answer.
void StartForward(Simulation& simulation,
                  size_t index,
                  uint64_t forward,
                  uint64_t number) {
  const uint64_t incarnation =
      simulation.agents[index].calls.claims.incarnation;
  simulation.totals.duplicate_runs += ++simulation.runs[number] > 1 ? 1 : 0;
  simulation.After(simulation.ServiceTime(), [&simulation, index, forward,
                                              number, incarnation] {
    Agent& agent = simulation.agents[index];
    const bool is_same = agent.calls.claims.incarnation == incarnation;
    if (!agent.is_alive || !is_same) {
      return;
    }
    const Duration frozen_time =
        std::max(Duration(0), agent.frozen_until - simulation.now);
    simulation.After(frozen_time, [&simulation, index, forward, number] {
      Agent& awake = simulation.agents[index];
      calls::ReceiveHead(awake.calls, forward, {.status = 200}, simulation.now);
      ApplyEffects(simulation, index,
                   calls::ReceiveEnd(awake.calls, forward,
                                     calls::BackEndOutcome::kComplete, ""),
                   number);
    });
  });
}

void ApplyEffects(Simulation& simulation,
                  size_t index,
                  const calls::Effects& effects,
                  uint64_t number) {
  for (const calls::Effect& effect : effects) {
    if (const auto* start = std::get_if<calls::StartForward>(&effect)) {
      StartForward(simulation, index, start->forward, number);
    } else if (const auto* end = std::get_if<calls::SendEnd>(&effect)) {
      auto& callers = simulation.agents[index].callers;
      const auto caller = callers.find(end->to.call);
      if (caller != callers.end()) {
        const bool is_final = end->ending.verdict != calls::Verdict::kUnknown ||
                              end->ending.retry_after == Duration(0);
        auto reply = std::move(caller->second);
        callers.erase(caller);
        reply({end->ending.verdict, is_final});
      }
    }
  }
}

void CallAgent(Simulation& simulation,
               const CallPointer& call,
               std::function<void(Reply)> reply) {
  const auto key = claims::ParseClaimKey(call->key);
  const auto decision =
      claims::DecideByClosingRecord(simulation.closing_records, key.value());
  if (decision != claims::ClosingRecordDecision::kNoClosingRecord) {
    const bool is_not_run = decision == claims::ClosingRecordDecision::kNotRun;
    reply({is_not_run ? calls::Verdict::kNotRun : calls::Verdict::kUnknown,
           true});
    return;
  }
  Agent& agent = simulation.agents[call->agent];
  if (!agent.is_alive) {
    reply({calls::Verdict::kUnknown, false});
    return;
  }
  const bool is_running = agent.calls.forward_of_claim.contains(call->key);
  if (is_running && simulation.scheme == Scheme::kAgentNoWaiters) {
    reply({calls::Verdict::kUnknown, false});
    return;
  }
  const uint64_t recipient = ++simulation.last_recipient;
  agent.callers.emplace(recipient, std::move(reply));
  ApplyEffects(simulation, call->agent,
               calls::ReceiveCall(agent.calls,
                                  {.from = {call->entry, recipient},
                                   .claim = call->key,
                                   .owner = "o",
                                   .entry = "e",
                                   .needs_claim = true,
                                   .remaining = kDeadline},
                                  simulation.now),
               call->number);
}

// Runs a call on an agent that keeps no record of it, for the other schemes.
// `on_done` runs only if the agent lives until the end of the call.
void RunWithoutRegistry(Simulation& simulation,
                        const CallPointer& call,
                        std::function<void()> on_done) {
  simulation.totals.duplicate_runs +=
      ++simulation.runs[call->number] > 1 ? 1 : 0;
  const uint64_t incarnation =
      simulation.agents[call->agent].calls.claims.incarnation;
  simulation.After(simulation.ServiceTime(), [&simulation, call, incarnation,
                                              on_done = std::move(on_done)] {
    const Agent& agent = simulation.agents[call->agent];
    if (!agent.is_alive || agent.calls.claims.incarnation != incarnation) {
      return;
    }
    simulation.After(std::max(Duration(0), agent.frozen_until - simulation.now),
                     on_done);
  });
}

size_t PickLiveAgent(Simulation& simulation) {
  size_t index = simulation.Below(kAgents);
  while (!simulation.agents[index].is_alive ||
         simulation.agents[index].calls.is_leaving) {
    index = (index + 1) % kAgents;
  }
  return index;
}

void CallWithWrite(Simulation& simulation,
                   const CallPointer& call,
                   const std::function<void(Reply)>& reply) {
  if (simulation.is_outage) {
    // This attempt wrote nothing, but an earlier one may have.
    const bool is_first = !simulation.running_at.contains(call->number);
    reply({is_first ? calls::Verdict::kNotRun : calls::Verdict::kUnknown,
           is_first});
    return;
  }
  if (simulation.running_at.contains(call->number)) {
    const bool is_done = simulation.is_done[call->number];
    reply(
        {is_done ? calls::Verdict::kWhole : calls::Verdict::kUnknown, is_done});
    return;
  }
  ++simulation.totals.writes;
  call->agent = PickLiveAgent(simulation);
  const size_t entry = call->entry;
  simulation.running_at[call->number] = call->agent;
  RunWithoutRegistry(simulation, call, [&simulation, call, entry, reply] {
    if (!simulation.is_entry_alive[entry]) {
      return;
    }
    if (!simulation.is_outage) {
      ++simulation.totals.writes;
      simulation.is_done[call->number] = true;
    }
    reply({calls::Verdict::kWhole, true});
  });
}

void CallOwnerEntry(Simulation& simulation,
                    const CallPointer& call,
                    const std::function<void(Reply)>& reply) {
  if (!simulation.is_entry_alive[call->owner_entry]) {
    reply({calls::Verdict::kUnknown, true});
    return;
  }
  if (simulation.running_at.contains(call->number)) {
    const bool is_done = simulation.is_done[call->number];
    reply(
        {is_done ? calls::Verdict::kWhole : calls::Verdict::kUnknown, is_done});
    return;
  }
  call->agent = PickLiveAgent(simulation);
  simulation.running_at[call->number] = call->agent;
  RunWithoutRegistry(simulation, call, [&simulation, call, reply] {
    if (simulation.is_entry_alive[call->owner_entry]) {
      simulation.is_done[call->number] = true;
      reply({calls::Verdict::kWhole, true});
    }
  });
}

// The caller chooses its key, which belongs to an agent chosen by hashing among
// the present members. Once the membership has changed, it is unknown which
// agent received the key before.
void CallRendezvous(Simulation& simulation,
                    const CallPointer& call,
                    const std::function<void(Reply)>& reply) {
  if (call->attempts > 1 && call->generation != simulation.generation) {
    reply({calls::Verdict::kUnknown, true});
    return;
  }
  if (call->attempts == 1) {
    call->generation = simulation.generation;
    call->agent = PickLiveAgent(simulation);
  }
  if (!simulation.agents[call->agent].is_alive) {
    reply({calls::Verdict::kUnknown, false});
    return;
  }
  if (simulation.running_at.contains(call->number)) {
    const bool is_done = simulation.is_done[call->number];
    reply(
        {is_done ? calls::Verdict::kWhole : calls::Verdict::kUnknown, is_done});
    return;
  }
  simulation.running_at[call->number] = call->agent;
  RunWithoutRegistry(simulation, call, [&simulation, call, reply] {
    simulation.is_done[call->number] = true;
    reply({calls::Verdict::kWhole, true});
  });
}

void End(Simulation& simulation, const CallPointer& call, Reply reply) {
  if (std::exchange(call->is_ended, true)) {
    return;
  }
  Totals& totals = simulation.totals;
  ++totals.calls;
  totals.whole += reply.verdict == calls::Verdict::kWhole ? 1 : 0;
  totals.not_run += reply.verdict == calls::Verdict::kNotRun ? 1 : 0;
  totals.unknown += reply.verdict == calls::Verdict::kUnknown ? 1 : 0;
}

// Starts an attempt through a live entry. The caller retries 1 s after an
// answer that is not final, or when the deadline has passed without an answer.
void StartAttempt(Simulation& simulation, const CallPointer& call) {
  if (call->is_ended) {
    return;
  }
  if (call->attempts == kMaxAttempts) {
    End(simulation, call, {});
    return;
  }
  const int attempt = ++call->attempts;
  do {
    call->entry = simulation.Below(kEntries);
  } while (!simulation.is_entry_alive[call->entry]);
  const auto retry = [&simulation, call, attempt] {
    if (call->attempts == attempt) {
      StartAttempt(simulation, call);
    }
  };
  const size_t entry = call->entry;
  const auto reply = [&simulation, call, entry, retry](Reply answer) {
    if (!simulation.is_entry_alive[entry]) {
      return;
    }
    if (answer.is_final || answer.verdict == calls::Verdict::kWhole) {
      End(simulation, call, answer);
    } else {
      simulation.After(seconds(1), retry);
    }
  };
  simulation.After(kDeadline + milliseconds(200), retry);
  simulation.After(simulation.Hop(), [&simulation, call, entry, reply] {
    if (!simulation.is_entry_alive[entry]) {
      return;
    }
    if (simulation.is_claim_per_agent()) {
      const Duration frozen_time =
          std::max(Duration(0), simulation.agents[call->agent].frozen_until -
                                    simulation.now);
      simulation.After(frozen_time, [&simulation, call, reply] {
        CallAgent(simulation, call, reply);
      });
    } else if (simulation.scheme == Scheme::kWritePerCall) {
      CallWithWrite(simulation, call, reply);
    } else if (simulation.scheme == Scheme::kEntryBatch) {
      CallOwnerEntry(simulation, call, reply);
    } else {
      CallRendezvous(simulation, call, reply);
    }
  });
}

// Starts a call, whose caller gets its key up to 5 s before it uses it.
void StartCall(Simulation& simulation, uint64_t number) {
  auto call = std::make_shared<Call>();
  call->number = number;
  if (simulation.is_claim_per_agent()) {
    call->agent = PickLiveAgent(simulation);
    ++simulation.totals.extra_trips;
    call->key =
        claims::IssueClaim(simulation.agents[call->agent].calls.claims, "o",
                           "e", std::to_string(number), simulation.now);
  }
  if (simulation.scheme == Scheme::kEntryBatch) {
    do {
      call->owner_entry = simulation.Below(kEntries);
    } while (!simulation.is_entry_alive[call->owner_entry]);
    ++simulation.totals.extra_trips;
    simulation.totals.writes += number % 100 == 0 ? 1 : 0;
  }
  if (simulation.scheme == Scheme::kWritePerCall) {
    ++simulation.totals.extra_trips;
  }
  simulation.After(milliseconds(simulation.Below(5000)),
                   [&simulation, call] { StartAttempt(simulation, call); });
}

void StopGracefully(Simulation& simulation, size_t index) {
  simulation.agents[index].calls.is_leaving = true;
  ++simulation.generation;
  simulation.After(seconds(2), [&simulation, index] {
    const auto& registry = simulation.agents[index].calls.claims;
    if (simulation.scheme != Scheme::kAgentNoClosingRecord) {
      claims::AddClosingRecord(simulation.closing_records,
                               claims::MakeClosingRecord(registry),
                               simulation.now);
    }
    simulation.agents[index].is_alive = false;
    simulation.After(seconds(1), [&simulation, index] {
      Boot(simulation, index);
      ++simulation.generation;
    });
  });
}

void InjectFailure(Simulation& simulation) {
  switch (simulation.failure) {
    case Failure::kNone:
      return;
    case Failure::kEntryKilled:
      simulation.is_entry_alive[0] = false;
      return;
    case Failure::kAgentKilled:
      simulation.agents[0].is_alive = false;
      ++simulation.generation;
      simulation.After(seconds(1), [&simulation] {
        Boot(simulation, 0);
        ++simulation.generation;
      });
      return;
    case Failure::kAgentFrozen:
      simulation.agents[0].frozen_until = simulation.now + seconds(5);
      return;
    case Failure::kAgentStopped:
      StopGracefully(simulation, 0);
      return;
    case Failure::kOutage:
      simulation.is_outage = true;
      simulation.After(seconds(30),
                       [&simulation] { simulation.is_outage = false; });
      return;
  }
}

Totals Run(Scheme scheme, Failure failure, uint64_t seed) {
  Simulation simulation{.scheme = scheme, .failure = failure};
  simulation.random.seed(seed);
  for (size_t index = 0; index < kAgents; ++index) {
    Boot(simulation, index);
  }
  const Duration interval = Duration(seconds(1)) / kCallsPerSecond;
  uint64_t number = 0;
  for (TimePoint at{}; at < kCallsEnd; at += interval) {
    simulation.After(at - TimePoint{}, [&simulation, number = ++number] {
      StartCall(simulation, number);
    });
  }
  simulation.After(kFailureAt - TimePoint{},
                   [&simulation] { InjectFailure(simulation); });
  while (!simulation.events.empty()) {
    auto event = simulation.events.extract(simulation.events.begin());
    simulation.now = event.key().first;
    event.mapped()();
  }
  return simulation.totals;
}

void Print(Scheme scheme,
           const char* scheme_name,
           Failure failure,
           const char* failure_name) {
  constexpr uint64_t kSeeds = 20;
  Totals sum;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Totals totals = Run(scheme, failure, seed);
    sum.calls += totals.calls;
    sum.writes += totals.writes;
    sum.extra_trips += totals.extra_trips;
    sum.not_run += totals.not_run;
    sum.unknown += totals.unknown;
    sum.duplicate_runs += totals.duplicate_runs;
  }
  const auto per_call = [&](uint64_t count) {
    return static_cast<double>(count) / static_cast<double>(sum.calls);
  };
  const auto per_failure = [](uint64_t count) {
    return static_cast<double>(count) / static_cast<double>(kSeeds);
  };
  std::printf("%-20s | %-32s | %6.2f | %5.2f | %8.2f | %8.2f | %llu\n",
              scheme_name, failure_name, per_call(sum.writes),
              per_call(sum.extra_trips), per_failure(sum.not_run),
              per_failure(sum.unknown),
              static_cast<unsigned long long>(sum.duplicate_runs));
}

}  // namespace

}  // namespace bramleyspan

int main() {
  using namespace bramleyspan;
  std::printf("%-20s | %-32s | %6s | %5s | %8s | %8s | %s\n", "way", "failure",
              "writes", "trips", "not run", "unknown", "doubles");
  for (const auto& [failure, failure_name] : kFailures) {
    for (const auto& [scheme, scheme_name] : kSchemes) {
      Print(scheme, scheme_name, failure, failure_name);
    }
  }
}

// Admission at an agent. The agent knows exactly what it has forwarded, so it
// alone decides what its back end takes: a request starts, waits, or is
// refused at once because its deadline cannot be met.
#pragma once

#include <map>
#include <vector>

#include "LibAdmission/ClassQueues.h"
#include "LibAdmission/PrefillModel.h"
#include "LibAdmission/RecentPrefixes.h"

namespace bramleyspan::admission {

struct AdmissionSettings {
  // Requests that the back end runs at once.
  uint32_t slots = 16;
  // Assumed until the first measurements are in.
  Duration initial_service = std::chrono::milliseconds(500);
  // Tokens of a prompt that count as its prefix.
  uint32_t prefix_tokens = 512;
  // A request is taken only if this share of its time suffices. The rest
  // absorbs what arrives later in more urgent classes.
  double admitted_share = 0.8;
  // The back end counts as stalled when it gave no sign for this many times
  // the interval at which one is due.
  double stall_factor = 6;
  Duration min_stall = std::chrono::milliseconds(200);
  Duration max_retry_after = std::chrono::seconds(30);
};

// A request that the back end is working on.
struct Running {
  Request request;
  TimePoint started;
  uint32_t uncached_tokens = 0;
  bool has_first_token = false;
};

// What was measured: decayed sums, whose quotient is a mean, and prefills.
struct Measurements {
  double service_microseconds = 0;
  double service_count = 0;
  PrefillModel prefill;
};

struct Admission {
  AdmissionSettings settings;
  ClassQueues queues;
  std::map<uint64_t, Running> running;
  RecentPrefixes prefixes;
  Measurements measurements;
  // The last time at which the back end gave a sign.
  TimePoint last_progress;
  // Set while the back end is stalled; one request at a time tries it then.
  bool is_stalled = false;
  // The time by which all that were told to come back will be through.
  TimePoint retries_until;
};

// What a probe is told, and what admission itself goes by.
struct Estimate {
  // Time to the first token of a request that came now.
  Duration first_token{};
  uint32_t in_flight = 0;
  uint32_t cached_tokens = 0;
};

enum class Verdict { kStart, kWait, kRefuse };

struct Decision {
  Verdict verdict = Verdict::kRefuse;
  // When to come back after kRefuse.
  Duration retry_after{};
};

// A request given up on while it waited; it has surely not run.
struct GivenUp {
  uint64_t id = 0;
  Duration retry_after{};
};

// What the caller of an event has to do.
struct Effects {
  std::vector<uint64_t> start;
  std::vector<GivenUp> give_up;
};

// How long a request that came now would wait for its first token.
Estimate EstimateFor(const Admission& admission,
                     const Request& request,
                     TimePoint now);

// Decides about a new request; its id must be new.
Decision Decide(Admission& admission, const Request& request, TimePoint now);

// The back end sent bytes of a running request.
void HandleProgress(Admission& admission, uint64_t id, TimePoint now);

// A running request ended. `is_measured` is false if it was cut short, so
// that its time says nothing about the back end.
Effects HandleEnd(Admission& admission,
                  uint64_t id,
                  bool is_measured,
                  TimePoint now);

// Forgets a waiting request whose caller left. Returns false if it does not
// wait (any more).
bool Withdraw(Admission& admission, uint64_t id);

// Gives up waiting requests that cannot be answered in time any more. Called
// regularly: a stalled back end sends no event that would tell.
Effects Review(Admission& admission, TimePoint now);

// The time at which Review should be called again.
inline constexpr Duration kReviewInterval = std::chrono::milliseconds(50);

}  // namespace bramleyspan::admission

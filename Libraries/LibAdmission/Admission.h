// Admission of requests at an agent. Only the agent knows exactly what it has
// forwarded to its back end, so it alone decides whether a request starts,
// waits, or is refused at once because its deadline cannot be met.
#pragma once

#include <map>
#include <vector>

#include "LibAdmission/ClassQueues.h"
#include "LibAdmission/PrefillModel.h"
#include "LibAdmission/RecentPrefixes.h"

namespace bramleyspan::admission {

struct AdmissionSettings {
  // Requests that the back end runs concurrently.
  uint32_t slots = 16;
  // The service time assumed until one is measured.
  Duration initial_service = std::chrono::milliseconds(500);
  // The length of the prompt prefix that is tracked, in tokens.
  uint32_t prefix_tokens = 512;
  // A request is admitted only if this fraction of its remaining time suffices.
  // The rest absorbs later arrivals of more urgent classes.
  double admitted_share = 0.8;
  // The back end counts as stalled when it has made no progress for this many
  // times the interval at which requests are expected to end.
  double stall_factor = 6;
  Duration min_stall = std::chrono::milliseconds(200);
  Duration max_retry_after = std::chrono::seconds(30);
};

// A request that the back end is processing.
struct Running {
  Request request;
  TimePoint started;
  uint32_t uncached_tokens = 0;
  bool has_first_token = false;
};

// Decayed sums of service times and their count, whose quotient is the mean,
// and the prefill model.
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
  // The last time at which the back end made progress.
  TimePoint last_progress;
  // Set while the back end is stalled; it then runs one request at a time.
  bool is_stalled = false;
  // The latest retry time given to a refused caller.
  TimePoint retries_until;
};

// The load estimate that a probe receives and that admission decides by.
struct Estimate {
  // The time to the first token of a request that arrived now.
  Duration first_token{};
  uint32_t in_flight = 0;
  uint32_t cached_tokens = 0;
};

enum class Verdict { kStart, kWait, kRefuse };

struct Decision {
  Verdict verdict = Verdict::kRefuse;
  // When to retry, after kRefuse.
  Duration retry_after{};
};

// A waiting request that was refused because it cannot meet its deadline any
// more. It was never sent to the back end.
struct Refusal {
  uint64_t id = 0;
  Duration retry_after{};
};

// What the caller of an event handler must do: start or refuse waiting
// requests.
struct Effects {
  std::vector<uint64_t> start;
  std::vector<Refusal> refuse;
};

// Returns the load estimate for a request that arrives now.
Estimate EstimateFor(const Admission& admission,
                     const Request& request,
                     TimePoint now);

// Returns whether a new request starts, waits or is refused. Its id must be
// new.
Decision Decide(Admission& admission, const Request& request, TimePoint now);

// Handles bytes that the back end sent for a running request.
void HandleProgress(Admission& admission, uint64_t id, TimePoint now);

// Handles the end of a running request. `is_measured` is false if the request
// was cut short, so that its duration does not measure the back end.
Effects HandleEnd(Admission& admission,
                  uint64_t id,
                  bool is_measured,
                  TimePoint now);

// Removes a waiting request whose caller left. Returns false if the request is
// not waiting.
bool Withdraw(Admission& admission, uint64_t id);

// Refuses waiting requests that cannot meet their deadline any more, and starts
// others where slots are free. Must be called regularly, since a stalled back
// end causes no events.
Effects Review(Admission& admission, TimePoint now);

// The interval at which Review is called.
inline constexpr Duration kReviewInterval = std::chrono::milliseconds(50);

}  // namespace bramleyspan::admission

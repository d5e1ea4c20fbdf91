// Simulates a group of ranks under load in virtual time: pass durations by the
// engine's published values, demand shifts, gateways that probe a few ranks for
// a permit, and callers that wait, retry once and leave. Permits are granted by
// the library; no messages are modelled.
#pragma once

#include <cstdint>
#include <list>
#include <random>
#include <vector>

#include "LibAdmission/RankAdmission.h"

namespace bramleyspan::admission {

struct LoadSettings {
  uint32_t ranks = 24;
  uint32_t slots = 10;
  // Events of a stream.
  uint32_t events = 19;
  // Steps in a pass that generates tokens.
  double stride = 5;
  // The duration of a step, and what each stream adds to it.
  double step_ms = 4.55;
  double stream_ms = 0.905;
  double read_tokens_per_ms = 61.4;
  double prompt_tokens = 800;
  // The fraction of the work that is done by experts.
  double expert_share = 0.85;
  Duration longest_pause = std::chrono::milliseconds(150);
  // The longest time to the first event of a stream that is not late.
  Duration objective = std::chrono::milliseconds(500);
  double arrivals_per_second = 98;
  // The interval between demand shifts; zero for none.
  Duration shift_interval{};
  // The load of the most loaded rank over the mean: after a demand shift, once
  // the first copies are in place, and once a matching map is.
  double skew_after_shift = 3.3;
  double skew_with_first_copies = 2.1;
  double steady_skew = 1.7;
};

// The outcomes of callers by the second of their first request.
struct CallerCounts {
  int requests = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
};

class SimulatedLoad {
 public:
  SimulatedLoad(const LoadSettings& settings, uint64_t seed);

  void Run(Duration time);

  // Re-forms the group until `opens_at`: its streams end and their callers
  // retry.
  void ReformUntil(TimePoint opens_at);

  CallerCounts Sum(size_t from_second, size_t to_second) const;

  LoadSettings settings;
  TimePoint now{};
  Duration longest_pass{};

 private:
  struct Caller {
    TimePoint requested_at;
    TimePoint arrived_at;
    bool is_retry = false;
  };
  struct Stream {
    Caller caller;
    uint32_t rank = 0;
    TimePoint started;
    double unread_tokens = 0;
    uint32_t events_left = 0;
    bool is_late = false;
  };

  bool is_late(const Caller& caller) const;
  double Skew() const;
  Duration NextPass();
  void EndPass();
  void Arrive();
  void Serve();
  bool StartStream(const Caller& caller);
  void HandleTimeout(const Caller& caller);
  void Report();
  CallerCounts& CountsOf(const Caller& caller);

  std::mt19937_64 random;
  std::vector<RankAdmission> admissions;
  std::vector<Stream> streams;
  std::list<Caller> waiting;
  std::list<Caller> retrying;
  // By the second of the first request.
  std::vector<CallerCounts> counts;
  uint64_t step = 1;
  uint64_t epoch = 1;
  uint64_t number = 0;
  bool is_open = true;
  TimePoint opens_at;
  TimePoint opened_at;
  TimePoint pass_started_at;
  TimePoint pass_ends_at;
  bool is_pass_running = false;
};

}  // namespace bramleyspan::admission

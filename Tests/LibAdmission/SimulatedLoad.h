// A group of ranks in virtual time under load: passes by the engine's published
// values, demand that jumps, gateways that ask a few ranks for a place, and
// callers that wait, return once and leave. The places are those of the
// library; nothing of the wire is modelled.
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
  uint32_t events = 19;
  double stride = 5;
  double step_ms = 4.55;
  double stream_ms = 0.905;
  double read_tokens_per_ms = 61.4;
  double prompt_tokens = 800;
  double expert_share = 0.85;
  Duration longest_pause = std::chrono::milliseconds(150);
  Duration objective = std::chrono::milliseconds(500);
  double arrivals_per_second = 98;
  // Zero for demand that never jumps.
  Duration shift_interval{};
  // Load of the most loaded rank over the mean, after a jump, once the first
  // copies are there and once a map that fits is.
  double skew_after_shift = 3.3;
  double skew_with_first_copies = 2.1;
  double steady_skew = 1.7;
};

// What callers got, by the second in which they came.
struct CallerCounts {
  int asked = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
};

class SimulatedLoad {
 public:
  SimulatedLoad(const LoadSettings& settings, uint64_t seed);

  void Run(Duration time);

  // The group is formed anew; its streams end and their callers return.
  void ReformUntil(TimePoint opens_at);

  CallerCounts Sum(size_t from_second, size_t to_second) const;

  LoadSettings settings;
  TimePoint now{};
  Duration longest_pass{};

 private:
  struct Caller {
    TimePoint asked;
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
  CallerCounts& SecondOf(const Caller& caller);

  std::mt19937_64 random;
  std::vector<RankAdmission> admissions;
  std::vector<Stream> streams;
  std::list<Caller> waiting;
  std::list<Caller> retrying;
  std::vector<CallerCounts> seconds;
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

// A fake target VM for measurements in virtual time: the agent's admission code
// in front of an engine with random service times, a prefix cache and faults.
// It models no network, no steps and no experts.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <utility>

#include "LibAdmission/Admission.h"
#include "Measurements/EventQueue.h"

namespace bramleyspan::measurements {

enum class Fault {
  kNone,
  // The engine takes ten times as long.
  kSlow,
  // The engine is frozen; the agent answers.
  kEngineFrozen,
  // Both engine and agent are frozen.
  kVmFrozen,
  // The agent is dead and its requests are lost.
  kDead,
  // The agent estimates 0 until the first token and admits everything, and the
  // engine takes ten times as long.
  kEstimatesZero,
  // As kEstimatesZero, but the agent's estimate is negative.
  kEstimatesNegative,
};

// Service times and cache size of the fake engine.
struct EngineModel {
  Duration mean_service = std::chrono::seconds(1);
  Duration prefill_floor = std::chrono::milliseconds(20);
  // Time to read one prompt token that is not cached.
  double prefill_microseconds_per_token = 200;
  size_t cached_prefixes = 64;
};

class FakeTarget {
 public:
  using OnFirstToken = std::function<void()>;
  using OnRefused = std::function<void(Duration retry_after)>;

  // Callbacks of a request.
  struct Caller {
    OnFirstToken on_first_token;
    OnRefused on_refused;
  };

  FakeTarget(EventQueue& events, const EngineModel& engine, uint64_t seed)
      : events(events), engine(engine), random(seed) {
    this->cache.capacity = engine.cached_prefixes;
    this->ReviewRepeatedly();
  }

  admission::Admission admission;
  uint64_t started = 0;
  uint64_t cache_hits = 0;

  bool is_answering_probes() const {
    return this->fault != Fault::kVmFrozen && this->fault != Fault::kDead;
  }

  bool is_underestimating() const {
    return this->fault == Fault::kEstimatesZero ||
           this->fault == Fault::kEstimatesNegative;
  }

  admission::Estimate Probe(const admission::Request& request) const {
    auto estimate =
        admission::EstimateFor(this->admission, request, this->events.now());
    if (this->is_underestimating()) {
      estimate.first_token = this->fault == Fault::kEstimatesZero
                                 ? Duration::zero()
                                 : -Duration(std::chrono::hours(1));
      estimate.in_flight = 0;
    }
    return estimate;
  }

  void HandleRequest(const admission::Request& request, Caller caller) {
    if (this->fault == Fault::kDead) {
      return;
    }
    if (this->fault == Fault::kVmFrozen) {
      this->unread.emplace_back(request, std::move(caller));
      return;
    }
    const auto verdict =
        admission::Decide(this->admission, request, this->events.now());
    if (verdict.verdict == admission::Verdict::kRefuse) {
      caller.on_refused(verdict.retry_after);
      return;
    }
    this->callers.emplace(request.id, std::move(caller));
    this->requests.emplace(request.id, request);
    if (verdict.verdict == admission::Verdict::kStart) {
      this->Run(request.id);
    }
  }

  // The caller disconnected.
  void Cancel(uint64_t id) {
    if (!this->is_answering_probes() || this->callers.erase(id) == 0) {
      return;
    }
    this->requests.erase(id);
    if (!admission::Withdraw(this->admission, id)) {
      this->ApplyEffects(
          admission::HandleEnd(this->admission, id, false, this->events.now()));
    }
  }

  void SetFault(Fault next) {
    const Fault before = std::exchange(this->fault, next);
    if (next == Fault::kDead) {
      this->callers.clear();
      this->requests.clear();
      admission::Admission fresh;
      fresh.settings = this->admission.settings;
      this->admission = fresh;
    }
    if (this->is_underestimating()) {
      this->admission.settings.admitted_share = 1e6;
    }
    if (before == Fault::kVmFrozen) {
      for (auto& [request, caller] : std::exchange(this->unread, {})) {
        this->HandleRequest(request, std::move(caller));
      }
    }
    if (before == Fault::kVmFrozen || before == Fault::kEngineFrozen) {
      for (auto& callback : std::exchange(this->deferred, {})) {
        callback();
      }
    }
  }

 private:
  bool is_engine_frozen() const {
    return this->fault == Fault::kEngineFrozen ||
           this->fault == Fault::kVmFrozen;
  }

  // Runs `work` after `delay`, or once the engine is no longer frozen.
  void EngineAfter(Duration delay, std::function<void()> work) {
    this->events.After(delay, [this, work = std::move(work)] {
      if (this->is_engine_frozen()) {
        this->deferred.push_back(work);
      } else {
        work();
      }
    });
  }

  void Run(uint64_t id) {
    const admission::Request& request = this->requests.at(id);
    const uint32_t cached =
        admission::CachedTokens(this->cache, request.prefix);
    ++this->started;
    this->cache_hits += cached > 0;
    admission::RecordPrefix(this->cache, request.prefix,
                            std::min(request.prompt_tokens,
                                     this->admission.settings.prefix_tokens));
    const bool is_slow =
        this->fault == Fault::kSlow || this->is_underestimating();
    const double pace = is_slow ? 10 : 1;
    const auto uncached = static_cast<double>(
        request.prompt_tokens > cached ? request.prompt_tokens - cached : 0);
    const Duration prefill(static_cast<int64_t>(
        pace * (static_cast<double>(this->engine.prefill_floor.count()) +
                uncached * this->engine.prefill_microseconds_per_token)));
    std::exponential_distribution<double> service(
        1 / (pace * static_cast<double>(this->engine.mean_service.count())));
    const Duration rest(static_cast<int64_t>(service(this->random)));
    this->EngineAfter(prefill, [this, id] { this->SendFirstToken(id); });
    this->EngineAfter(prefill + rest, [this, id] { this->End(id); });
  }

  void SendFirstToken(uint64_t id) {
    const auto caller = this->callers.find(id);
    if (caller != this->callers.end()) {
      admission::HandleProgress(this->admission, id, this->events.now());
      caller->second.on_first_token();
    }
  }

  void End(uint64_t id) {
    if (this->callers.erase(id) > 0) {
      this->requests.erase(id);
      this->ApplyEffects(
          admission::HandleEnd(this->admission, id, true, this->events.now()));
    }
  }

  void ApplyEffects(const admission::Effects& effects) {
    for (const uint64_t id : effects.start) {
      this->Run(id);
    }
    for (const admission::Refusal& given_up : effects.refuse) {
      const Caller caller = std::move(this->callers.at(given_up.id));
      this->callers.erase(given_up.id);
      this->requests.erase(given_up.id);
      caller.on_refused(given_up.retry_after);
    }
  }

  void ReviewRepeatedly() {
    this->events.After(admission::kReviewInterval, [this] {
      if (this->is_answering_probes()) {
        this->ApplyEffects(
            admission::Review(this->admission, this->events.now()));
      }
      this->ReviewRepeatedly();
    });
  }

  EventQueue& events;
  EngineModel engine;
  std::mt19937_64 random;
  Fault fault = Fault::kNone;
  admission::RecentPrefixes cache;
  std::map<uint64_t, Caller> callers;
  std::map<uint64_t, admission::Request> requests;
  std::vector<std::pair<admission::Request, Caller>> unread;
  std::vector<std::function<void()>> deferred;
};

}  // namespace bramleyspan::measurements

// Measures routing and admission in virtual time: runs the code of entries and
// agents against fake targets.

#include <cstdio>
#include <memory>
#include <string>

#include "LibRouting/Routing.h"
#include "Measurements/FakeTarget.h"
#include "Measurements/Samples.h"

namespace bramleyspan::measurements {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kOneWay = std::chrono::microseconds(500);
constexpr Duration kReportInterval = seconds(1);
constexpr seconds kWarmUp{20};
// Every prompt begins with a prefix that others may share.
constexpr uint32_t kPrefixTokens = 512;
constexpr size_t kOwners = 10;
// By service class, as kClassNames.
constexpr Duration kDeadlines[] = {seconds(2), seconds(4), seconds(20)};
constexpr const char* kClassNames[] = {"interactive", "standard", "batch"};

// A size of the fleet.
struct Size {
  const char* name;
  size_t entries;
  size_t groups;
  uint32_t slots;
  Duration mean_service;
  size_t groups_of_zone;
};

// 16 servers make 4 groups of 4 ranks.
constexpr Size kSmallSize{"today", 6, 4, 16, seconds(1), 1};
// One model of five: 30 groups, 860 requests/s, 230 tokens of 28 ms each.
constexpr Size kLargeSize{"ahead", 340, 30, 208, milliseconds(6440), 5};

// One run.
struct Run {
  Size size = kSmallSize;
  std::string policy = "probes";
  // Offered load as a share of what all slots can do.
  double load = 0.9;
  Duration length = seconds(60);
  bool has_admission = true;
  // Number of prefixes, from which each prompt draws one by Zipf's law; 0 for
  // no shared prefixes.
  size_t prefixes = 0;
  // The first `faulty` targets have `fault` from the end of the warm-up on, for
  // `fault_length`.
  Fault fault = Fault::kNone;
  size_t faulty = 1;
  Duration fault_length = seconds(1000);
  bool has_estimate_check = true;
  bool has_ejection = true;
};

struct Outcome {
  uint64_t offered[3] = {};
  uint64_t in_time[3] = {};
  uint64_t refused = 0;
  uint64_t late = 0;
  uint64_t owner_offered[kOwners] = {};
  uint64_t owner_in_time[kOwners] = {};
  Samples first_token;
  Samples until_refusal;
  double imbalance = 0;
  double hits = 0;

  double InTimeShare() const {
    const auto all = static_cast<double>(offered[0] + offered[1] + offered[2]);
    return static_cast<double>(in_time[0] + in_time[1] + in_time[2]) / all;
  }
  double ClassShare(size_t index) const {
    return static_cast<double>(in_time[index]) /
           static_cast<double>(std::max<uint64_t>(offered[index], 1));
  }
  double WorstOwnerShare() const {
    double worst = 1;
    for (size_t i = 0; i < kOwners; ++i) {
      worst = std::min(worst, static_cast<double>(owner_in_time[i]) /
                                  static_cast<double>(owner_offered[i]));
    }
    return worst;
  }
};

class Bench {
 public:
  explicit Bench(const Run& run)
      : run(run), policy(routing::FindPolicy(run.policy).value()) {
    EngineModel engine;
    engine.mean_service = run.size.mean_service;
    for (size_t i = 0; i < run.size.groups; ++i) {
      auto target = std::make_unique<FakeTarget>(this->events, engine, 100 + i);
      target->admission.settings.slots = run.size.slots;
      this->all.push_back({"g" + std::to_string(i), std::to_string(i)});
      this->targets.push_back(std::move(target));
    }
    this->routers.resize(run.size.entries);
    for (routing::Router& router : this->routers) {
      router.next_index = this->random();
      if (!run.has_estimate_check) {
        router.settings.latency_resolution = std::chrono::hours(1000);
      }
      if (!run.has_ejection) {
        router.settings.failures_to_eject = 1U << 30U;
      }
    }
  }

  Outcome Measure() {
    this->ReportRepeatedly();
    this->ScheduleArrivals();
    const TimePoint begin = TimePoint{} + kWarmUp;
    this->events.RunUntil(begin);
    this->is_counting = true;
    this->SetFault(this->run.fault);
    this->events.At(begin + this->run.fault_length,
                    [this] { this->SetFault(Fault::kNone); });
    this->events.RunUntil(begin + this->run.length);
    this->is_counting = false;
    // Requests that were offered last still get their answers.
    this->events.RunUntil(begin + this->run.length + seconds(25));
    this->outcome.imbalance = this->imbalance / this->imbalance_samples;
    uint64_t started = 0;
    uint64_t hits = 0;
    for (const auto& target : this->targets) {
      started += target->started;
      hits += target->cache_hits;
    }
    this->outcome.hits =
        static_cast<double>(hits) / static_cast<double>(started);
    return std::move(this->outcome);
  }

 private:
  struct Call {
    admission::Request request;
    size_t entry = 0;
    size_t owner = 0;
    TimePoint arrived;
    bool is_counted = false;
    bool is_closed = false;
    size_t rounds = 0;
    size_t target = 0;
    std::vector<routing::Candidate> unanswered;
    std::vector<routing::ProbeAnswer> answers;
  };
  using CallPointer = std::shared_ptr<Call>;

  void SetFault(Fault fault) {
    for (size_t i = 0; i < this->run.faulty; ++i) {
      this->targets[i]->SetFault(fault);
    }
  }

  void ReportRepeatedly() {
    double most = 0;
    double sum = 0;
    for (size_t i = 0; i < this->targets.size(); ++i) {
      const auto in_flight = this->targets[i]->Probe({}).in_flight;
      for (routing::Router& router : this->routers) {
        router.reports[this->all[i].target].in_flight = in_flight;
      }
      most = std::max<double>(most, in_flight);
      sum += in_flight;
    }
    if (this->is_counting && sum > 0) {
      this->imbalance += most * static_cast<double>(this->all.size()) / sum;
      ++this->imbalance_samples;
    }
    this->events.After(kReportInterval, [this] { this->ReportRepeatedly(); });
  }

  double Rate() const {
    const double service =
        std::chrono::duration<double>(this->run.size.mean_service).count();
    // A slot is also occupied for the mean prefill: 20 ms and 1,012 tokens.
    return this->run.load * static_cast<double>(this->run.size.groups) *
           this->run.size.slots / (service + 0.22);
  }

  void ScheduleArrivals() {
    std::exponential_distribution<double> gap(this->Rate());
    const Duration wait(static_cast<int64_t>(1e6 * gap(this->random)));
    this->events.After(wait, [this] {
      this->StartCall();
      this->ScheduleArrivals();
    });
  }

  uint64_t DrawPrefix() {
    if (this->run.prefixes == 0) {
      return 0;
    }
    if (this->zipf.probabilities().size() < this->run.prefixes) {
      std::vector<double> weights;
      for (size_t i = 1; i <= this->run.prefixes; ++i) {
        weights.push_back(1.0 / static_cast<double>(i));
      }
      this->zipf =
          std::discrete_distribution<size_t>(weights.begin(), weights.end());
    }
    return 1 + this->zipf(this->random);
  }

  void StartCall() {
    auto call = std::make_shared<Call>();
    const size_t draw = this->random() % 10;
    const size_t service_class = draw < 5 ? 0 : draw < 8 ? 1 : 2;
    call->entry = this->random() % this->routers.size();
    call->owner = this->random() % kOwners;
    call->arrived = this->events.now();
    call->is_counted = this->is_counting;
    std::exponential_distribution<double> prompt(1.0 / 500);
    call->request = {
        .id = ++this->last,
        .service_class = static_cast<catalogue::ServiceClass>(service_class),
        .deadline = this->events.now() + kDeadlines[service_class],
        .prompt_tokens =
            kPrefixTokens + static_cast<uint32_t>(prompt(this->random)),
        .prefix = this->DrawPrefix()};
    if (call->is_counted) {
      ++this->outcome.offered[service_class];
      ++this->outcome.owner_offered[call->owner];
    }
    this->events.At(call->request.deadline, [this, call] {
      if (!call->is_closed) {
        this->Close(call);
        this->outcome.late += call->is_counted;
        this->routers[call->entry].outstanding.erase(call->request.id);
        this->targets[call->target]->Cancel(call->request.id);
      }
    });
    this->Route(call);
  }

  void Route(const CallPointer& call) {
    routing::Router& router = this->routers[call->entry];
    ++call->rounds;
    const routing::Query query{
        call->request.prefix, this->random(),
        static_cast<uint8_t>(call->request.service_class)};
    auto picked = this->policy(router, query, this->all, this->events.now());
    if (picked.size() == 1) {
      this->Send(call, {picked.front(), {}});
      return;
    }
    call->unanswered = picked;
    call->answers.clear();
    for (const routing::Candidate& candidate : picked) {
      this->events.After(kOneWay, [this, call, candidate] {
        this->AnswerProbe(call, candidate);
      });
    }
    const size_t round = call->rounds;
    this->events.After(router.settings.probe_timeout, [this, call, round] {
      if (call->rounds == round && !call->unanswered.empty()) {
        this->Decide(call);
      }
    });
  }

  void AnswerProbe(const CallPointer& call,
                   const routing::Candidate& candidate) {
    const FakeTarget& target = *this->targets[std::stoul(candidate.target)];
    if (!target.is_answering_probes()) {
      return;
    }
    const auto estimate = target.Probe(call->request);
    this->events.After(kOneWay, [this, call, candidate, estimate] {
      std::erase(call->unanswered, candidate);
      call->answers.push_back({.candidate = candidate,
                               .is_admitting = true,
                               .in_flight = estimate.in_flight,
                               .first_token = estimate.first_token,
                               .cached_tokens = estimate.cached_tokens});
      routing::HandleProbeAnswered(this->routers[call->entry],
                                   candidate.target);
      if (call->unanswered.empty()) {
        this->Decide(call);
      }
    });
  }

  void Decide(const CallPointer& call) {
    routing::Router& router = this->routers[call->entry];
    const TimePoint now = this->events.now();
    for (const routing::Candidate& candidate :
         std::exchange(call->unanswered, {})) {
      routing::HandleTargetFailure(router, candidate.target, this->all, now);
    }
    const routing::Query query{
        call->request.prefix, 0,
        static_cast<uint8_t>(call->request.service_class)};
    const auto remaining =
        this->run.has_admission
            ? std::chrono::duration_cast<Duration>(call->request.deadline - now)
            : Duration::max();
    const auto choice =
        routing::ChooseCandidate(router, query, call->answers, remaining, now);
    if (choice) {
      this->Send(call, *choice);
    } else if (call->answers.empty() && call->rounds == 1) {
      this->Route(call);
    } else {
      this->Refuse(call);
    }
  }

  void Send(const CallPointer& call, const routing::Choice& choice) {
    call->target = std::stoul(choice.candidate.target);
    routing::HandleSent(this->routers[call->entry], call->request.id, choice,
                        static_cast<uint8_t>(call->request.service_class),
                        this->events.now());
    this->events.After(kOneWay, [this, call] {
      admission::Request request = call->request;
      if (!this->run.has_admission) {
        // An agent without admission knows no deadline.
        request.deadline += std::chrono::hours(1000);
      }
      this->targets[call->target]->HandleRequest(
          request,
          {.on_first_token = [this, call] { this->Answer(call); },
           .on_refused = [this, call](Duration) { this->Refuse(call); }});
    });
  }

  void Answer(const CallPointer& call) {
    routing::HandleFirstByte(this->routers[call->entry], call->request.id,
                             this->events.now());
    if (call->is_closed) {
      return;
    }
    this->Close(call);
    if (call->is_counted) {
      ++this->outcome.in_time[admission::IndexOf(call->request.service_class)];
      ++this->outcome.owner_in_time[call->owner];
      this->outcome.first_token.values.push_back(
          std::chrono::duration_cast<Duration>(this->events.now() -
                                               call->arrived));
    }
  }

  void Refuse(const CallPointer& call) {
    routing::HandleNoFirstByte(this->routers[call->entry], call->request.id);
    if (call->is_closed) {
      return;
    }
    this->Close(call);
    if (call->is_counted) {
      ++this->outcome.refused;
      this->outcome.until_refusal.values.push_back(
          std::chrono::duration_cast<Duration>(this->events.now() -
                                               call->arrived));
    }
  }

  void Close(const CallPointer& call) { call->is_closed = true; }

  Run run;
  routing::Policy policy;
  EventQueue events;
  std::mt19937_64 random{1};
  std::discrete_distribution<size_t> zipf;
  std::vector<std::unique_ptr<FakeTarget>> targets;
  std::vector<routing::Candidate> all;
  std::vector<routing::Router> routers;
  Outcome outcome;
  bool is_counting = false;
  uint64_t last = 0;
  double imbalance = 0;
  double imbalance_samples = 0;
};

void PrintRow(const std::string& name, Outcome outcome) {
  std::printf(
      "| %s | %.0f / %.0f / %.0f | %.1f | %.1f / %.1f / %.1f | %.1f | %.1f | "
      "%.0f / %.0f |\n",
      name.c_str(), outcome.first_token.PercentileMilliseconds(0.5),
      outcome.first_token.PercentileMilliseconds(0.95),
      outcome.first_token.PercentileMilliseconds(0.99),
      100 * outcome.InTimeShare(), 100 * outcome.ClassShare(0),
      100 * outcome.ClassShare(1), 100 * outcome.ClassShare(2),
      100 * outcome.WorstOwnerShare(),
      100.0 * static_cast<double>(outcome.late) /
          static_cast<double>(outcome.offered[0] + outcome.offered[1] +
                              outcome.offered[2]),
      outcome.until_refusal.PercentileMilliseconds(0.5),
      outcome.until_refusal.PercentileMilliseconds(0.99));
}

void PrintHeader(const std::string& title, const char* first) {
  std::printf(
      "\n%s\n\n| %s | first token ms p50 / p95 / p99 | in time %% | "
      "%s / %s / %s %% | worst owner %% | late %% | until refusal ms "
      "p50 / p99 |\n| --- | --- | --- | --- | --- | --- | --- |\n",
      title.c_str(), first, kClassNames[0], kClassNames[1], kClassNames[2]);
}

void MeasurePolicies(const Size& size) {
  PrintHeader(std::string("Policies at 0.9x of capacity, ") + size.name,
              "policy");
  for (const char* policy :
       {"random", "round-robin", "least-reported", "probes"}) {
    PrintRow(policy, Bench({.size = size, .policy = policy}).Measure());
  }
}

void MeasureLoads(const Size& size) {
  for (const bool has_admission : {true, false}) {
    PrintHeader(std::string(has_admission ? "With" : "Without") +
                    " admission, by offered load, " + size.name,
                "load");
    for (const double load : {0.5, 0.8, 1.0, 1.5, 2.0, 3.0}) {
      char name[16];
      std::snprintf(name, sizeof name, "%.1fx", load);
      PrintRow(
          name,
          Bench({.size = size, .load = load, .has_admission = has_admission})
              .Measure());
    }
  }
}

void MeasureFaults(const Size& size, size_t zone) {
  struct Row {
    const char* name;
    Fault fault;
    size_t faulty;
    Duration length;
  };
  const Row rows[] = {
      {"none", Fault::kNone, 0, seconds(60)},
      {"one 10x slower", Fault::kSlow, 1, seconds(60)},
      {"engine frozen 20 s", Fault::kEngineFrozen, 1, seconds(20)},
      {"VM frozen 20 s", Fault::kVmFrozen, 1, seconds(20)},
      {"one dead", Fault::kDead, 1, seconds(60)},
      {"promises 0, limps", Fault::kEstimatesZero, 1, seconds(60)},
      {"promises -1 h, limps", Fault::kEstimatesNegative, 1, seconds(60)},
      {"a zone cut off 20 s", Fault::kVmFrozen, zone, seconds(20)},
  };
  for (const char* policy : {"random", "least-reported", "probes"}) {
    PrintHeader(
        std::string("Faults at 0.6x of capacity, ") + policy + ", " + size.name,
        "fault");
    for (const Row& row : rows) {
      PrintRow(row.name, Bench({.size = size,
                                .policy = policy,
                                .load = 0.6,
                                .fault = row.fault,
                                .faulty = row.faulty,
                                .fault_length = row.length})
                             .Measure());
    }
  }
  PrintHeader(std::string("The same without the guard, probes, ") + size.name,
              "fault, guard taken out");
  Run underestimating{
      .size = size, .load = 0.6, .fault = Fault::kEstimatesZero};
  underestimating.has_estimate_check = false;
  PrintRow("promises 0, limps; promises not compared",
           Bench(underestimating).Measure());
  Run frozen{.size = size, .load = 0.6, .fault = Fault::kDead};
  frozen.has_ejection = false;
  PrintRow("one dead; no ejection", Bench(frozen).Measure());
}

void MeasureAffinity(const Size& size) {
  std::printf(
      "\nPrefix affinity at 0.8x, 2000 prefixes by Zipf's law, 64 cached a "
      "target, %s\n\n| policy | cache hits %% | most in flight over mean | "
      "first token ms p50 / p95 / p99 | in time %% |\n| --- | --- | --- | --- "
      "| --- |\n",
      size.name);
  for (const char* policy :
       {"random", "home", "bounded-home", "probes", "probes-with-affinity"}) {
    Outcome outcome =
        Bench({.size = size, .policy = policy, .load = 0.8, .prefixes = 2000})
            .Measure();
    std::printf("| %s | %.1f | %.2f | %.0f / %.0f / %.0f | %.1f |\n", policy,
                100 * outcome.hits, outcome.imbalance,
                outcome.first_token.PercentileMilliseconds(0.5),
                outcome.first_token.PercentileMilliseconds(0.95),
                outcome.first_token.PercentileMilliseconds(0.99),
                100 * outcome.InTimeShare());
  }
}

void MeasureAll() {
  for (const Size& size : {kSmallSize, kLargeSize}) {
    MeasurePolicies(size);
    MeasureLoads(size);
    MeasureFaults(size, size.groups_of_zone);
    MeasureAffinity(size);
  }
}

}  // namespace

}  // namespace bramleyspan::measurements

int main() {
  bramleyspan::measurements::MeasureAll();
}

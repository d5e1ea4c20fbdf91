#include "Tests/LibGateway/SimulatedRequests.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace bramleyspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kService = "chat";
constexpr Duration kMessageDelay = milliseconds(2);
constexpr Duration kCheckTime = milliseconds(1);
constexpr Duration kHeartbeat = milliseconds(200);
constexpr Duration kDone = milliseconds(1200);
constexpr Duration kRetryDelay = milliseconds(50);
constexpr Duration kAttemptInterval = milliseconds(833);
constexpr int kAttempts = 12;
constexpr size_t kAllowedEnds = 3;
constexpr Duration kWindow = milliseconds(300);
constexpr size_t kMaxTargets = 2;
constexpr size_t kReportsPerMessage = 4;
constexpr size_t kMessagesAtOnce = 4;

struct Attempt {
  std::string digest;
  bool is_killing = false;
  bool is_retry = false;
  bool is_trial = false;
  size_t gateway = 0;
  TimePoint sent_at;
  std::set<size_t> tried;
};

struct Server {
  bool is_up = true;
  uint64_t life = 0;
  std::set<uint64_t> attempts;
};

class Day {
 public:
  explicit Day(const RequestDay& day)
      : day(day),
        random(day.seed),
        gateways(day.gateways, Quarantine{.rules = kRulesOfRequests}),
        servers(day.servers) {}

  RequestDayResult Run();

 private:
  void After(Duration delay, std::function<void()> event) {
    this->events.emplace(this->now + delay, std::move(event));
  }
  void Repeat(double rate, const std::function<void()>& event);
  void Begin(Attempt attempt);
  void Send(uint64_t id);
  void EndServer(size_t server, const std::string& killer);
  void HandleLost(uint64_t id, const TargetEnd& end);
  void Fail(uint64_t id);
  void Hold(size_t gateway, const std::vector<PartKey>& keys);
  void Report(size_t gateway, size_t messages);
  void StartKilling(size_t number);
  void FailZone();
  void Remove(uint64_t id);

  RequestDay day;
  RequestDayResult result;
  std::mt19937_64 random;
  TimePoint now{seconds(1000)};
  std::multimap<TimePoint, std::function<void()>> events;
  std::vector<Quarantine> gateways;
  std::vector<Server> servers;
  std::map<uint64_t, Attempt> attempts;
  uint64_t last_attempt = 0;
  // By digest of a killing request.
  std::map<std::string, std::vector<TimePoint>> killed;
};

void Day::Repeat(double rate, const std::function<void()>& event) {
  if (rate <= 0) {
    return;
  }
  const double wait = std::exponential_distribution<double>(rate)(this->random);
  this->After(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)),
      [this, rate, event] {
        event();
        this->Repeat(rate, event);
      });
}

void Day::Begin(Attempt attempt) {
  const uint64_t id = ++this->last_attempt;
  this->attempts.emplace(id, std::move(attempt));
  this->Send(id);
}

void Day::Remove(uint64_t id) {
  for (Server& server : this->servers) {
    server.attempts.erase(id);
  }
  this->attempts.erase(id);
}

void Day::Send(uint64_t id) {
  Attempt& attempt = this->attempts.at(id);
  Quarantine& quarantine = this->gateways[attempt.gateway];
  const PartDecision decision =
      AdmitParts(quarantine, kService, {attempt.digest}, this->now);
  if (decision.verdict == PartVerdict::kRejected) {
    this->result.sound_held += attempt.is_killing ? 0 : 1;
    this->attempts.erase(id);
    return;
  }
  std::vector<size_t> choices;
  for (size_t i = 0; i < this->servers.size(); ++i) {
    if (this->servers[i].is_up && !attempt.tried.contains(i)) {
      choices.push_back(i);
    }
  }
  if (choices.empty()) {
    this->attempts.erase(id);
    return;
  }
  attempt.is_trial = decision.verdict == PartVerdict::kTrial;
  if (attempt.is_trial) {
    RecordTrial(quarantine, kService, {attempt.digest}, this->now);
  }
  const size_t server = choices[this->random() % choices.size()];
  attempt.tried.insert(server);
  attempt.sent_at = this->now;
  this->servers[server].attempts.insert(id);
  if (attempt.is_killing) {
    const auto& ends = this->killed[attempt.digest];
    const bool is_late = ends.size() >= kAllowedEnds &&
                         this->now > ends[kAllowedEnds - 1] + kWindow;
    this->result.late += is_late ? 1 : 0;
  }
  const Duration takes = attempt.is_killing ? this->day.kills : kDone;
  this->After(takes, [this, id, server, life = this->servers[server].life] {
    if (this->servers[server].life != life ||
        !this->servers[server].attempts.contains(id)) {
      return;
    }
    const Attempt answered = this->attempts.at(id);
    if (answered.is_killing) {
      this->EndServer(server, answered.digest);
      return;
    }
    this->Remove(id);
    if (!RecordAnswer(this->gateways[answered.gateway], kService,
                      {answered.digest}, this->now)
             .empty()) {
      this->Report(answered.gateway, kMessagesAtOnce);
    }
  });
}

void Day::EndServer(size_t server, const std::string& killer) {
  Server& ended = this->servers[server];
  if (!ended.is_up) {
    return;
  }
  ++ended.life;
  ended.is_up = false;
  ++this->result.all_ends;
  if (!killer.empty()) {
    this->killed[killer].push_back(this->now);
  }
  this->After(this->day.down,
              [this, server] { this->servers[server].is_up = true; });
  const TargetEnd end{.target = std::to_string(server), .at = this->now};
  for (const uint64_t id : std::exchange(ended.attempts, {})) {
    this->After(kCheckTime, [this, id, end] { this->HandleLost(id, end); });
  }
}

void Day::HandleLost(uint64_t id, const TargetEnd& end) {
  const auto found = this->attempts.find(id);
  if (found == this->attempts.end()) {
    return;
  }
  const Attempt attempt = found->second;
  this->result.sound_lost += attempt.is_killing ? 0 : 1;
  Quarantine& quarantine = this->gateways[attempt.gateway];
  const auto held = RecordTargetEnd(
      quarantine, kService,
      {.target = end.target, .at = end.at, .sent_at = attempt.sent_at},
      {attempt.digest}, this->now);
  this->Report(attempt.gateway, kMessagesAtOnce);
  this->Hold(attempt.gateway, held);
  if (!this->attempts.contains(id)) {
    return;
  }
  if (!attempt.is_trial && attempt.tried.size() < kMaxTargets &&
      may_repeat(quarantine, kService, {attempt.digest})) {
    this->Send(id);
  } else {
    this->Fail(id);
  }
}

void Day::Fail(uint64_t id) {
  Attempt attempt = std::move(this->attempts.extract(id).mapped());
  if (attempt.is_killing || attempt.is_retry) {
    return;
  }
  attempt.is_retry = true;
  attempt.tried.clear();
  attempt.gateway = this->random() % this->gateways.size();
  this->After(kRetryDelay, [this, attempt] { this->Begin(attempt); });
}

void Day::Hold(size_t gateway, const std::vector<PartKey>& keys) {
  for (const PartKey& key : keys) {
    std::vector<uint64_t> held;
    for (const auto& [id, attempt] : this->attempts) {
      if (attempt.gateway == gateway && attempt.digest == key.part &&
          !attempt.is_trial) {
        held.push_back(id);
      }
    }
    for (const uint64_t id : held) {
      for (Server& server : this->servers) {
        server.attempts.erase(id);
      }
      this->Fail(id);
    }
  }
}

void Day::Report(size_t gateway, size_t messages) {
  Quarantine& quarantine = this->gateways[gateway];
  this->result.most_records =
      std::max(this->result.most_records, quarantine.records.size());
  for (size_t i = 0; i < messages; ++i) {
    const auto keys =
        TakePartReports(quarantine, kReportsPerMessage, this->now);
    if (keys.empty()) {
      return;
    }
    this->result.messages += this->gateways.size() - 1;
    std::vector<std::pair<PartKey, PartRecord>> reports;
    reports.reserve(keys.size());
    for (const PartKey& key : keys) {
      reports.emplace_back(key, quarantine.records.at(key));
    }
    for (size_t other = 0; other < this->gateways.size(); ++other) {
      const bool is_lost = std::uniform_real_distribution<double>(
                               0, 1)(this->random) < this->day.loss;
      if (other == gateway || is_lost) {
        continue;
      }
      this->After(kMessageDelay, [this, other, reports] {
        for (const auto& [key, record] : reports) {
          MergeResult merged =
              MergePart(this->gateways[other], key, record, this->now);
          if (merged.is_quarantined) {
            merged.quarantined_here.push_back(key);
          }
          this->Hold(other, merged.quarantined_here);
        }
      });
    }
  }
}

void Day::StartKilling(size_t number) {
  for (int i = 0; i < kAttempts; ++i) {
    this->After(i * kAttemptInterval, [this, number, i] {
      for (int copy = 0; copy <= (this->day.is_doubled ? 1 : 0); ++copy) {
        this->Begin({.digest = "killing-" + std::to_string(number),
                     .is_killing = true,
                     .gateway = (number + static_cast<size_t>(i + copy)) %
                                this->gateways.size()});
      }
    });
  }
}

void Day::FailZone() {
  const size_t first = this->random() % this->servers.size();
  for (size_t i = 0; i < this->servers.size() / 3; ++i) {
    const size_t server = (first + i) % this->servers.size();
    this->After(Duration(static_cast<int64_t>(
                    std::uniform_real_distribution<double>(0, 1)(this->random) *
                    static_cast<double>(this->day.spread.count()))),
                [this, server] { this->EndServer(server, ""); });
  }
}

RequestDayResult Day::Run() {
  const TimePoint end = this->now + this->day.run_time;
  this->Repeat(this->day.sound, [this] {
    ++this->result.sound;
    this->Begin({.digest = "sound-" + std::to_string(this->result.sound),
                 .gateway = this->random() % this->gateways.size()});
  });
  this->Repeat(this->day.random_ends, [this] {
    this->EndServer(this->random() % this->servers.size(), "");
  });
  const auto draw = [this] {
    return Duration(static_cast<int64_t>(
        std::uniform_real_distribution<double>(0.05, 0.7)(this->random) *
        static_cast<double>(this->day.run_time.count())));
  };
  for (size_t i = 0; i < this->day.killing; ++i) {
    // Half of them begin together.
    const Duration begins = i % 2 == 0 ? seconds(5) : draw();
    this->After(begins, [this, i] { this->StartKilling(i); });
  }
  for (size_t i = 0; i < this->day.zone_failures; ++i) {
    this->After(draw(), [this] { this->FailZone(); });
  }
  for (size_t gateway = 0; gateway < this->gateways.size(); ++gateway) {
    this->Repeat(1 / std::chrono::duration<double>(kHeartbeat).count(),
                 [this, gateway] { this->Report(gateway, 1); });
    if (this->day.is_rolling) {
      this->After(
          this->day.run_time * (gateway + 1) / (this->gateways.size() + 1),
          [this, gateway] {
            this->gateways[gateway] = {.rules = kRulesOfRequests};
          });
    }
  }
  while (!this->events.empty() && this->events.begin()->first < end) {
    const auto event = this->events.extract(this->events.begin());
    this->now = event.key();
    event.mapped()();
  }
  for (const auto& [digest, ends] : this->killed) {
    this->result.most_ends = std::max(this->result.most_ends, ends.size());
  }
  return this->result;
}

}  // namespace

RequestDayResult RunRequestDay(const RequestDay& day) {
  return Day(day).Run();
}

}  // namespace bramleyspan::gateway

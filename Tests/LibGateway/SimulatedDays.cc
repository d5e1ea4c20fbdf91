#include "Tests/LibGateway/SimulatedDays.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleyspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kService = "chat";
const std::string kBadPart = "dead";
constexpr Duration kMessageDelay = milliseconds(2);
constexpr Duration kHeartbeat = milliseconds(200);
constexpr Duration kAnswerBegins = milliseconds(250);
constexpr Duration kKills = milliseconds(300);
constexpr Duration kAnswered = milliseconds(750);
constexpr Duration kDone = milliseconds(1600);
constexpr Duration kWindow = seconds(3);
constexpr size_t kAllowedEnds = 5;
constexpr size_t kReportsPerMessage = 4;

struct Request {
  size_t gateway = 0;
  std::vector<std::string> parts;
  bool has_begun = false;
  bool is_answered = false;
  bool is_trial = false;
  std::set<size_t> tried;
};

struct Server {
  bool is_up = true;
  uint64_t life = 0;
  std::set<uint64_t> requests;
};

class Day {
 public:
  explicit Day(const SimulatedDay& day)
      : day(day),
        random(day.seed),
        gateways(day.gateways),
        servers(day.servers) {}

  DayResult Run();

 private:
  void At(TimePoint time, std::function<void()> event) {
    this->events.emplace(time, std::move(event));
  }
  void After(Duration delay, std::function<void()> event) {
    this->At(this->now + delay, std::move(event));
  }
  // Calls `event` at random times, `rate` times a second on average.
  void Repeat(double rate, const std::function<void()>& event);
  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }
  std::string DrawDocument();
  static bool is_bad(const Request& request) {
    return std::ranges::find(request.parts, kBadPart) != request.parts.end();
  }

  void Arrive(bool is_killing);
  void Send(uint64_t id);
  void ScheduleAnswer(uint64_t id, size_t server);
  void EndServer(size_t server, bool is_under_part);
  void FailZone();
  void HandleQuarantined(size_t gateway, const std::vector<PartKey>& parts);
  void Report(size_t gateway);
  void Remove(uint64_t id);

  SimulatedDay day;
  DayResult result;
  std::mt19937_64 random;
  TimePoint now{seconds(1000)};
  std::multimap<TimePoint, std::function<void()>> events;
  std::vector<Quarantine> gateways;
  std::vector<Server> servers;
  std::map<uint64_t, Request> requests;
  uint64_t last_request = 0;
  std::vector<TimePoint> killed;
  bool is_known = false;
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

std::string Day::DrawDocument() {
  // The number grows with the square of the draw, so that few are popular.
  const double draw = std::pow(this->Draw(), 3);
  return "document-" + std::to_string(static_cast<size_t>(
                           draw * static_cast<double>(this->day.documents)));
}

void Day::Arrive(bool is_killing) {
  Request request;
  request.gateway = this->random() % this->gateways.size();
  request.parts = {"first"};
  if (is_killing) {
    request.parts.push_back(kBadPart);
  }
  if (this->Draw() < this->day.with_document) {
    request.parts.push_back(this->DrawDocument());
  }
  ++(is_killing ? this->result.bad : this->result.sound);
  const uint64_t id = ++this->last_request;
  this->requests.emplace(id, std::move(request));
  this->Send(id);
}

void Day::Send(uint64_t id) {
  Request& request = this->requests.at(id);
  Quarantine& quarantine = this->gateways[request.gateway];
  const PartDecision decision =
      AdmitParts(quarantine, kService, request.parts, this->now);
  if (decision.verdict == PartVerdict::kRejected) {
    this->result.sound_rejected += is_bad(request) ? 0 : 1;
    this->requests.erase(id);
    return;
  }
  std::vector<size_t> choices;
  for (size_t i = 0; i < this->servers.size(); ++i) {
    if (this->servers[i].is_up && !request.tried.contains(i)) {
      choices.push_back(i);
    }
  }
  if (choices.empty()) {
    this->requests.erase(id);
    return;
  }
  if (decision.verdict == PartVerdict::kTrial) {
    request.is_trial = true;
    RecordTrial(quarantine, kService, request.parts, this->now);
    this->Report(request.gateway);
  }
  const size_t server = choices[this->random() % choices.size()];
  request.tried.insert(server);
  this->servers[server].requests.insert(id);
  if (is_bad(request)) {
    const bool is_late = this->killed.size() >= kAllowedEnds &&
                         this->now > this->killed[kAllowedEnds - 1] + kWindow;
    this->result.late += is_late ? 1 : 0;
    this->After(kKills, [this, id, server, life = this->servers[server].life] {
      if (this->servers[server].life == life &&
          this->servers[server].requests.contains(id)) {
        this->EndServer(server, true);
      }
    });
    return;
  }
  this->ScheduleAnswer(id, server);
}

void Day::ScheduleAnswer(uint64_t id, size_t server) {
  const auto if_there = [this, id, server](auto action) {
    return [this, id, server, action] {
      if (this->servers[server].requests.contains(id)) {
        action(this->requests.at(id));
      }
    };
  };
  this->After(kAnswerBegins, if_there([this](Request& request) {
                request.has_begun = true;
                this->HandleQuarantined(
                    request.gateway,
                    RecordAnswerBegin(this->gateways[request.gateway], kService,
                                      request.parts, this->now));
              }));
  this->After(kAnswered, if_there([this](Request& request) {
                request.is_answered = true;
                if (!RecordAnswer(this->gateways[request.gateway], kService,
                                  request.parts, this->now)
                         .empty()) {
                  this->Report(request.gateway);
                }
              }));
  this->After(kDone,
              if_there([this, id](const Request&) { this->Remove(id); }));
}

void Day::Remove(uint64_t id) {
  for (Server& server : this->servers) {
    server.requests.erase(id);
  }
  this->requests.erase(id);
}

void Day::EndServer(size_t server, bool is_under_part) {
  Server& ended = this->servers[server];
  if (!ended.is_up) {
    return;
  }
  ++ended.life;
  ended.is_up = false;
  this->After(this->day.down,
              [this, server] { this->servers[server].is_up = true; });
  if (is_under_part) {
    this->killed.push_back(this->now);
    ++this->result.ends_under_part;
    this->result.ends_until_known += this->is_known ? 0 : 1;
  } else {
    ++this->result.other_ends;
  }
  const auto lost = std::exchange(ended.requests, {});
  const TargetEnd end{.target = std::to_string(server), .at = this->now};
  for (const uint64_t id : lost) {
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) {
      continue;
    }
    const Request& request = found->second;
    const auto quarantined = RecordTargetEnd(
        this->gateways[request.gateway], kService, end,
        request.is_answered ? std::vector<std::string>() : request.parts,
        this->now);
    const size_t gateway = request.gateway;
    this->Report(gateway);
    this->HandleQuarantined(gateway, quarantined);
  }
  for (const uint64_t id : lost) {
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) {
      continue;
    }
    const Request& request = found->second;
    const bool is_repeated =
        !request.is_trial && request.tried.size() < 2 &&
        may_repeat(this->gateways[request.gateway], kService, request.parts);
    if (is_repeated) {
      this->Send(id);
    } else {
      this->requests.erase(id);
    }
  }
}

void Day::FailZone() {
  const size_t first = this->random() % this->servers.size();
  for (size_t i = 0; i < this->servers.size() / 3; ++i) {
    const size_t server = (first + i) % this->servers.size();
    this->After(
        Duration(static_cast<int64_t>(
            this->Draw() * static_cast<double>(this->day.spread.count()))),
        [this, server] { this->EndServer(server, false); });
  }
}

void Day::HandleQuarantined(size_t gateway, const std::vector<PartKey>& parts) {
  for (const PartKey& key : parts) {
    if (key.part == kBadPart) {
      this->is_known = true;
    } else {
      this->result.sound_parts.insert(key.part);
    }
    std::vector<uint64_t> withdrawn;
    for (const auto& [id, request] : this->requests) {
      if (request.gateway == gateway && !request.has_begun &&
          !request.is_trial &&
          std::ranges::find(request.parts, key.part) != request.parts.end()) {
        withdrawn.push_back(id);
      }
    }
    for (const uint64_t id : withdrawn) {
      this->result.sound_rejected += is_bad(this->requests.at(id)) ? 0 : 1;
      this->Remove(id);
    }
  }
  if (!parts.empty()) {
    this->Report(gateway);
  }
}

void Day::Report(size_t gateway) {
  for (const PartKey& key : TakePartReports(this->gateways[gateway],
                                            kReportsPerMessage, this->now)) {
    const PartRecord record = this->gateways[gateway].records.at(key);
    for (size_t other = 0; other < this->gateways.size(); ++other) {
      if (other == gateway || this->Draw() < this->day.loss) {
        continue;
      }
      this->After(kMessageDelay, [this, other, key, record] {
        MergeResult merged =
            MergePart(this->gateways[other], key, record, this->now);
        if (merged.is_quarantined) {
          merged.quarantined_here.push_back(key);
        }
        this->HandleQuarantined(other, merged.quarantined_here);
        if (merged.is_refuted) {
          this->Report(other);
        }
      });
    }
  }
}

DayResult Day::Run() {
  const TimePoint begin = this->now;
  const TimePoint end = begin + this->day.run_time;
  this->Repeat(this->day.sound, [this] { this->Arrive(false); });
  this->After(this->day.calm, [this] {
    this->Repeat(this->day.bad, [this] { this->Arrive(true); });
    this->Repeat(this->day.random_ends, [this] {
      this->EndServer(this->random() % this->servers.size(), false);
    });
  });
  const Duration span = this->day.run_time - this->day.calm;
  for (size_t i = 0; i < this->day.zone_failures; ++i) {
    this->At(begin + this->day.calm +
                 Duration(static_cast<int64_t>(
                     this->Draw() * static_cast<double>(span.count()))),
             [this] { this->FailZone(); });
  }
  for (size_t gateway = 0; gateway < this->gateways.size(); ++gateway) {
    this->Repeat(1 / std::chrono::duration<double>(kHeartbeat).count(),
                 [this, gateway] { this->Report(gateway); });
    if (this->day.is_rolling) {
      this->At(begin + this->day.run_time * (gateway + 1) /
                           (this->gateways.size() + 1),
               [this, gateway] { this->gateways[gateway] = {}; });
    }
  }
  while (!this->events.empty() && this->events.begin()->first < end) {
    const auto event = this->events.extract(this->events.begin());
    this->now = event.key();
    event.mapped()();
  }
  return this->result;
}

}  // namespace

DayResult RunDay(const SimulatedDay& day) {
  return Day(day).Run();
}

}  // namespace bramleyspan::gateway

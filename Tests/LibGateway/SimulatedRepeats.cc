#include "SimulatedRepeats.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace bramleyspan::gateway {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kHeartbeat = std::chrono::milliseconds(200);
// Gateways report repeats this long after the first one that is not reported.
constexpr Duration kReportDelay = std::chrono::milliseconds(50);
// A gateway counts as running for this long after it was last heard.
constexpr Duration kCountedFor = std::chrono::seconds(12);
// The store lists a gateway for this long after it has ended.
constexpr Duration kListedFor = std::chrono::seconds(45);
// In larger fleets gateways don't report to each other.
constexpr size_t kMaxReportingGateways = 13;
constexpr const char* kService = "a";

// One life of a gateway's process.
struct Gateway {
  size_t number = 0;
  bool is_draining = false;
  RepeatBudget budget;
  // When each other gateway was last heard.
  std::map<size_t, TimePoint> heard;
  std::optional<TimePoint> reports_at;
};

std::string NameOf(size_t number) {
  return "gateway-" + std::to_string(number);
}

class Fleet {
 public:
  explicit Fleet(const SimulatedRepeats& settings)
      : settings(settings), random(settings.seed) {}

  RepeatsResult Run() {
    this->now = kBegin;
    for (size_t number = 0; number < this->settings.gateways; ++number) {
      this->Start(number);
    }
    const TimePoint end = kBegin + this->settings.run_time;
    for (this->now = kBegin; this->now < end; this->now += kStep) {
      this->ApplyEvents();
      this->SendHeartbeats();
      this->HandleRequests();
      this->SendWaiting();
    }
    return this->Judge();
  }

 private:
  static constexpr TimePoint kBegin = TimePoint(std::chrono::hours(1));

  void Start(size_t number) {
    Gateway gateway;
    gateway.number = number;
    gateway.budget.settings = {.ratio = this->settings.ratio,
                               .slack = this->settings.slack,
                               .window = std::chrono::seconds(10)};
    StartRepeats(gateway.budget, NameOf(number), this->random(),
                 this->now == kBegin, this->now);
    this->running[number] = std::make_unique<Gateway>(std::move(gateway));
  }

  bool is_now(Duration at) const { return this->now == kBegin + at; }

  void ApplyEvents() {
    for (const FleetEvent& event : this->settings.events) {
      for (const size_t number : event.gateways) {
        this->Apply(event, number);
      }
    }
  }

  void Apply(const FleetEvent& event, size_t number) {
    switch (event.kind) {
      case FleetEvent::Kind::kKilled:
        if (this->is_now(event.at)) {
          this->running.erase(number);
        } else if (this->is_now(event.at + event.down)) {
          this->Start(number);
        }
        return;
      case FleetEvent::Kind::kDrained:
        if (this->is_now(event.at)) {
          this->running.at(number)->is_draining = true;
        } else if (this->is_now(event.at + event.down)) {
          this->running.at(number)->budget.own.is_final = true;
          this->Send(*this->running.at(number));
          this->running.erase(number);
          this->Start(number);
        }
        return;
      case FleetEvent::Kind::kAdded:
        if (this->is_now(event.at)) {
          this->Start(number);
        }
        return;
      case FleetEvent::Kind::kCutOff:
        if (this->is_now(event.at)) {
          this->cut_off.insert(number);
        } else if (this->is_now(event.at + event.down)) {
          this->cut_off.erase(number);
        }
        return;
      case FleetEvent::Kind::kUnheard:
        if (this->is_now(event.at)) {
          this->unheard.insert(number);
        } else if (this->is_now(event.at + event.down)) {
          this->unheard.erase(number);
        }
        return;
    }
  }

  bool is_delivered(size_t from, size_t to) {
    return this->cut_off.contains(from) == this->cut_off.contains(to) &&
           !this->unheard.contains(from) && this->Draw() >= this->settings.loss;
  }

  void SendHeartbeats() {
    const auto since = this->now - kBegin;
    for (auto& [number, gateway] : this->running) {
      this->last_running[number] = this->now;
      // Gateways send at moments of their own.
      const bool is_heartbeat =
          (since + kStep * number) % kHeartbeat == Duration(0);
      const bool is_report =
          gateway->reports_at && *gateway->reports_at <= this->now;
      if (is_heartbeat || is_report) {
        gateway->reports_at.reset();
        this->Send(*gateway);
      }
    }
  }

  void Send(Gateway& from) {
    RemoveOldRepeats(from.budget, this->now);
    const bool is_reporting = this->running.size() <= kMaxReportingGateways;
    const RepeatRecord record = is_reporting
                                    ? DescribeOwnRepeats(from.budget, this->now)
                                    : RepeatRecord{};
    for (auto& [number, to] : this->running) {
      if (number == from.number || !this->is_delivered(from.number, number)) {
        continue;
      }
      to->heard[from.number] = this->now;
      if (is_reporting) {
        this->Receive(*to, from, record);
      }
    }
  }

  // Merges a report, and tells its sender all if that knows less.
  void Receive(Gateway& to, Gateway& from, RepeatRecord record) {
    const auto known = from.budget.others.find(to.budget.own.incarnation);
    record.hears_us =
        known != from.budget.others.end() && is_heard(known->second, this->now);
    MergeRepeats(to.budget, record, true, this->now);
    const bool knows_more = !is_window_known(from.budget, this->now) &&
                            is_window_known(to.budget, this->now);
    if (!knows_more || !this->is_delivered(to.number, from.number)) {
      return;
    }
    for (const auto& [incarnation, other] : to.budget.others) {
      MergeRepeats(from.budget, other, false, this->now);
    }
    MergeRepeats(from.budget, DescribeOwnRepeats(to.budget, this->now), false,
                 this->now);
    LearnRepeatsSince(from.budget, to.budget.known_since);
  }

  std::set<std::string> OthersOf(const Gateway& gateway) const {
    std::set<std::string> others;
    for (const auto& [number, heard_at] : gateway.heard) {
      if (this->now - heard_at <= kCountedFor) {
        others.insert(NameOf(number));
      }
    }
    for (const auto& [number, ran_at] : this->last_running) {
      if (number != gateway.number && this->now - ran_at <= kListedFor) {
        others.insert(NameOf(number));
      }
    }
    return others;
  }

  void HandleRequests() {
    std::vector<Gateway*> open;
    for (auto& [number, gateway] : this->running) {
      if (!gateway->is_draining) {
        open.push_back(gateway.get());
      }
    }
    this->owed +=
        this->settings.rate * std::chrono::duration<double>(kStep).count();
    const bool is_failing = this->now >= kBegin + this->settings.errors_from;
    for (; this->owed >= 1; this->owed -= 1) {
      this->requests.push_back(this->now);
      if (open.empty()) {
        continue;
      }
      Gateway& gateway = *open[this->random() % open.size()];
      RecordRequest(gateway.budget, kService, this->now);
      if (is_failing && this->Draw() < this->settings.failing) {
        ++this->wanted;
        if (ReserveRepeat(gateway.budget, kService, this->OthersOf(gateway),
                          this->now)
                .has_repeat) {
          this->waiting.emplace_back(gateway.number,
                                     gateway.budget.own.incarnation);
        }
      }
    }
  }

  // Sends the repeats that were allowed; those of a gateway that was killed are
  // lost.
  void SendWaiting() {
    const TimePoint errors_from = kBegin + this->settings.errors_from;
    if (this->now < errors_from + this->settings.hold) {
      return;
    }
    for (const auto& [number, incarnation] : this->waiting) {
      const auto found = this->running.find(number);
      if (found == this->running.end() ||
          found->second->budget.own.incarnation != incarnation) {
        continue;
      }
      Gateway& gateway = *found->second;
      RecordRepeatSent(gateway.budget, kService, this->now);
      gateway.reports_at =
          gateway.reports_at.value_or(this->now + kReportDelay);
      this->repeats.push_back(this->now);
    }
    this->waiting.clear();
  }

  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  static double CountBetween(const std::vector<TimePoint>& times,
                             TimePoint from,
                             TimePoint to) {
    return static_cast<double>(std::ranges::lower_bound(times, to) -
                               std::ranges::lower_bound(times, from));
  }

  // What is allowed in a window is that of the users: by the requests of the
  // window, of the one before it or of the one half a window before it.
  RepeatsResult Judge() const {
    constexpr Duration kWindow = std::chrono::seconds(10);
    RepeatsResult result{.repeats = this->repeats.size(),
                         .wanted = this->wanted};
    double worst = -1e9;
    for (const TimePoint from : this->repeats) {
      const double sent = CountBetween(this->repeats, from, from + kWindow);
      const double requests =
          std::max({CountBetween(this->requests, from, from + kWindow),
                    CountBetween(this->requests, from - kWindow, from),
                    CountBetween(this->requests, from - kWindow / 2,
                                 from + kWindow / 2)});
      const double allowed =
          this->settings.ratio * requests + this->settings.slack;
      result.broken_windows += sent > allowed ? 1 : 0;
      result.used = std::max(result.used, sent / allowed);
      if (sent - allowed > worst) {
        worst = sent - allowed;
        result.most = static_cast<size_t>(sent);
        result.allowed_then = allowed;
        result.most_at = from - kBegin;
      }
    }
    return result;
  }

  SimulatedRepeats settings;
  std::mt19937_64 random;
  TimePoint now;
  std::map<size_t, std::unique_ptr<Gateway>> running;
  std::set<size_t> cut_off;
  std::set<size_t> unheard;
  // By gateway: when it was last running.
  std::map<size_t, TimePoint> last_running;
  double owed = 0;
  size_t wanted = 0;
  // Gateways of the repeats that were allowed and not sent yet, and their
  // incarnations.
  std::vector<std::pair<size_t, uint64_t>> waiting;
  std::vector<TimePoint> requests;
  std::vector<TimePoint> repeats;
};

}  // namespace

RepeatsResult Play(const SimulatedRepeats& fleet) {
  return Fleet(fleet).Run();
}

}  // namespace bramleyspan::gateway

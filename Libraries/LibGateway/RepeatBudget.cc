#include "LibGateway/RepeatBudget.h"

#include <algorithm>

namespace bramleyspan::gateway {

namespace {

// The fraction of the budget that is used. Repeats arrive at targets a little
// later than they are counted here, and reports take a moment.
constexpr double kUsableFraction = 0.8;

// The fraction of the own requests' repeats that is used while the window holds
// repeats that are not known: at most as much as the usable fraction leaves.
constexpr double kUnknownFraction = 0.15;

// A gateway spends its share in no less than this, in seconds, even if the
// requests of the others are not known.
constexpr double kShareSpentIn = 4;

// A gateway without a report for this long is not heard: three heartbeats.
constexpr Duration kHeardFor = std::chrono::milliseconds(700);

// Repeats of this age are known to all that hear this gateway: two heartbeats.
constexpr Duration kReportedAfter = std::chrono::milliseconds(400);

Duration SliceOf(const RepeatBudgetSettings& settings) {
  return settings.window / kSlicesPerWindow;
}

// Sums of all incarnations of one gateway.
struct GatewaySum {
  double requests = 0;
  double repeats = 0;
  // Whether it is heard, and hears this gateway as well.
  bool is_sharing = false;
  bool is_heard = false;
  // How long an incarnation may have repeated more than it reported.
  Duration unreported{};
  bool has_record = false;
  // The latest incarnation that is known, and whether it has ended.
  TimePoint last_started;
  bool has_ended = false;
};

const RepeatHistory* FindHistory(const RepeatRecord& record,
                                 const std::string& service) {
  const auto found = record.services.find(service);
  return found == record.services.end() ? nullptr : &found->second;
}

void Add(GatewaySum& sum,
         const RepeatRecord& record,
         const std::string& service,
         TimePoint now) {
  const RepeatHistory* history = FindHistory(record, service);
  if (history != nullptr) {
    sum.requests += RequestsInWindow(*history, now);
    sum.repeats += RepeatsInWindow(*history, now);
  }
}

// Returns when the incarnation ended at the latest: when a later one of the
// same gateway started.
TimePoint EndOf(const RepeatBudget& budget,
                const RepeatRecord& record,
                TimePoint now) {
  TimePoint end = now;
  if (record.gateway == budget.own.gateway) {
    end = budget.own.started_at;
  }
  for (const auto& [incarnation, other] : budget.others) {
    const bool is_later =
        other.gateway == record.gateway && other.started_at > record.started_at;
    end = is_later ? std::min(end, other.started_at) : end;
  }
  return end;
}

std::map<std::string, GatewaySum> SumByGateway(
    const RepeatBudget& budget,
    const std::string& service,
    const std::set<std::string>& others,
    TimePoint now) {
  std::map<std::string, GatewaySum> sums;
  for (const std::string& gateway : others) {
    sums[gateway];
  }
  sums.erase(budget.own.gateway);
  for (const auto& [incarnation, record] : budget.others) {
    GatewaySum& sum = sums[record.gateway];
    Add(sum, record, service, now);
    sum.has_record = true;
    if (record.started_at >= sum.last_started) {
      sum.last_started = record.started_at;
      sum.has_ended = record.is_final &&
                      now - record.written_at < CountedFor(budget.settings);
    }
    if (is_heard(record, now)) {
      sum.is_heard = true;
      sum.is_sharing = sum.is_sharing || record.hears_us;
    } else if (!record.is_final) {
      const TimePoint end = EndOf(budget, record, now);
      if (now - end < CountedFor(budget.settings)) {
        sum.unreported = std::max(sum.unreported, end - record.written_at);
      }
    }
  }
  return sums;
}

// Returns how many repeats a gateway may send, or may have sent, beyond those
// that are known here. `busiest` are the requests of the busiest one.
double WithheldFor(const RepeatBudgetSettings& settings,
                   const GatewaySum& sum,
                   bool is_own,
                   size_t gateways,
                   double busiest) {
  const double share =
      kUsableFraction * (settings.ratio * sum.requests +
                         settings.slack / static_cast<double>(gateways));
  // Without a record, or while it does not hear this gateway, it uses its
  // share.
  const bool is_using_share = !is_own && !sum.is_sharing && !sum.has_ended &&
                              (sum.is_heard || !sum.has_record);
  // An incarnation repeats no faster than requests fail there.
  const double rate =
      std::max(busiest / std::chrono::duration<double>(settings.window).count(),
               share / kShareSpentIn);
  const double most =
      is_using_share
          ? share
          : rate * std::chrono::duration<double>(sum.unreported).count();
  return std::clamp(share - sum.repeats, 0.0, most);
}

RepeatHistory& OwnHistory(RepeatBudget& budget, const std::string& service) {
  RepeatHistory& history = budget.own.services[service];
  history.slice = SliceOf(budget.settings);
  return history;
}

}  // namespace

Duration CountedFor(const RepeatBudgetSettings& settings) {
  return SliceOf(settings) * (kSlicesPerWindow + kMarginSlices + 1);
}

void ChangeSettings(RepeatBudget& budget,
                    const RepeatBudgetSettings& settings,
                    TimePoint now) {
  if (settings.window != budget.settings.window) {
    budget.own.services.clear();
    budget.others.clear();
    budget.known_since = now;
  }
  budget.settings = settings;
}

void StartRepeats(RepeatBudget& budget,
                  const std::string& gateway,
                  uint64_t incarnation,
                  bool is_first_start,
                  TimePoint now) {
  budget.own = {.gateway = gateway,
                .incarnation = incarnation,
                .started_at = now,
                .written_at = now};
  budget.known_since =
      is_first_start ? now - 2 * CountedFor(budget.settings) : now;
}

void RecordRequest(RepeatBudget& budget,
                   const std::string& service,
                   TimePoint now) {
  CountRequest(OwnHistory(budget, service), now);
}

RepeatUse FindRepeatUse(const RepeatBudget& budget,
                        const std::string& service,
                        const std::set<std::string>& others,
                        TimePoint now) {
  const RepeatBudgetSettings& settings = budget.settings;
  const auto sums = SumByGateway(budget, service, others, now);
  GatewaySum own;
  Add(own, budget.own, service, now);
  const auto reserved = budget.reserved.find(service);
  const uint32_t waiting =
      reserved == budget.reserved.end() ? 0 : reserved->second;
  own.repeats += waiting;
  RepeatUse use{
      .requests = static_cast<uint32_t>(own.requests),
      .own_repeats = static_cast<uint32_t>(own.repeats),
      .repeats = static_cast<uint32_t>(own.repeats),
      .gateways = sums.size() + (sums.contains(budget.own.gateway) ? 0 : 1),
      .is_known = is_window_known(budget, now)};
  if (!use.is_known) {
    use.allowed = kUnknownFraction * settings.ratio * own.requests;
    use.has_repeat = own.repeats + 1 <= use.allowed;
    return use;
  }
  double requests = own.requests;
  double repeats = own.repeats;
  double busiest = own.requests;
  for (const auto& [gateway, sum] : sums) {
    requests += sum.requests;
    repeats += sum.repeats;
    busiest = std::max(busiest, sum.requests);
    use.sharing += sum.is_sharing ? 1 : 0;
  }
  double withheld = 0;
  for (const auto& [gateway, sum] : sums) {
    const bool is_own = gateway == budget.own.gateway;
    withheld += WithheldFor(settings, sum, is_own, use.gateways, busiest);
  }
  use.requests = static_cast<uint32_t>(requests);
  use.repeats = static_cast<uint32_t>(repeats);
  use.allowed =
      kUsableFraction * (settings.ratio * requests + settings.slack) - withheld;
  const auto recent = budget.recent.find(service);
  double unreported = waiting;
  if (recent != budget.recent.end()) {
    unreported += static_cast<double>(std::ranges::count_if(
        recent->second,
        [now](TimePoint at) { return now - at < kReportedAfter; }));
  }
  // The others may take as many at this moment.
  const double left = use.allowed - repeats + unreported;
  use.has_repeat = unreported + 1 <= left / static_cast<double>(use.sharing);
  return use;
}

RepeatUse ReserveRepeat(RepeatBudget& budget,
                        const std::string& service,
                        const std::set<std::string>& others,
                        TimePoint now) {
  const RepeatUse use = FindRepeatUse(budget, service, others, now);
  if (use.has_repeat) {
    ++budget.reserved[service];
  }
  return use;
}

void RecordRepeatSent(RepeatBudget& budget,
                      const std::string& service,
                      TimePoint now) {
  ReleaseRepeat(budget, service);
  CountRepeat(OwnHistory(budget, service), now);
  auto& recent = budget.recent[service];
  while (!recent.empty() && now - recent.front() >= kReportedAfter) {
    recent.pop_front();
  }
  recent.push_back(now);
}

void ReleaseRepeat(RepeatBudget& budget, const std::string& service) {
  const auto found = budget.reserved.find(service);
  if (found != budget.reserved.end() && --found->second == 0) {
    budget.reserved.erase(found);
  }
}

RepeatRecord DescribeOwnRepeats(const RepeatBudget& budget, TimePoint now) {
  RepeatBudget copy{.settings = budget.settings, .own = budget.own};
  for (const auto& [service, waiting] : budget.reserved) {
    for (uint32_t i = 0; i < waiting; ++i) {
      CountRepeat(OwnHistory(copy, service), now);
    }
  }
  std::erase_if(copy.own.services, [now](const auto& item) {
    return RepeatsInWindow(item.second, now) == 0;
  });
  copy.own.written_at = now;
  return copy.own;
}

bool is_heard(const RepeatRecord& record, TimePoint now) {
  return record.heard_at != TimePoint{} && now - record.heard_at <= kHeardFor;
}

void MergeRepeats(RepeatBudget& budget,
                  const RepeatRecord& record,
                  bool is_direct,
                  TimePoint now) {
  if (record.incarnation == budget.own.incarnation) {
    return;
  }
  const auto found = budget.others.find(record.incarnation);
  const bool is_known = found != budget.others.end();
  if (is_known && record.written_at < found->second.written_at) {
    return;
  }
  RepeatRecord merged = record;
  merged.heard_at = TimePoint{};
  merged.hears_us = false;
  if (is_direct) {
    merged.heard_at = now;
    merged.hears_us = record.hears_us;
  } else if (is_known) {
    merged.heard_at = found->second.heard_at;
    merged.hears_us = found->second.hears_us;
  }
  budget.others[record.incarnation] = std::move(merged);
}

bool LearnRepeatsSince(RepeatBudget& budget, TimePoint known_since) {
  if (known_since >= budget.known_since) {
    return false;
  }
  budget.known_since = known_since;
  return true;
}

bool is_window_known(const RepeatBudget& budget, TimePoint now) {
  return now - budget.known_since >= CountedFor(budget.settings);
}

void RemoveOldRepeats(RepeatBudget& budget, TimePoint now) {
  std::erase_if(budget.others, [&budget, now](const auto& item) {
    return now - item.second.written_at > 2 * CountedFor(budget.settings);
  });
}

}  // namespace bramleyspan::gateway

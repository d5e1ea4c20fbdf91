#include "StandIns/Soak/Plan.h"

#include <algorithm>
#include <iomanip>
#include <random>
#include <sstream>

namespace bramleyspan::standins {

namespace {

using std::chrono::milliseconds;

// The bound of a stop, and the time that a process takes to start.
constexpr milliseconds kStopBound(8000);
constexpr milliseconds kStartTime(600);
constexpr milliseconds kFirstStep(2500);
// Time from one stand of the group to the next: callers leave streams that
// pause for two seconds.
constexpr milliseconds kBetweenStands(3500);

// Draws that are equal with every standard library.
struct Draws {
  std::mt19937_64 source;

  int From(int first, int last) {
    const auto count = static_cast<uint64_t>(last - first) + 1;
    return first + static_cast<int>(this->source() % count);
  }
  milliseconds Between(int first, int last) {
    return milliseconds(this->From(first, last));
  }
  bool IsOneIn(int count) { return this->From(1, count) == 1; }
  template <typename T>
  T OneOf(const std::vector<T>& values) {
    return values[static_cast<size_t>(
        this->From(0, static_cast<int>(values.size()) - 1))];
  }
};

struct Drawing {
  Draws draws;
  Plan plan;
  // Until when each gateway and each rank's agent may be stopping or starting.
  std::vector<milliseconds> gateway_busy;
  std::vector<milliseconds> rank_busy;
};

void Add(Drawing& drawing, Step step) {
  drawing.plan.steps.push_back(std::move(step));
}

// Returns a process that runs at this time, counted from 1, or 0 if none does.
int DrawFree(Draws& draws,
             const std::vector<milliseconds>& busy,
             milliseconds at) {
  std::vector<int> free;
  for (size_t i = 0; i < busy.size(); ++i) {
    if (busy[i] <= at) {
      free.push_back(static_cast<int>(i) + 1);
    }
  }
  return free.empty() ? 0 : draws.OneOf(free);
}

// Stops a gateway that runs at this time, if one does. Returns which.
int StopGateway(Drawing& drawing, milliseconds at) {
  Draws& draws = drawing.draws;
  const int number = DrawFree(draws, drawing.gateway_busy, at);
  if (number == 0) {
    return 0;
  }
  Step step{.at = at,
            .act = Act::kStopGateway,
            .number = number,
            .wait = draws.Between(50, 1200)};
  milliseconds busy = at + kStopBound + step.wait + kStartTime;
  if (draws.IsOneIn(4)) {
    step.is_stopped_at_start = true;
    step.stop_after_start = draws.Between(20, 1500);
    busy += step.stop_after_start + kStopBound + step.wait + kStartTime;
  }
  drawing.gateway_busy[static_cast<size_t>(number) - 1] = busy;
  Add(drawing, step);
  return number;
}

void StopRank(Drawing& drawing, milliseconds at) {
  Draws& draws = drawing.draws;
  const int number = DrawFree(draws, drawing.rank_busy, at);
  if (number == 0) {
    return;
  }
  const milliseconds wait = draws.Between(50, 1500);
  drawing.rank_busy[static_cast<size_t>(number) - 1] =
      at + kStopBound + wait + kStartTime;
  Add(drawing,
      {.at = at, .act = Act::kStopRank, .number = number, .wait = wait});
}

// What the signals of one scene are: one after the other, at once, twice the
// same, or a reload within.
milliseconds AddSignals(Drawing& drawing, milliseconds at) {
  Draws& draws = drawing.draws;
  const int gateway = StopGateway(drawing, at);
  switch (draws.From(0, 4)) {
    case 0:
      StopGateway(drawing, at + draws.Between(0, 5));
      break;
    case 1: {
      const int more = draws.From(1, drawing.plan.gateways - 1);
      for (int i = 0; i < more; ++i) {
        at += draws.Between(400, 4500);
        StopGateway(drawing, at);
      }
      break;
    }
    case 2:
      Add(drawing, {.at = at + draws.Between(1, 6500),
                    .act = Act::kSignalAgain,
                    .number = gateway});
      break;
    case 3:
      Add(drawing, {.at = at + draws.Between(1, 6500),
                    .act = Act::kReload,
                    .number = gateway});
      break;
    default:
      break;
  }
  std::erase_if(drawing.plan.steps, [](const Step& step) {
    const bool is_signal =
        step.act == Act::kSignalAgain || step.act == Act::kReload;
    return is_signal && step.number == 0;
  });
  return at;
}

// Adds something that goes on beside the signals.
void AddTrouble(Drawing& drawing, milliseconds at) {
  Draws& draws = drawing.draws;
  at += draws.Between(-1000, 6000);
  switch (draws.From(0, 4)) {
    case 0:
      Add(drawing,
          {.at = at,
           .act = Act::kStore,
           .word = draws.OneOf<std::string>({"down", "silent", "losing"}),
           .wait = draws.Between(1000, 5000)});
      break;
    case 1:
      Add(drawing, {.at = at,
                    .act = Act::kGroup,
                    .word = "broken",
                    .wait = draws.Between(500, 1500)});
      break;
    case 2: {
      const int count = draws.From(1, 3);
      for (int i = 0; i < count; ++i) {
        Add(drawing, {.at = at + i * kBetweenStands,
                      .act = Act::kPause,
                      .wait = draws.Between(700, 1200)});
      }
      break;
    }
    case 3:
      Add(drawing, {.at = at, .act = Act::kConfigure});
      break;
    default:
      StopRank(drawing, at);
      break;
  }
}

// Removes the stands that begin too soon after another one; the steps are by
// time.
void SpaceStands(Plan& plan) {
  milliseconds next = kFirstStep - kBetweenStands;
  std::erase_if(plan.steps, [&next](const Step& step) {
    if (step.act != Act::kPause) {
      return false;
    }
    if (step.at < next) {
      return true;
    }
    next = step.at + kBetweenStands;
    return false;
  });
}

std::string Flag(const std::string& name, int value) {
  return "--" + name + "=" + std::to_string(value);
}

void AddCallers(Drawing& drawing,
                const std::string& name,
                int most,
                std::vector<std::string> flags) {
  flags.push_back(Flag("callers", drawing.draws.From(1, most)));
  flags.push_back("--prefix=" + name);
  drawing.plan.callers.push_back({name, std::move(flags)});
}

void DrawCallers(Drawing& drawing) {
  Draws& draws = drawing.draws;
  const auto limit = static_cast<int>(drawing.plan.time_limit.count());
  // Who waits that long has met a request that nobody ends.
  const std::string patient = Flag("leave_milliseconds", limit + 2000);
  const std::string kept = "--keep_connections";
  AddCallers(drawing, "new", 6, {patient});
  AddCallers(drawing, "kept", 8, {patient, kept});
  AddCallers(drawing, "slowbody", 4,
             {patient, Flag("body_milliseconds", draws.From(200, 2000))});
  AddCallers(drawing, "keptbody", 4,
             {patient, kept, Flag("body_milliseconds", draws.From(200, 2000))});
  AddCallers(drawing, "reader", 3,
             {patient, kept, "--plain_every=1", "--plain_path=/issue/long",
              Flag("bytes_per_second", draws.From(200'000, 800'000))});
  AddCallers(drawing, "slowstream", 3,
             {patient, "--plain_every=0",
              Flag("bytes_per_second", draws.From(800, 3000))});
  AddCallers(drawing, "old", 3, {patient, "--old_protocol"});
  AddCallers(drawing, "leaver", 3,
             {kept, Flag("leave_milliseconds", draws.From(100, 3000))});
}

// Returns a time limit within which a stream ends, if its group stands once.
milliseconds DrawTimeLimit(Draws& draws, milliseconds pass) {
  constexpr int kEventsOfStream = 20;
  constexpr milliseconds kSlack(1500);
  std::vector<milliseconds> limits;
  for (const int limit : {5000, 8000, 12000}) {
    if (milliseconds(limit) > kEventsOfStream * pass + kSlack) {
      limits.emplace_back(limit);
    }
  }
  return draws.OneOf(limits);
}

std::string_view NameOf(Act act) {
  switch (act) {
    case Act::kStopGateway:
      return "SIGTERM to gateway";
    case Act::kStopRank:
      return "SIGTERM to rank";
    case Act::kSignalAgain:
      return "SIGTERM again to gateway";
    case Act::kReload:
      return "SIGHUP to gateway";
    case Act::kStore:
      return "store";
    case Act::kGroup:
      return "group";
    case Act::kPause:
      return "group stands";
    case Act::kConfigure:
      return "new desired state";
  }
  return "";
}

std::string InSeconds(milliseconds time) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(3)
       << std::chrono::duration<double>(time).count();
  return text.str();
}

}  // namespace

Plan DrawPlan(uint64_t seed, std::chrono::seconds length) {
  Drawing drawing{.draws = {.source = std::mt19937_64(seed)}};
  Draws& draws = drawing.draws;
  Plan& plan = drawing.plan;
  plan.seed = seed;
  plan.end = length;
  plan.gateways = draws.From(2, 4);
  plan.ranks = draws.From(2, 4);
  plan.pass = draws.Between(80, 300);
  plan.work = draws.Between(20, 200);
  plan.time_limit = DrawTimeLimit(draws, plan.pass);
  drawing.gateway_busy.resize(static_cast<size_t>(plan.gateways));
  drawing.rank_busy.resize(static_cast<size_t>(plan.ranks));
  DrawCallers(drawing);
  for (milliseconds at = kFirstStep; at < plan.end;
       at += draws.Between(2500, 9000)) {
    const int troubles = draws.From(0, 2);
    for (int i = 0; i < troubles; ++i) {
      AddTrouble(drawing, at);
    }
    at = AddSignals(drawing, at);
  }
  // Some of the trouble goes on beside the last stop of all.
  std::erase_if(plan.steps, [&plan](const Step& step) {
    return step.at > plan.end + kStopBound;
  });
  std::ranges::stable_sort(plan.steps, {}, &Step::at);
  SpaceStands(plan);
  return plan;
}

std::string Describe(const Step& step) {
  std::ostringstream line;
  line << InSeconds(step.at) << " " << NameOf(step.act);
  if (step.number != 0) {
    line << " " << step.number;
  }
  line << (step.word.empty() ? "" : " ") << step.word;
  const bool is_stop =
      step.act == Act::kStopGateway || step.act == Act::kStopRank;
  if (step.wait.count() != 0) {
    line << (is_stop ? ", starts after " : " for ") << InSeconds(step.wait);
  }
  if (step.is_stopped_at_start) {
    line << ", SIGTERM " << InSeconds(step.stop_after_start)
         << " after its start";
  }
  return line.str();
}

std::string Describe(const Plan& plan) {
  std::ostringstream lines;
  lines << "seed " << plan.seed << ": " << plan.gateways << " gateways, "
        << plan.ranks << " ranks, a pass " << plan.pass.count()
        << " ms, a plain request " << plan.work.count() << " ms, time limit "
        << plan.time_limit.count() << " ms\n";
  for (const CallerSort& sort : plan.callers) {
    lines << "callers";
    for (const std::string& flag : sort.flags) {
      lines << " " << flag;
    }
    lines << "\n";
  }
  for (const Step& step : plan.steps) {
    lines << Describe(step) << "\n";
  }
  lines << InSeconds(plan.end) << " SIGTERM to all gateways\n";
  return lines.str();
}

}  // namespace bramleyspan::standins

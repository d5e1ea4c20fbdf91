// Plays a seeded soak of planned stops with real processes and judges it. Exits
// with 0 if no rule was broken, 1 if one was, 2 if it could not be played.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <signal.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

#include "StandIns/Soak/Fleet.h"
#include "StandIns/Soak/Plan.h"
#include "StandIns/Soak/Report.h"
#include "StandIns/Soak/Verdict.h"

ABSL_FLAG(uint64_t, seed, 1, "seed of all draws");
ABSL_FLAG(int, seconds, 40, "time until all gateways are stopped at once");
ABSL_FLAG(std::string, net, "127.0", "first two numbers of all addresses");
ABSL_FLAG(std::string, binaries, "", "folder of the stand-ins");
ABSL_FLAG(std::string, daemon, "", "path of bramleyspand");
ABSL_FLAG(std::string,
          folder,
          "",
          "folder of the logs, with the files desired-0.json and "
          "desired-1.json, in which @VERSION@ and @TIME_LIMIT@ are replaced");
ABSL_FLAG(bool, plan_only, false, "print the plan and play nothing");

namespace bramleyspan::standins {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kControlPort = 7001;
constexpr int kReadinessPort = 8082;
constexpr int kSuccess = 200;
constexpr int kCouldNotPlay = 2;
constexpr seconds kStopBound(8);
constexpr milliseconds kTick(5);

struct Soak {
  Plan plan;
  std::string net;
  std::string folder;
  Fleet fleet;
  std::multimap<milliseconds, std::function<void()>> due;
  // What happens a while after the next end of a process, by its name.
  std::map<std::string, Step> restarts;
  std::vector<Trouble> troubles;
  int version = 2;
  bool is_ending = false;
};

std::string GatewayIp(const Soak& soak, int number) {
  return soak.net + ".1." + std::to_string(number);
}

std::string GatewayName(int number) {
  return "gateway-" + std::to_string(number);
}

std::string RankName(int number) {
  return "rank-" + std::to_string(number);
}

void Put(const Soak& soak, const std::string& target) {
  Call(soak.net + ".0.20", kControlPort, "PUT", target);
}

void ReplaceAll(std::string& text,
                const std::string& what,
                const std::string& by) {
  for (size_t at = text.find(what); at != std::string::npos;
       at = text.find(what, at + by.size())) {
    text.replace(at, what.size(), by);
  }
}

// Writes the next version of the desired state, of one of the two in turn.
bool Configure(Soak& soak) {
  const int version = ++soak.version;
  std::ifstream file(soak.folder + "/desired-" + std::to_string(version % 2) +
                     ".json");
  std::ostringstream content;
  content << file.rdbuf();
  std::string document = content.str();
  ReplaceAll(document, "@VERSION@", std::to_string(version));
  ReplaceAll(document, "@TIME_LIMIT@",
             std::to_string(soak.plan.time_limit.count()));
  return Call(soak.net + ".0.20", kControlPort, "PUT", "/config", document) ==
         kSuccess;
}

Process& AddProcess(Soak& soak,
                    const std::string& name,
                    const std::string& ip,
                    std::vector<std::string> command) {
  return soak.fleet.processes[name] = {
             .name = name,
             .ip = ip,
             .command = std::move(command),
             .log = soak.folder + "/" + name + ".log"};
}

// Writes the settings of a daemon to its flag file, which SIGHUP reads again.
Process& AddDaemon(Soak& soak,
                   const std::string& name,
                   const std::string& ip,
                   const std::string& role,
                   const std::string& own_flags) {
  const std::string path = soak.folder + "/" + name + ".flags";
  std::ofstream(path) << "--name=" << name << "\n--zone=a\n--ip=" << ip
                      << "\n--store=" << soak.net
                      << ".0.20:7000\n--peer_ports=7340,7355\n--seeds="
                      << soak.net << ".1.1:1," << soak.net
                      << ".1.2:1\n--stop_bound_seconds=" << kStopBound.count()
                      << "\n"
                      << own_flags;
  return AddProcess(
      soak, name, ip,
      {absl::GetFlag(FLAGS_daemon), "--role=" + role, "--flagfile=" + path});
}

void AddGateway(Soak& soak, int number) {
  const std::string ip = GatewayIp(soak, number);
  std::ostringstream flags;
  flags << "--callers=" << ip << ":8080\n--directory=" << ip
        << ":8081\n--readiness=" << ip << ":" << kReadinessPort
        << "\n--repeat_ratio=0.2\n--repeat_slack=10\n"
           "--repeat_window_seconds=10\n--notice_bound_milliseconds=3000\n";
  AddDaemon(soak, GatewayName(number), ip, "gateway", flags.str());
}

void AddRank(Soak& soak, int number) {
  const std::string ip = soak.net + ".2." + std::to_string(number);
  AddDaemon(soak, RankName(number), ip, "rank", "--engine=" + ip + ":8000\n");
}

std::string StartTime(const Soak& soak) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(
                            soak.fleet.start.time_since_epoch())
                            .count());
}

void StartPlatform(Soak& soak) {
  constexpr int kLongAnswerBytes = 600'000;
  const Plan& plan = soak.plan;
  Process& platform =
      AddProcess(soak, "platform", soak.net + ".0.20",
                 {absl::GetFlag(FLAGS_binaries) + "/StandInUsersPlatform",
                  "--net=" + soak.net, "--ranks=" + std::to_string(plan.ranks),
                  "--pass_milliseconds=" + std::to_string(plan.pass.count()),
                  "--work_milliseconds=" + std::to_string(plan.work.count()),
                  "--long_answer_bytes=" + std::to_string(kLongAnswerBytes),
                  "--log_requests_from=" + StartTime(soak)});
  Start(soak.fleet, platform);
}

void StartCallers(Soak& soak) {
  std::string addresses;
  for (int number = 1; number <= soak.plan.gateways; ++number) {
    addresses += (number == 1 ? "" : ",") + GatewayIp(soak, number);
  }
  const auto length =
      std::chrono::duration_cast<seconds>(soak.plan.end) + kStopBound;
  for (const CallerSort& sort : soak.plan.callers) {
    std::vector<std::string> command{
        absl::GetFlag(FLAGS_binaries) + "/StandInGatewayCallers",
        "--addresses=" + addresses, "--clock_start=" + StartTime(soak),
        "--deadline_milliseconds=" +
            std::to_string(soak.plan.time_limit.count()),
        "--seconds=" + std::to_string(length.count())};
    command.insert(command.end(), sort.flags.begin(), sort.flags.end());
    Process& process =
        AddProcess(soak, "callers-" + sort.name, "", std::move(command));
    process.output = soak.folder + "/" + sort.name + ".callers";
    Start(soak.fleet, process);
  }
}

bool WaitFor(Soak& soak, const std::function<bool()>& is_done) {
  constexpr seconds kPatience(30);
  const milliseconds until = Now(soak.fleet) + kPatience;
  while (!is_done()) {
    if (Now(soak.fleet) > until) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return true;
}

bool is_every_gateway_ready(const Soak& soak) {
  for (int number = 1; number <= soak.plan.gateways; ++number) {
    if (Call(GatewayIp(soak, number), kReadinessPort, "GET", "/readiness") !=
        kSuccess) {
      return false;
    }
  }
  return true;
}

bool StartAll(Soak& soak) {
  StartPlatform(soak);
  if (!WaitFor(soak, [&soak] { return Configure(soak); })) {
    return false;
  }
  for (int number = 1; number <= soak.plan.gateways; ++number) {
    AddGateway(soak, number);
    Process& gateway = soak.fleet.processes[GatewayName(number)];
    gateway.command.emplace_back("--first_start=true");
    Start(soak.fleet, gateway);
    gateway.command.pop_back();
  }
  for (int number = 1; number <= soak.plan.ranks; ++number) {
    AddRank(soak, number);
    Start(soak.fleet, soak.fleet.processes[RankName(number)]);
  }
  return WaitFor(soak, [&soak] { return is_every_gateway_ready(soak); });
}

void StopForRestart(Soak& soak, const std::string& name, const Step& step) {
  Process& process = soak.fleet.processes[name];
  if (process.pid > 0 && !process.record.is_asked_to_stop) {
    soak.restarts[name] = step;
    Stop(soak.fleet, process);
  }
}

// Sends a further SIGTERM. If the stop has ended by now, it is the first one of
// the process that has started since.
void StopAgain(Soak& soak, const std::string& name, const Step& step) {
  const Process& process = soak.fleet.processes[name];
  if (process.record.is_asked_to_stop) {
    SendSignal(process, SIGTERM);
  } else {
    StopForRestart(soak, name, step);
  }
}

// Puts a mode or state for a while.
void PutFor(Soak& soak,
            const Step& step,
            const std::string& target,
            const std::string& usual) {
  Put(soak, target + step.word);
  soak.due.emplace(Now(soak.fleet) + step.wait,
                   [&soak, target, usual] { Put(soak, target + usual); });
}

void Perform(Soak& soak, const Step& step) {
  const milliseconds now = Now(soak.fleet);
  std::cout << now.count() << " " << Describe(step) << std::endl;
  const bool is_trouble = step.act == Act::kStore || step.act == Act::kGroup ||
                          step.act == Act::kPause;
  if (is_trouble) {
    soak.troubles.push_back({.begin = now, .end = now + step.wait});
  }
  switch (step.act) {
    case Act::kStopGateway:
      StopForRestart(soak, GatewayName(step.number), step);
      break;
    case Act::kStopRank:
      StopForRestart(soak, RankName(step.number), step);
      break;
    case Act::kSignalAgain:
      StopAgain(soak, GatewayName(step.number), step);
      break;
    case Act::kReload:
      SendSignal(soak.fleet.processes[GatewayName(step.number)], SIGHUP);
      break;
    case Act::kStore:
      PutFor(soak, step, "/store?mode=", "serving");
      break;
    case Act::kGroup:
      PutFor(soak, step, "/group?state=", "open");
      break;
    case Act::kPause:
      Put(soak, "/passes?pause_ms=" + std::to_string(step.wait.count()));
      break;
    case Act::kConfigure:
      Configure(soak);
      break;
  }
}

void StartAgain(Soak& soak, const std::string& name, Step step) {
  Process& process = soak.fleet.processes[name];
  if (soak.is_ending || process.pid > 0) {
    return;
  }
  Start(soak.fleet, process);
  if (step.is_stopped_at_start) {
    step.is_stopped_at_start = false;
    soak.due.emplace(Now(soak.fleet) + step.stop_after_start,
                     [&soak, name, step] { StopForRestart(soak, name, step); });
  }
}

// Starts processes again that have ended; those that nobody stopped at once.
void HandleEnds(Soak& soak) {
  for (const std::string& name : Reap(soak.fleet, kStopBound)) {
    if (!name.starts_with("gateway-") && !name.starts_with("rank-")) {
      continue;
    }
    Step step;
    if (const auto found = soak.restarts.extract(name)) {
      step = found.mapped();
    }
    soak.due.emplace(Now(soak.fleet) + step.wait,
                     [&soak, name, step] { StartAgain(soak, name, step); });
  }
}

void RunDue(Soak& soak) {
  while (!soak.due.empty() && soak.due.begin()->first <= Now(soak.fleet)) {
    const auto next = soak.due.extract(soak.due.begin());
    next.mapped()();
  }
}

// Runs until a condition holds or it is time.
void RunUntil(Soak& soak,
              milliseconds time,
              const std::function<bool()>& is_done) {
  while (Now(soak.fleet) < time && !is_done()) {
    RunDue(soak);
    HandleEnds(soak);
    std::this_thread::sleep_for(kTick);
  }
}

bool is_any_running(const Soak& soak, std::string_view prefix) {
  for (const auto& [name, process] : soak.fleet.processes) {
    if (name.starts_with(prefix) && process.pid > 0) {
      return true;
    }
  }
  return false;
}

// Stops all processes whose names begin so, and waits for them.
void StopAll(Soak& soak, std::string_view prefix, milliseconds patience) {
  for (auto& [name, process] : soak.fleet.processes) {
    if (name.starts_with(prefix)) {
      Stop(soak.fleet, process);
    }
  }
  RunUntil(soak, Now(soak.fleet) + patience,
           [&] { return !is_any_running(soak, prefix); });
}

void Play(Soak& soak) {
  constexpr seconds kPatience(12);
  const milliseconds begin = Now(soak.fleet);
  StartCallers(soak);
  for (const Step& step : soak.plan.steps) {
    soak.due.emplace(begin + step.at, [&soak, step] { Perform(soak, step); });
  }
  RunUntil(soak, begin + soak.plan.end, [] { return false; });
  std::cout << Now(soak.fleet).count() << " SIGTERM to all gateways"
            << std::endl;
  soak.is_ending = true;
  StopAll(soak, "gateway-", kPatience);
  RunUntil(soak, Now(soak.fleet) + kPatience + soak.plan.time_limit,
           [&soak] { return !is_any_running(soak, "callers-"); });
  StopAll(soak, "rank-", kPatience);
}

int Conclude(Soak& soak) {
  Records records{.processes = soak.fleet.records,
                  .troubles = soak.troubles,
                  .time_limit = soak.plan.time_limit};
  for (const CallerSort& sort : soak.plan.callers) {
    ReadCallers(soak.folder + "/" + sort.name + ".callers", records);
  }
  ReadRuns(soak.folder + "/platform.log", records);
  std::vector<Finding> findings = Judge(records);
  for (Finding& report : FindSanitizerReports(soak.folder)) {
    findings.push_back(std::move(report));
  }
  std::ofstream kept(soak.folder + "/findings.txt");
  Print(kept, findings, soak.folder);
  Print(std::cout, soak.fleet.records);
  Print(std::cout, findings, soak.folder);
  std::cout << "seed " << soak.plan.seed << ": " << Count(records) << "\nseed "
            << soak.plan.seed << ": " << findings.size() << " broken"
            << std::endl;
  return findings.empty() ? 0 : 1;
}

int Run() {
  Soak soak{.plan = DrawPlan(absl::GetFlag(FLAGS_seed),
                             seconds(absl::GetFlag(FLAGS_seconds))),
            .net = absl::GetFlag(FLAGS_net),
            .folder = absl::GetFlag(FLAGS_folder),
            .fleet = {.start = std::chrono::system_clock::now()}};
  std::cout << Describe(soak.plan);
  if (absl::GetFlag(FLAGS_plan_only)) {
    return 0;
  }
  // The daemon refuses unknown variables with its prefix.
  unsetenv("BRAMLEYSPAN_TEST_NET");
  int status = kCouldNotPlay;
  if (StartAll(soak)) {
    Play(soak);
    status = Conclude(soak);
  } else {
    std::cout << "the fleet did not start\n";
  }
  KillAll(soak.fleet);
  return status;
}

}  // namespace

}  // namespace bramleyspan::standins

int main(int count, char** arguments) {
  absl::ParseCommandLine(count, arguments);
  return bramleyspan::standins::Run();
}

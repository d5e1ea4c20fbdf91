#include "StandIns/Soak/Verdict.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace bramleyspan::standins {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kGrace(8000);
constexpr milliseconds kLastSixth = kGrace * 5 / 6;
constexpr milliseconds kExcusedArrival(3000);
// Time after the grace time in which a loss counts as one of the stop.
constexpr milliseconds kAfterGrace(1000);
constexpr milliseconds kStableWindow(3000);
constexpr int kKilledByTerm = 128 + 15;
// A soak with less than this proves nothing.
constexpr int kFewestWhole = 20;

const std::vector<RunRecord>& RunsOf(const Records& records,
                                     const std::string& id) {
  static const std::vector<RunRecord> none;
  const auto found = records.runs.find(id);
  return found == records.runs.end() ? none : found->second;
}

std::string InMilliseconds(milliseconds time) {
  return std::to_string(time.count()) + " ms";
}

// Returns the stop of the request's gateway that lay before its end, if any.
const ProcessRecord* FindStop(const CallerRecord& request,
                              const Records& records) {
  const ProcessRecord* last = nullptr;
  for (const ProcessRecord& process : records.processes) {
    if (process.ip == request.ip && process.is_asked_to_stop &&
        process.stopped <= request.ended) {
      last = &process;
    }
  }
  return last;
}

std::string DescribeLoss(const CallerRecord& request, const Records& records) {
  std::ostringstream text;
  text << request.kind << " " << request.outcome << " at " << request.ip
       << ", sent " << request.sent.count() << ", ended "
       << request.ended.count();
  if (const ProcessRecord* stop = FindStop(request, records)) {
    text << ", SIGTERM of " << stop->name << " at " << stop->stopped.count()
         << ", sent " << InMilliseconds(request.sent - stop->stopped)
         << " after it";
  }
  return text.str();
}

bool is_lost(const CallerRecord& request, const Records& records) {
  const bool was_passed_on = !RunsOf(records, request.id).empty();
  const bool has_no_end = request.outcome == "cut" ||
                          request.outcome == "dropped" ||
                          (request.outcome == "crossed" && was_passed_on);
  return has_no_end && !is_excused(request, records);
}

bool is_around_stop(const CallerRecord& request, const Records& records) {
  const ProcessRecord* stop = FindStop(request, records);
  return stop != nullptr &&
         request.ended <= stop->stopped + kGrace + kAfterGrace;
}

bool is_in_trouble(const CallerRecord& request, const Records& records) {
  return std::ranges::any_of(
      records.troubles, [&request](const Trouble& trouble) {
        return trouble.begin <= request.ended &&
               request.begun - kStableWindow <= trouble.end;
      });
}

void JudgeLoss(const CallerRecord& request,
               const Records& records,
               std::vector<Finding>& findings) {
  if (!is_lost(request, records)) {
    return;
  }
  if (is_around_stop(request, records)) {
    findings.push_back({"LOST", request.id, DescribeLoss(request, records)});
  } else if (!is_in_trouble(request, records)) {
    findings.push_back({"CUT", request.id, DescribeLoss(request, records)});
  }
}

void JudgeRuns(const CallerRecord& request,
               const Records& records,
               std::vector<Finding>& findings) {
  const std::vector<RunRecord>& runs = RunsOf(records, request.id);
  if (request.kind == "plain" && runs.size() > 1) {
    findings.push_back(
        {"TWICE", request.id, "ran " + std::to_string(runs.size()) + " times"});
  }
  // Streams may run again, as all of the stand-in's may be resumed.
  if (request.kind == "plain" && request.outcome == "refused" &&
      !runs.empty()) {
    findings.push_back({"REFUSED", request.id,
                        "answered 503 and ran at " + runs.front().server});
  }
  const std::string path = request.kind == "plain" ? "/issue/" : "/draft/";
  for (const RunRecord& run : runs) {
    const bool is_body_own =
        run.body == "body" || run.body == "bodybodybodybody";
    if (!run.target.starts_with(path) || run.tenant != "huber" ||
        !is_body_own) {
      findings.push_back({"UNASKED", request.id,
                          "ran as " + run.target + " of " + run.tenant +
                              " with body " + run.body});
    }
  }
}

void JudgeUnknownRuns(const Records& records, std::vector<Finding>& findings) {
  std::set<std::string> sent;
  for (const CallerRecord& request : records.callers) {
    sent.insert(request.id);
  }
  for (const auto& [attempt, runs] : records.runs) {
    if (!sent.contains(attempt)) {
      findings.push_back({"UNASKED", attempt, "ran and no caller sent it"});
    }
  }
}

void JudgeEnd(const ProcessRecord& process, std::vector<Finding>& findings) {
  // Callers, which have no address, end by themselves.
  const bool is_end_expected = process.is_asked_to_stop || process.ip.empty();
  if (process.status == 0 && is_end_expected) {
    return;
  }
  // Nobody can have known of a process that was stopped before it began.
  if (process.status == kKilledByTerm && !process.has_begun) {
    return;
  }
  std::ostringstream text;
  text << "started " << process.started.count() << ", ";
  if (process.is_asked_to_stop) {
    text << "SIGTERM " << process.stopped.count() << ", ";
  }
  text << "ended " << process.ended.count() << " with status "
       << process.status;
  findings.push_back({process.is_killed_at_bound ? "BOUND" : "STATUS",
                      process.name, text.str()});
}

void JudgeWorth(const Records& records, std::vector<Finding>& findings) {
  const auto whole =
      std::ranges::count(records.callers, "whole", &CallerRecord::outcome);
  if (whole < kFewestWhole) {
    findings.push_back({"EMPTY", "-",
                        "only " + std::to_string(whole) +
                            " requests were answered as a whole"});
  }
}

}  // namespace

void ReadCallers(const std::string& path, Records& records) {
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    std::istringstream words(line);
    CallerRecord record;
    int64_t sent = 0;
    int64_t ended = 0;
    int64_t begun = 0;
    words >> record.id >> record.kind >> record.outcome >> record.status >>
        sent >> ended >> begun >> record.ip >> record.fault;
    if (words.fail()) {
      continue;
    }
    record.sent = milliseconds(sent);
    record.ended = milliseconds(ended);
    record.begun = milliseconds(begun);
    records.callers.push_back(std::move(record));
  }
}

void ReadRuns(const std::string& path, Records& records) {
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    std::istringstream words(line);
    int64_t time = 0;
    std::string what;
    RunRecord run;
    words >> time >> what >> run.server >> run.attempt;
    if (words.fail()) {
      continue;
    }
    std::vector<RunRecord>& runs = records.runs[run.attempt];
    if (what == "begun") {
      words >> run.target >> run.tenant >> run.body;
      run.begun = milliseconds(time);
      runs.push_back(run);
    } else if (what == "ended") {
      const auto found = std::ranges::find_if(runs, [&run](const auto& known) {
        return known.server == run.server && known.how.empty();
      });
      if (found != runs.end()) {
        words >> found->how;
        found->ended = milliseconds(time);
      }
    }
    if (runs.empty()) {
      records.runs.erase(run.attempt);
    }
  }
}

bool is_excused(const CallerRecord& request, const Records& records) {
  if (request.ended - request.begun >= records.time_limit) {
    return true;
  }
  const std::vector<RunRecord>& runs = RunsOf(records, request.id);
  if (runs.empty()) {
    return false;
  }
  const RunRecord& last = runs.back();
  if (last.how == "cut") {
    return true;
  }
  const ProcessRecord* stop = FindStop(request, records);
  if (stop == nullptr || request.sent > stop->stopped + kExcusedArrival) {
    return false;
  }
  const milliseconds last_part = stop->stopped + kLastSixth;
  return request.ended >= last_part &&
         (last.how.empty() || last.ended >= last_part);
}

std::vector<Finding> Judge(const Records& records) {
  std::vector<Finding> findings;
  for (const CallerRecord& request : records.callers) {
    JudgeLoss(request, records, findings);
    JudgeRuns(request, records, findings);
    if (request.outcome == "mixed") {
      findings.push_back({"MIXED", request.id,
                          request.kind + " with a wrong " + request.fault});
    }
  }
  JudgeUnknownRuns(records, findings);
  for (const ProcessRecord& process : records.processes) {
    JudgeEnd(process, findings);
  }
  JudgeWorth(records, findings);
  return findings;
}

std::string Count(const Records& records) {
  std::map<std::string, int> counts;
  int excused = 0;
  int unanswered = 0;
  int cut_in_trouble = 0;
  int refused_after_run = 0;
  for (const CallerRecord& request : records.callers) {
    ++counts[request.kind + "-" + request.outcome];
    const bool is_cut =
        request.outcome == "cut" || request.outcome == "dropped";
    excused += is_cut && is_excused(request, records) ? 1 : 0;
    const bool is_over =
        request.ended - request.begun > records.time_limit + milliseconds(500);
    unanswered += request.outcome == "left" && is_over ? 1 : 0;
    cut_in_trouble += is_lost(request, records) &&
                              !is_around_stop(request, records) &&
                              is_in_trouble(request, records)
                          ? 1
                          : 0;
    refused_after_run +=
        request.outcome == "refused" && !RunsOf(records, request.id).empty()
            ? 1
            : 0;
  }
  std::ostringstream line;
  for (const auto& [name, count] : counts) {
    line << name << " " << count << ", ";
  }
  line << "excused " << excused << ", unanswered " << unanswered
       << ", cut-in-trouble " << cut_in_trouble << ", refused-after-run "
       << refused_after_run;
  return line.str();
}

}  // namespace bramleyspan::standins

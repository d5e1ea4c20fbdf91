// Judges a soak by what callers and servers saw, and by how processes ended.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace bramleyspan::standins {

// All times count from the soak's start.

// A line of StandInGatewayCallers.
struct CallerRecord {
  std::string id;
  std::string kind;
  std::string outcome;
  int status = 0;
  std::chrono::milliseconds begun{};
  std::chrono::milliseconds sent{};
  std::chrono::milliseconds ended{};
  std::string ip;
  std::string fault;
};

// A run of a request at a server.
struct RunRecord {
  std::string server;
  std::string attempt;
  std::string target;
  std::string tenant;
  std::string body;
  std::chrono::milliseconds begun{};
  std::chrono::milliseconds ended{};
  // whole, left or cut; empty while it runs.
  std::string how;
};

// From a start of a process to its end.
struct ProcessRecord {
  std::string name;
  std::string ip;
  std::chrono::milliseconds started{};
  // The first SIGTERM.
  std::chrono::milliseconds stopped{};
  std::chrono::milliseconds ended{};
  // As of the shell: 128 + number of the signal that ended it.
  int status = 0;
  bool is_asked_to_stop = false;
  bool is_killed_at_bound = false;
  // Whether it has written a line.
  bool has_begun = false;
};

// A time in which the store, or the group, was not in order.
struct Trouble {
  std::chrono::milliseconds begin{};
  std::chrono::milliseconds end{};
};

struct Records {
  std::vector<CallerRecord> callers;
  // By attempt, in the order of their beginnings.
  std::map<std::string, std::vector<RunRecord>> runs;
  std::vector<ProcessRecord> processes;
  std::vector<Trouble> troubles;
  std::chrono::milliseconds time_limit{};
};

// A broken rule.
struct Finding {
  std::string rule;
  // Of the request or process.
  std::string id;
  std::string text;
};

// Reads the lines of callers, or of the stand-in of the platform; other lines
// are left out.
void ReadCallers(const std::string& path, Records& records);
void ReadRuns(const std::string& path, Records& records);

// Whether the rules count no loss for this request: its time limit was reached,
// its server broke off, or it was sent at most 3 s after the SIGTERM of its
// gateway and was still at a server in the last sixth of the grace time.
bool is_excused(const CallerRecord& request, const Records& records);

// Finds, with the names of the users' rules, LOST (around the SIGTERM of the
// request's gateway), MIXED, TWICE, REFUSED and UNASKED; and CUT (a request
// that is lost at another time, without trouble since kStableWindow before it
// began), STATUS, BOUND and EMPTY (too little was served to prove anything).
std::vector<Finding> Judge(const Records& records);

// Returns how many requests had which outcome, by kind, in one line.
std::string Count(const Records& records);

}  // namespace bramleyspan::standins

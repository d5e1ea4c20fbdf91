// The processes of a soak: starts, signals and reaps them, and keeps a record
// of each from its start to its end.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "StandIns/Soak/Verdict.h"

namespace bramleyspan::standins {

struct Process {
  std::string name;
  std::string ip;
  std::vector<std::string> command;
  // Where its output goes, and its standard output apart if that is wanted.
  std::string log;
  std::string output;
  // Not positive while it does not run.
  pid_t pid = -1;
  // Of the current run.
  ProcessRecord record;
  std::uintmax_t log_size_at_start = 0;
};

struct Fleet {
  std::chrono::system_clock::time_point start;
  std::map<std::string, Process> processes;
  std::vector<ProcessRecord> records;
};

// Returns the time since the start of the soak.
std::chrono::milliseconds Now(const Fleet& fleet);

// Starts the process.
void Start(const Fleet& fleet, Process& process);

// Sends SIGTERM, if it runs.
void Stop(const Fleet& fleet, Process& process);

// Sends any other signal, or a further SIGTERM, if it runs.
void SendSignal(const Process& process, int number);

// Kills processes as the platform does that were asked to stop and run longer
// than `bound`, and records those that have ended. Returns their names.
std::vector<std::string> Reap(Fleet& fleet, std::chrono::milliseconds bound);

// Kills all that still run.
void KillAll(Fleet& fleet);

// Sends a request to the control address of the stand-in of the platform, or to
// any other. Returns the status of the answer, 0 if there is none.
int Call(const std::string& ip,
         int port,
         const std::string& method,
         const std::string& target,
         const std::string& body = "");

}  // namespace bramleyspan::standins

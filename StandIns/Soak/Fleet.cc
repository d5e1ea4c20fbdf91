#include "StandIns/Soak/Fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <charconv>
#include <filesystem>
#include <iostream>
#include <utility>

namespace bramleyspan::standins {

namespace {

using std::chrono::milliseconds;

constexpr int kCommandNotRun = 127;
constexpr int kSignalBase = 128;

void RedirectTo(const std::string& path, int descriptor) {
  constexpr int kMode = 0644;
  const int file =
      open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kMode);
  dup2(file, descriptor);
}

std::uintmax_t SizeOf(const std::string& path) {
  std::error_code failure;
  const std::uintmax_t size = std::filesystem::file_size(path, failure);
  return failure ? 0 : size;
}

void RecordEnd(Fleet& fleet, Process& process, int status) {
  ProcessRecord& record = process.record;
  record.ended = Now(fleet);
  record.status = WIFSIGNALED(status) ? kSignalBase + WTERMSIG(status)
                                      : WEXITSTATUS(status);
  record.has_begun = SizeOf(process.log) > process.log_size_at_start;
  fleet.records.push_back(record);
  process.pid = -1;
}

}  // namespace

milliseconds Now(const Fleet& fleet) {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now() - fleet.start);
}

void Start(const Fleet& fleet, Process& process) {
  process.log_size_at_start = SizeOf(process.log);
  process.record = {
      .name = process.name, .ip = process.ip, .started = Now(fleet)};
  process.pid = fork();
  if (process.pid != 0) {
    return;
  }
  // None outlives a soak that is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  RedirectTo(process.log, STDERR_FILENO);
  RedirectTo(process.output.empty() ? process.log : process.output,
             STDOUT_FILENO);
  std::vector<char*> words;
  for (std::string& word : process.command) {
    words.push_back(word.data());
  }
  words.push_back(nullptr);
  execv(words.front(), words.data());
  _exit(kCommandNotRun);
}

void Stop(const Fleet& fleet, Process& process) {
  if (process.pid > 0 && !process.record.is_asked_to_stop) {
    process.record.is_asked_to_stop = true;
    process.record.stopped = Now(fleet);
    kill(process.pid, SIGTERM);
  }
}

void SendSignal(const Process& process, int number) {
  if (process.pid > 0) {
    kill(process.pid, number);
  }
}

std::vector<std::string> Reap(Fleet& fleet, milliseconds bound) {
  std::vector<std::string> ended;
  for (auto& [name, process] : fleet.processes) {
    if (process.pid <= 0) {
      continue;
    }
    int status = 0;
    if (waitpid(process.pid, &status, WNOHANG) == process.pid) {
      RecordEnd(fleet, process, status);
      ended.push_back(name);
      continue;
    }
    ProcessRecord& record = process.record;
    if (record.is_asked_to_stop && !record.is_killed_at_bound &&
        Now(fleet) - record.stopped > bound) {
      record.is_killed_at_bound = true;
      kill(process.pid, SIGKILL);
    }
  }
  return ended;
}

void KillAll(Fleet& fleet) {
  for (auto& [name, process] : fleet.processes) {
    if (process.pid > 0) {
      kill(process.pid, SIGKILL);
      waitpid(process.pid, nullptr, 0);
      process.pid = -1;
    }
  }
}

int Call(const std::string& ip,
         int port,
         const std::string& method,
         const std::string& target,
         const std::string& body) {
  constexpr timeval kPatience{.tv_sec = 1, .tv_usec = 0};
  const int channel = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(channel, SOL_SOCKET, SO_RCVTIMEO, &kPatience, sizeof kPatience);
  setsockopt(channel, SOL_SOCKET, SO_SNDTIMEO, &kPatience, sizeof kPatience);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const std::string request = method + " " + target +
                              " HTTP/1.1\r\nHost: x\r\nConnection: "
                              "close\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body;
  char answer[64] = {};
  int status = 0;
  constexpr size_t kStatusAt = 9;
  if (connect(channel, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
          0 &&
      send(channel, request.data(), request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(request.size()) &&
      recv(channel, answer, sizeof answer, MSG_WAITALL) > 12) {
    std::from_chars(answer + kStatusAt, answer + kStatusAt + 3, status);
  }
  close(channel);
  return status;
}

}  // namespace bramleyspan::standins

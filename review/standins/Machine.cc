// Stand-in for a machine of the users' platform: runs a program, kills it when
// it takes more memory than the machine has, and starts it again half a second
// after it ended. Writes a line for each end to standard output. SIGTERM ends
// both. Arguments: MEGABYTES NAME COMMAND...
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <string>
#include <thread>

namespace {

volatile sig_atomic_t is_stopped = 0;

size_t ResidentMegabytes(pid_t process) {
  constexpr size_t kBytesPerMegabyte = size_t{1} << 20;
  std::ifstream file("/proc/" + std::to_string(process) + "/statm");
  size_t all = 0;
  size_t resident = 0;
  file >> all >> resident;
  return resident * static_cast<size_t>(getpagesize()) / kBytesPerMegabyte;
}

// Runs the command once; returns how it ended.
std::string RunOnce(size_t limit, char** command, size_t& used) {
  const pid_t process = fork();
  if (process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execv(command[0], command);
    _exit(127);
  }
  while (true) {
    used = ResidentMegabytes(process);
    const bool is_too_large = used > limit;
    if (is_too_large || is_stopped != 0) {
      kill(process, SIGKILL);
      waitpid(process, nullptr, 0);
      return is_too_large ? "killed for its memory" : "stopped";
    }
    if (waitpid(process, nullptr, WNOHANG) == process) {
      return "ended by itself";
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
}

}  // namespace

int main(int count, char** arguments) {
  if (count < 4) {
    return 2;
  }
  std::signal(SIGTERM, [](int) { is_stopped = 1; });
  while (is_stopped == 0) {
    size_t used = 0;
    const std::string end =
        RunOnce(std::stoul(arguments[1]), arguments + 3, used);
    printf("%s: %s with %zu MB\n", arguments[2], end.c_str(), used);
    fflush(stdout);
    if (is_stopped == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
  }
  return 0;
}

#include "StandIns/Soak/Report.h"

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <functional>
#include <utility>

namespace bramleyspan::standins {

namespace {

// Lines that are printed of one log for one finding.
constexpr int kMostLines = 40;

std::vector<std::string> FilesOf(const std::string& folder) {
  std::vector<std::string> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    const std::string extension = entry.path().extension();
    if (extension == ".log" || extension == ".callers") {
      files.push_back(entry.path());
    }
  }
  std::ranges::sort(files);
  return files;
}

// Calls `handle` with each line of a file until it returns false.
void ForEachLine(const std::string& path,
                 const std::function<bool(const std::string&)>& handle) {
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    if (!handle(line)) {
      return;
    }
  }
}

// Whether the line has this id, and not one of which it is the beginning.
bool has_id(const std::string& line, const std::string& id) {
  for (size_t at = line.find(id); at != std::string::npos;
       at = line.find(id, at + 1)) {
    const size_t end = at + id.size();
    if (end == line.size() ||
        std::isdigit(static_cast<unsigned char>(line[end])) == 0) {
      return true;
    }
  }
  return false;
}

void PrintLinesOf(std::ostream& output,
                  const std::string& id,
                  const std::vector<std::string>& files) {
  for (const std::string& path : files) {
    int lines = 0;
    bool is_waiting = false;
    ForEachLine(path, [&](const std::string& line) {
      if (!has_id(line, id)) {
        return true;
      }
      // A request that waits has a line for each turn.
      const bool was_waiting = std::exchange(
          is_waiting, line.find("\"event\":\"waits\"") != std::string::npos);
      if (!is_waiting || !was_waiting) {
        output << "    " << std::filesystem::path(path).stem().string() << ": "
               << line << "\n";
        ++lines;
      }
      return lines < kMostLines;
    });
  }
}

}  // namespace

std::vector<Finding> FindSanitizerReports(const std::string& folder) {
  std::vector<Finding> findings;
  for (const std::string& path : FilesOf(folder)) {
    ForEachLine(path, [&](const std::string& line) {
      if (line.find("Sanitizer") != std::string::npos ||
          line.find("runtime error:") != std::string::npos) {
        findings.push_back(
            {"SANITIZER", std::filesystem::path(path).stem(), line});
        return false;
      }
      return true;
    });
  }
  return findings;
}

void Print(std::ostream& output,
           const std::vector<Finding>& findings,
           const std::string& folder) {
  const std::vector<std::string> files = FilesOf(folder);
  for (const Finding& finding : findings) {
    output << "BROKEN " << finding.rule << " " << finding.id << ": "
           << finding.text << "\n";
    const bool is_of_request =
        finding.id.find('-') != std::string::npos && finding.rule != "STATUS" &&
        finding.rule != "BOUND" && finding.rule != "SANITIZER";
    if (is_of_request && finding.id != "-") {
      PrintLinesOf(output, finding.id, files);
    }
  }
}

void Print(std::ostream& output, const std::vector<ProcessRecord>& processes) {
  for (const ProcessRecord& process : processes) {
    output << process.name << " started " << process.started.count();
    if (process.is_asked_to_stop) {
      output << " SIGTERM " << process.stopped.count();
    }
    output << " ended " << process.ended.count() << " status " << process.status
           << "\n";
  }
}

}  // namespace bramleyspan::standins

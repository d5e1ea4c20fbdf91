#include "StandIns/UsersPlatform/RequestLog.h"

#include <absl/flags/flag.h>

#include <chrono>
#include <iostream>

ABSL_FLAG(
    int64_t,
    log_requests_from,
    0,
    "milliseconds since 1970 from which the times of lines about requests "
    "count; 0 writes none");

namespace bramleyspan::standins {

namespace {

// Returns a line's first word and a space, or nothing if no lines are written.
std::string TimeOfLine() {
  const int64_t from = absl::GetFlag(FLAGS_log_requests_from);
  if (from == 0) {
    return "";
  }
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return std::to_string(now.count() - from) + " ";
}

std::string WordOf(std::string_view text) {
  return text.empty() ? "-" : std::string(text);
}

}  // namespace

void LogBegun(const std::string& server, const http::IngressRequest& request) {
  const std::string time = TimeOfLine();
  if (time.empty()) {
    return;
  }
  std::cout << time << "begun " << server << " "
            << WordOf(http::FindHeader(request.headers, "x-attempt-id")) << " "
            << request.target << " "
            << WordOf(http::FindHeader(request.headers, "x-tenant")) << " "
            << WordOf(request.body) << std::endl;
}

void LogEnded(const std::string& server,
              const std::string& attempt,
              std::string_view how) {
  const std::string time = TimeOfLine();
  if (!time.empty()) {
    std::cout << time << "ended " << server << " " << attempt << " " << how
              << std::endl;
  }
}

void LogRejected(const std::string& server,
                 const std::string& attempt,
                 int status) {
  const std::string time = TimeOfLine();
  if (!time.empty()) {
    std::cout << time << "rejected " << server << " " << attempt << " "
              << status << std::endl;
  }
}

}  // namespace bramleyspan::standins

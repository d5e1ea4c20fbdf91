#include <iostream>
#include <nlohmann/json.hpp>

#include "Utilities/bramleyspanctl/Commands.h"

namespace bramleyspan {

namespace {

using nlohmann::json;

constexpr int kOk = 200;

void PrintRow(const json& row) {
  std::cout << row.at("process").get<std::string>() << "\t"
            << row.at("role").get<std::string>() << "\t"
            << row.at("zone").get<std::string>() << "\trevision "
            << row.at("revision") << "\tfor " << row.at("in_force_for_ms")
            << " ms";
  if (row.contains("came_after_ms")) {
    std::cout << "\tcame after " << row["came_after_ms"] << " ms";
  }
  std::cout << (row.at("is_leaving").get<bool>() ? "\tleaving" : "") << "\n";
}

// Alarms are local to a process, so they are fetched from each entry.
void PrintAlarms(const OperatorClient& client) {
  for (const Address& entry : client.entries) {
    const auto answer =
        SendRequest({{entry}, client.key}, "GET", "/v1/operator/status", "");
    if (answer.has_error() || answer.value().status != kOk) {
      std::cout << "ALARM no_answer\t" << Format(entry) << "\n";
      continue;
    }
    const json document = json::parse(answer.value().body);
    for (const json& alarm : document.at("alarms")) {
      std::cout << "ALARM " << alarm.at("alarm").get<std::string>() << "\t"
                << alarm.at("process").get<std::string>() << "\tfor "
                << alarm.at("for_ms") << " ms\t"
                << alarm.at("detail").get<std::string>() << "\n";
    }
  }
}

}  // namespace

Result<void> PrintStatus() {
  const std::string answer = TRY(FetchBody("GET", "/v1/operator/status", ""));
  const json document = json::parse(answer);
  for (const json& row : document.at("processes")) {
    PrintRow(row);
  }
  const OperatorClient client = TRY(MakeClient());
  PrintAlarms(client);
  return Succeed();
}

}  // namespace bramleyspan

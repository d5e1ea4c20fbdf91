// The operators' tool.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "Kernel/Digest.h"
#include "LibCatalogue/Document.h"
#include "Utilities/bramleyspanctl/OperatorClient.h"

ABSL_FLAG(std::string,
          entries,
          "",
          "entries to ask, IP:PORT,IP:PORT (or BRAMLEYSPAN_ENTRIES)");
ABSL_FLAG(std::string,
          operator_key,
          "",
          "key to show (better: BRAMLEYSPAN_OPERATOR_KEY)");
ABSL_FLAG(int64_t,
          base_revision,
          -1,
          "revision from which the applied file was made");
ABSL_FLAG(std::string,
          change_id,
          "",
          "id of the change set; give it again to learn what became of it");

namespace bramleyspan {

namespace {

using nlohmann::json;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kOk = 200;
constexpr size_t kChangeIdBytes = 12;

constexpr const char* kUsage =
    "bramleyspanctl COMMAND\n"
    "  catalogue check FILE    check a file without any connection\n"
    "  catalogue apply FILE    make a file the catalogue in force\n"
    "  catalogue get           print the catalogue in force\n"
    "  status                  which revision is in force on which process\n"
    "  dump                    the whole state of one process\n";

std::string FlagOrEnvironment(const std::string& flag, const char* variable) {
  if (!flag.empty()) {
    return flag;
  }
  const char* value = std::getenv(variable);
  return value == nullptr ? "" : value;
}

Result<OperatorClient> MakeClient() {
  OperatorClient client;
  client.entries = TRY(ParseEntries(
      FlagOrEnvironment(absl::GetFlag(FLAGS_entries), "BRAMLEYSPAN_ENTRIES")));
  client.key = FlagOrEnvironment(absl::GetFlag(FLAGS_operator_key),
                                 "BRAMLEYSPAN_OPERATOR_KEY");
  return client;
}

Result<catalogue::Catalogue> ReadCatalogueFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Fail(ErrorCode::kNotFound, path, "cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return catalogue::ParseToml(text.str(), path);
}

Result<std::string> AskForBody(const std::string& method,
                               const std::string& path,
                               const std::string& body) {
  const OperatorClient client = TRY(MakeClient());
  const http::Response response = TRY(Ask(client, method, path, body));
  if (response.status == kOk) {
    return response.body;
  }
  const json document = json::parse(response.body, nullptr, false);
  if (!document.is_object() || !document.contains("error")) {
    return Fail(ErrorCode::kUnavailable, path,
                "status " + std::to_string(response.status));
  }
  const json& error = document["error"];
  return Fail(ErrorCodeFromStableCode(error.value("code", "")), path,
              error.value("message", ""));
}

Result<void> CheckFile(const std::string& path) {
  const auto parsed = TRY(ReadCatalogueFile(path));
  std::cout << path << ": valid, " << parsed.owners.size() << " owners, "
            << parsed.entries.size() << " entries, " << parsed.groups.size()
            << " groups\n";
  return Succeed();
}

Result<void> ApplyFile(const std::string& path) {
  const auto parsed = TRY(ReadCatalogueFile(path));
  const int64_t base = absl::GetFlag(FLAGS_base_revision);
  if (base < 0) {
    return Fail(ErrorCode::kInvalidSetting, "base-revision",
                "say from which revision the file was made (0: none yet); "
                "without it the edit of another operator could be undone");
  }
  std::string id = absl::GetFlag(FLAGS_change_id);
  if (id.empty()) {
    id = RandomHex(kChangeIdBytes);
  }
  std::cerr << "change id " << id << "\n";
  const json change = {
      {"id", id},
      {"base_revision", base},
      {"catalogue", json::parse(catalogue::SerializeJson(parsed))}};
  const std::string answer =
      TRY(AskForBody("POST", "/v1/operator/catalogue/changes", change.dump()));
  const json document = json::parse(answer);
  std::cout << "accepted as revision " << document.at("revision") << "\n";
  return Succeed();
}

Result<void> PrintStatus() {
  const std::string answer = TRY(AskForBody("GET", "/v1/operator/status", ""));
  const json document = json::parse(answer);
  for (const json& row : document.at("processes")) {
    std::cout << row.at("process").get<std::string>() << "\t"
              << row.at("role").get<std::string>() << "\t"
              << row.at("zone").get<std::string>() << "\trevision "
              << row.at("revision")
              << (row.at("is_leaving").get<bool>() ? "\tleaving" : "") << "\n";
  }
  return Succeed();
}

Result<void> PrintBody(const std::string& path) {
  const std::string answer = TRY(AskForBody("GET", path, ""));
  std::cout << json::parse(answer).dump(2) << "\n";
  return Succeed();
}

Result<void> RunCommand(const std::vector<std::string>& words) {
  const std::string command = words.empty() ? "" : words[0];
  const std::string verb = words.size() > 1 ? words[1] : "";
  if (command == "catalogue" && verb == "check" && words.size() == 3) {
    return CheckFile(words[2]);
  }
  if (command == "catalogue" && verb == "apply" && words.size() == 3) {
    return ApplyFile(words[2]);
  }
  if (command == "catalogue" && verb == "get") {
    return PrintBody("/v1/operator/catalogue");
  }
  if (command == "status") {
    return PrintStatus();
  }
  if (command == "dump") {
    return PrintBody("/v1/operator/dump");
  }
  return Fail(ErrorCode::kInvalidSetting, "command",
              "unknown\n" + std::string(kUsage));
}

int Run(int argument_count, char** arguments) {
  absl::SetProgramUsageMessage(kUsage);
  const auto rest = absl::ParseCommandLine(argument_count, arguments);
  const std::vector<std::string> words(rest.begin() + 1, rest.end());
  Result<void> outcome = Succeed();
  try {
    outcome = RunCommand(words);
  } catch (const json::exception& failure) {
    outcome = Fail(ErrorCode::kMalformedDocument, "answer", failure.what());
  }
  if (outcome.has_value()) {
    return kExitOk;
  }
  std::cerr << Describe(outcome.error()) << "\n";
  return outcome.error().code == ErrorCode::kInvalidSetting ? kExitUsage
                                                            : kExitFailed;
}

}  // namespace

}  // namespace bramleyspan

int main(int argument_count, char** arguments) {
  return bramleyspan::Run(argument_count, arguments);
}

// The operators' tool.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>

#include "Utilities/bramleyspanctl/Commands.h"

ABSL_FLAG(std::string,
          entries,
          "",
          "entries to call, IP:PORT,IP:PORT (or BRAMLEYSPAN_ENTRIES)");
ABSL_FLAG(std::string,
          operator_key,
          "",
          "operator key (better: BRAMLEYSPAN_OPERATOR_KEY)");
ABSL_FLAG(int64_t,
          base_revision,
          -1,
          "revision on which the applied file is based");
ABSL_FLAG(bool,
          abandon_other_branches,
          false,
          "let a restore abandon revisions that other processes have in force");
ABSL_FLAG(std::string,
          change_id,
          "",
          "id of the change set; repeat it to get the outcome of that change");

ABSL_FLAG(std::string,
          adapter,
          "kv",
          "the adapter of the platform whose store holds the usage");
ABSL_FLAG(std::string,
          store,
          "",
          "IP:PORT of the platform's store (or BRAMLEYSPAN_STORE)");
ABSL_FLAG(
    std::string,
    gateways,
    "",
    "IP:PORT,... of gateways' internal ports, for quarantine and zones, and "
    "for "
    "usage that is not stored yet");
ABSL_FLAG(bool, streams, false, "causes: print a line for each late stream");
ABSL_FLAG(std::string,
          by,
          "owner,entry,service",
          "columns of usage: owner, entry, service, gateway, window");

namespace bramleyspan {

namespace {

using nlohmann::json;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kOk = 200;

constexpr const char* kUsage =
    "bramleyspanctl COMMAND\n"
    "  catalogue check FILE    check a file without any connection\n"
    "  catalogue diff FILE     what the file would change\n"
    "  catalogue apply FILE    make a file the catalogue in force\n"
    "  catalogue get           print the catalogue in force\n"
    "  catalogue history       the newest changes\n"
    "  catalogue restore       write the catalogue in force back to a "
    "key-value\n"
    "                          service that has lost it\n"
    "  status                  which revision is in force on which process\n"
    "  dump                    the whole state of one process\n"
    "  usage                   requests and tokens by owner, from --store\n"
    "  causes LOG...           why streams were late, by 2 s; with --streams a "
    "line\n"
    "                          for each\n"
    "  quarantine              parts of prompts, and single requests, kept "
    "from all\n"
    "                          targets, from --gateways\n"
    "  quarantine release SERVICE PART|DIGEST\n"
    "                          let such requests through again\n"
    "  zones                   evacuated zones that each gateway of --gateways "
    "knows\n"
    "  explain REQUEST LOG...  all records about a request, from log files or "
    "directories\n";

std::string FlagOrEnvironment(const std::string& flag, const char* variable) {
  if (!flag.empty()) {
    return flag;
  }
  const char* value = std::getenv(variable);
  return value == nullptr ? "" : value;
}

}  // namespace

Result<OperatorClient> MakeClient() {
  OperatorClient client;
  client.entries = TRY(ParseEntries(
      FlagOrEnvironment(absl::GetFlag(FLAGS_entries), "BRAMLEYSPAN_ENTRIES")));
  client.key = FlagOrEnvironment(absl::GetFlag(FLAGS_operator_key),
                                 "BRAMLEYSPAN_OPERATOR_KEY");
  return client;
}

Result<std::string> FetchBody(const std::string& method,
                              const std::string& path,
                              const std::string& body) {
  const OperatorClient client = TRY(MakeClient());
  const http::Response response = TRY(SendRequest(client, method, path, body));
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

namespace {

Result<void> PrintBody(const std::string& path) {
  const std::string answer = TRY(FetchBody("GET", path, ""));
  std::cout << json::parse(answer).dump(2) << "\n";
  return Succeed();
}

Result<void> FailUsage() {
  return Fail(ErrorCode::kInvalidSetting, "command",
              "unknown\n" + std::string(kUsage));
}

Result<void> RunCatalogueCommand(const std::string& verb,
                                 const std::string& file) {
  const std::string change_id = absl::GetFlag(FLAGS_change_id);
  const bool has_file = !file.empty();
  if (verb == "check" && has_file) {
    return CheckFile(file);
  }
  if (verb == "diff" && has_file) {
    return DiffFile(file);
  }
  if (verb == "apply" && has_file) {
    return ApplyFile(file, {.base_revision = absl::GetFlag(FLAGS_base_revision),
                            .change_id = change_id});
  }
  if (verb == "get") {
    return PrintBody("/v1/operator/catalogue");
  }
  if (verb == "history") {
    return PrintHistory();
  }
  if (verb == "restore") {
    return RestoreCatalogue(change_id,
                            absl::GetFlag(FLAGS_abandon_other_branches));
  }
  return FailUsage();
}

Result<void> RunCommand(const std::vector<std::string>& words) {
  const std::string command = words.empty() ? "" : words[0];
  const std::string verb = words.size() > 1 ? words[1] : "";
  if (command == "catalogue") {
    return RunCatalogueCommand(verb, words.size() == 3 ? words[2] : "");
  }
  if (command == "status") {
    return PrintStatus();
  }
  if (command == "dump") {
    return PrintBody("/v1/operator/dump");
  }
  if (command == "usage") {
    return PrintUsage({.adapter = absl::GetFlag(FLAGS_adapter),
                       .store = FlagOrEnvironment(absl::GetFlag(FLAGS_store),
                                                  "BRAMLEYSPAN_STORE"),
                       .gateways = absl::GetFlag(FLAGS_gateways),
                       .by = absl::GetFlag(FLAGS_by)});
  }
  if (command == "causes" && words.size() > 1) {
    return PrintCauses({words.begin() + 1, words.end()},
                       absl::GetFlag(FLAGS_streams));
  }
  if (command == "quarantine" && words.size() == 1) {
    return PrintQuarantine(absl::GetFlag(FLAGS_gateways));
  }
  if (command == "quarantine" && verb == "release" && words.size() == 4) {
    return ReleaseFromQuarantine(absl::GetFlag(FLAGS_gateways), words[2],
                                 words[3]);
  }
  if (command == "zones" && words.size() == 1) {
    return PrintZones(absl::GetFlag(FLAGS_gateways));
  }
  if (command == "explain" && words.size() > 2) {
    return ExplainRequest(verb, {words.begin() + 2, words.end()});
  }
  return FailUsage();
}

int Run(int argument_count, char** arguments) {
  absl::SetProgramUsageMessage(kUsage);
  const auto positional = absl::ParseCommandLine(argument_count, arguments);
  const std::vector<std::string> words(positional.begin() + 1,
                                       positional.end());
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

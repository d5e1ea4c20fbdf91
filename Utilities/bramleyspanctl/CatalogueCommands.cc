#include <chrono>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "Kernel/Digest.h"
#include "LibCatalogue/Diff.h"
#include "LibCatalogue/Document.h"
#include "Utilities/bramleyspanctl/Commands.h"

namespace bramleyspan {

namespace {

using nlohmann::json;

constexpr size_t kChangeIdBytes = 12;
constexpr const char* kChangesPath = "/v1/operator/catalogue/changes";
constexpr const char* kRestorePath = "/v1/operator/catalogue/restore";

// The catalogue in force, and its revision.
struct InForce {
  uint64_t revision = 0;
  catalogue::Catalogue catalogue;
};

Result<catalogue::Catalogue> ReadCatalogueFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Fail(ErrorCode::kNotFound, path, "cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return catalogue::ParseToml(text.str(), path);
}

Result<InForce> FetchInForce() {
  const std::string answer =
      TRY(FetchBody("GET", "/v1/operator/catalogue", ""));
  const json document = json::parse(answer);
  InForce in_force;
  in_force.revision = document.at("revision");
  in_force.catalogue =
      TRY(catalogue::ParseJson(document.at("catalogue").dump()));
  return in_force;
}

// Returns what is in force once that is newer than `base`, or what is in force
// then. An entry that refuses a change has read a newer revision in the store,
// and may take a moment to apply it; compared with the older one, the edit of
// the other operator would not be shown.
Result<InForce> AwaitNewerThan(uint64_t base) {
  constexpr int kTries = 30;
  constexpr auto kPause = std::chrono::milliseconds(100);
  InForce in_force = TRY(FetchInForce());
  for (int tries = 1; tries < kTries && in_force.revision <= base; ++tries) {
    std::this_thread::sleep_for(kPause);
    in_force = TRY(FetchInForce());
  }
  return in_force;
}

void PrintDifference(std::ostream& out,
                     const InForce& in_force,
                     const catalogue::Catalogue& file) {
  const auto differences = catalogue::Compare(in_force.catalogue, file);
  out << "from revision " << in_force.revision
      << " to the file: " << (differences.empty() ? "no difference" : "")
      << "\n";
  for (const catalogue::Difference& difference : differences) {
    out << catalogue::Format(difference) << "\n";
  }
}

std::string ChooseChangeId(const std::string& given) {
  std::string id = given.empty() ? RandomHex(kChangeIdBytes) : given;
  std::cerr << "change id " << id << "\n";
  return id;
}

// Prints the command that repeats a change whose outcome is unknown. The reply
// may have been lost after the change took effect; since the command keeps the
// change id, it can't apply the change twice, and it returns the outcome.
void PrintRetryCommand(const std::string& command) {
  std::cerr << "the change may or may not be in force; retry with\n  "
            << command << "\n";
}

bool is_outcome_unknown(const Error& error) {
  return error.code == ErrorCode::kOutcomeUnknown ||
         error.code == ErrorCode::kTimeout ||
         error.code == ErrorCode::kConnectionClosed ||
         error.code == ErrorCode::kTruncated;
}

void PrintAccepted(const std::string& answer) {
  const json document = json::parse(answer);
  std::cout << "accepted as revision " << document.at("revision");
  if (document.contains("in_force_on")) {
    std::cout << ", in force on " << document["in_force_on"] << " of "
              << document["processes"] << " processes so far";
  }
  std::cout << "\n";
}

}  // namespace

Result<void> CheckFile(const std::string& path) {
  const auto parsed = TRY(ReadCatalogueFile(path));
  std::cout << path << ": valid, " << parsed.owners.size() << " owners, "
            << parsed.entries.size() << " entries, " << parsed.groups.size()
            << " groups\n";
  return Succeed();
}

Result<void> DiffFile(const std::string& path) {
  const auto parsed = TRY(ReadCatalogueFile(path));
  const InForce in_force = TRY(FetchInForce());
  PrintDifference(std::cout, in_force, parsed);
  return Succeed();
}

Result<void> ApplyFile(const std::string& path, const ApplyOptions& options) {
  const auto parsed = TRY(ReadCatalogueFile(path));
  if (options.base_revision < 0) {
    return Fail(ErrorCode::kInvalidSetting, "base-revision",
                "required: the revision on which the file is based (0: none "
                "yet); without it the edit of another operator could be "
                "undone");
  }
  const std::string id = ChooseChangeId(options.change_id);
  const json change = {
      {"id", id},
      {"base_revision", options.base_revision},
      {"catalogue", json::parse(catalogue::SerializeJson(parsed))}};
  const auto answer = FetchBody("POST", kChangesPath, change.dump());
  if (answer.has_value()) {
    PrintAccepted(answer.value());
    return Succeed();
  }
  if (is_outcome_unknown(answer.error())) {
    PrintRetryCommand("bramleyspanctl catalogue apply --change_id=" + id +
                      " --base_revision=" +
                      std::to_string(options.base_revision) + " " + path);
  } else if (answer.error().code == ErrorCode::kConflict) {
    // The other operator's edit appears as what this file would revert.
    const InForce in_force =
        TRY(AwaitNewerThan(static_cast<uint64_t>(options.base_revision)));
    PrintDifference(std::cerr, in_force, parsed);
  }
  return boost::outcome_v2::failure(answer.error());
}

Result<void> RestoreCatalogue(const std::string& change_id,
                              bool abandons_other_branches) {
  const std::string id = ChooseChangeId(change_id);
  const auto answer = FetchBody(
      "POST", kRestorePath,
      json{{"id", id}, {"abandon_other_branches", abandons_other_branches}}
          .dump());
  if (answer.has_value()) {
    PrintAccepted(answer.value());
    return Succeed();
  }
  if (is_outcome_unknown(answer.error())) {
    PrintRetryCommand(
        std::string("bramleyspanctl catalogue restore ") +
        (abandons_other_branches ? "--abandon_other_branches " : "") +
        "--change_id=" + id);
  }
  return boost::outcome_v2::failure(answer.error());
}

Result<void> PrintHistory() {
  const std::string answer =
      TRY(FetchBody("GET", "/v1/operator/catalogue/history", ""));
  const json document = json::parse(answer);
  for (const json& change : document.at("changes")) {
    std::cout << "revision " << change.at("revision") << "\t"
              << change.at("id").get<std::string>() << "\n";
  }
  for (const json& change : document.at("abandoned")) {
    std::cout << "abandoned " << change.at("revision") << "\t"
              << change.at("id").get<std::string>() << "\n";
  }
  return Succeed();
}

}  // namespace bramleyspan

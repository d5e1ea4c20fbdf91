// The commands of the operators' tool. Each prints its outcome or fails.
#pragma once

#include <string>
#include <vector>

#include "Kernel/Result.h"
#include "Utilities/bramleyspanctl/OperatorClient.h"

namespace bramleyspan {

// The entries and the key that flags or environment variables give.
Result<OperatorClient> MakeClient();

// Sends a request and returns the body of its answer. A refusal comes back as
// the failure that the entry named.
Result<std::string> AskForBody(const std::string& method,
                               const std::string& path,
                               const std::string& body);

// How a change set is sent.
struct ApplyOptions {
  // The revision from which the file was made; negative if not given.
  int64_t base_revision = -1;
  // The id of an earlier try; empty for a new change.
  std::string change_id;
};

Result<void> CheckFile(const std::string& path);
Result<void> DiffFile(const std::string& path);
Result<void> ApplyFile(const std::string& path, const ApplyOptions& options);
Result<void> RestoreCatalogue(const std::string& change_id,
                              bool abandons_other_branches);
Result<void> PrintHistory();
Result<void> PrintStatus();

// Prints a request's records, and what its processes came to believe around
// it, from log files or directories of them. Fails with kNotFound.
Result<void> ExplainRequest(const std::string& request,
                            const std::vector<std::string>& paths);

// Where usage is read, and how it is added up.
struct UsageOptions {
  std::string adapter;
  // IP:PORT of the platform's store.
  std::string store;
  // IP:PORT of gateways' internal ports, for what is not stored yet.
  std::string gateways;
  // Columns: owner, entry, service, gateway, window.
  std::string by;
};

// Prints who caused which work.
Result<void> PrintUsage(const UsageOptions& options);

}  // namespace bramleyspan

// The commands of the operators' tool. Each prints its result or fails.
#pragma once

#include <string>
#include <vector>

#include "Kernel/Result.h"
#include "Utilities/bramleyspanctl/OperatorClient.h"

namespace bramleyspan {

// Returns a client with the entries and the key from flags or environment
// variables.
Result<OperatorClient> MakeClient();

// Sends a request and returns the body of the answer. If the entry refuses it,
// fails with the error code and message of the entry's answer.
Result<std::string> FetchBody(const std::string& method,
                              const std::string& path,
                              const std::string& body);

// Options of `catalogue apply`.
struct ApplyOptions {
  // The revision on which the file is based; negative if not given.
  int64_t base_revision = -1;
  // The id of an earlier attempt of the same change; empty for a new change.
  std::string change_id;
};

Result<void> CheckFile(const std::string& path);
Result<void> DiffFile(const std::string& path);
Result<void> ApplyFile(const std::string& path, const ApplyOptions& options);
Result<void> RestoreCatalogue(const std::string& change_id,
                              bool abandons_other_branches);
Result<void> PrintHistory();
Result<void> PrintStatus();

// Prints the log records of a request, and the state changes that the processes
// which handled it logged around that time. `paths` are log files or
// directories of them. Fails with kNotFound if no record names the request.
Result<void> ExplainRequest(const std::string& request,
                            const std::vector<std::string>& paths);

// Prints how many streams were late by cause, in each 2 s, and with
// `prints_streams` a line for each. `paths` are log files or directories of
// them.
Result<void> PrintCauses(const std::vector<std::string>& paths,
                         bool prints_streams);

// Where usage is read from, and by which columns it is summed.
struct UsageOptions {
  // Name of the platform adapter that reads the store.
  std::string adapter;
  // IP:PORT of the platform's store.
  std::string store;
  // IP:PORT,... of the internal ports of gateways, for usage that is not stored
  // yet; empty to read the store alone.
  std::string gateways;
  // Columns, separated by commas: owner, entry, service, gateway, window.
  std::string by;
};

// Prints the usage counts, one row for each combination of the columns' values,
// and their total.
Result<void> PrintUsage(const UsageOptions& options);

// Prints the parts of prompts that gateways suspect or keep from all targets.
// `gateways` are IP:PORT,... of their internal ports.
Result<void> PrintQuarantine(const std::string& gateways);

// Ends the quarantine of a part. Fails with kNotFound if no gateway has it.
Result<void> ReleaseFromQuarantine(const std::string& gateways,
                                   const std::string& service,
                                   const std::string& part);

// Prints the availability zones that each gateway knows to be evacuated.
// `gateways` are IP:PORT,... of their internal ports.
Result<void> PrintZones(const std::string& gateways);

}  // namespace bramleyspan

// The usage command: reads the documents that gateways write to the store, and
// the counts of gateways that are not stored yet, and sums them by the columns
// that were asked for.
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

#include "Kernel/EventLoop.h"
#include "LibGateway/Adapter.h"
#include "LibUsage/Aggregator.h"
#include "LibUsage/Totals.h"
#include "Utilities/bramleyspanctl/Commands.h"

namespace bramleyspan {

namespace {

using nlohmann::json;
using usage::Counts;
using usage::Rows;
using usage::Source;

constexpr Duration kPageTimeout = std::chrono::seconds(5);

Result<platform::RangePage> ReadPage(EventLoop& loop,
                                     const platform::Store& store,
                                     const std::string& after) {
  Result<platform::RangePage> page =
      Fail(ErrorCode::kUnavailable, "store", "no answer");
  store.range({.prefix = std::string(usage::kDocumentPrefix),
               .after = after,
               .timeout = kPageTimeout},
              [&](Result<platform::RangePage> answer) {
                page = std::move(answer);
                loop.Stop();
              });
  loop.Run();
  return page;
}

// Reads the rows of all stored documents. A document that can't be parsed is
// reported on stderr and skipped, so that the others are still shown.
Result<Rows> ReadStored(const UsageOptions& options) {
  const auto make = TRY(
      PluginRegistry<gateway::MakeAdapter>::Instance().Find(options.adapter));
  EventLoop loop;
  const platform::Store store =
      make().open_store(loop, TRY(ParseAddress(options.store)));
  Rows rows;
  std::string after;
  for (bool has_more = true; has_more;) {
    const platform::RangePage page = TRY(ReadPage(loop, store, after));
    has_more = page.has_more && !page.items.empty();
    for (const platform::StoreItem& item : page.items) {
      after = item.key;
      const auto document = usage::ParseDocument(item.value);
      if (document.has_error()) {
        std::cerr << item.key << ": " << Describe(document.error()) << "\n";
        continue;
      }
      usage::MergeRows(rows, document.value());
    }
  }
  return rows;
}

Result<Rows> ReadGateway(const Address& gateway) {
  const OperatorClient client{.entries = {gateway}, .key = ""};
  const http::Response response =
      TRY(SendRequest(client, "GET", "/v1/usage", ""));
  return usage::ParseDocument(response.body);
}

std::string FormatWindowStart(usage::Window window) {
  const auto begins = std::chrono::duration_cast<std::chrono::seconds>(
      usage::kWindowLength * static_cast<int64_t>(window));
  const std::time_t seconds = begins.count();
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  return absl::StrFormat("%04d-%02d-%02dT%02d:%02dZ", parts.tm_year + 1900,
                         parts.tm_mon + 1, parts.tm_mday, parts.tm_hour,
                         parts.tm_min);
}

// Returns the value of a row in the column `by`.
Result<std::string> ColumnValue(const std::string& by, const Source& source) {
  if (by == "owner") {
    return source.owner;
  }
  if (by == "entry") {
    return source.entry;
  }
  if (by == "service") {
    return source.service;
  }
  if (by == "gateway") {
    return source.agent;
  }
  if (by == "window") {
    return FormatWindowStart(source.window);
  }
  return Fail(ErrorCode::kInvalidSetting, "by",
              "'" + by +
                  "'; allowed: owner, entry, service, gateway, window, "
                  "separated by commas");
}

void PrintRow(const std::vector<std::string>& names, const Counts& counts) {
  for (const std::string& name : names) {
    std::cout << absl::StrFormat("%-24s ", name);
  }
  for (const usage::Unit& unit : usage::kUnits) {
    const int width = std::max<int>(8, static_cast<int>(unit.name.size()));
    std::cout << absl::StrFormat(" %*d", width, counts.*unit.value);
  }
  std::cout << "\n";
}

void PrintHeader(const std::vector<std::string>& columns) {
  for (const std::string& column : columns) {
    std::cout << absl::StrFormat("%-24s ", column);
  }
  for (const usage::Unit& unit : usage::kUnits) {
    const int width = std::max<int>(8, static_cast<int>(unit.name.size()));
    std::cout << absl::StrFormat(" %*s", width, unit.name);
  }
  std::cout << "\n";
}

}  // namespace

Result<void> PrintUsage(const UsageOptions& options) {
  const std::vector<std::string> columns = absl::StrSplit(options.by, ',');
  for (const std::string& column : columns) {
    TRY(ColumnValue(column, {}));
  }
  Rows rows = TRY(ReadStored(options));
  if (!options.gateways.empty()) {
    for (const Address& gateway : TRY(ParseEntries(options.gateways))) {
      usage::MergeRows(rows, TRY(ReadGateway(gateway)));
    }
  }
  std::map<std::vector<std::string>, Counts> sums;
  Counts total;
  for (const auto& [source, counts] : rows) {
    std::vector<std::string> names;
    names.reserve(columns.size());
    for (const std::string& column : columns) {
      names.push_back(TRY(ColumnValue(column, source)));
    }
    usage::Add(sums[names], counts);
    usage::Add(total, counts);
  }
  PrintHeader(columns);
  for (const auto& [names, counts] : sums) {
    PrintRow(names, counts);
  }
  // The total has as many words as every other row, since scripts read columns
  // by position.
  std::vector<std::string> total_row(columns.size(), "*");
  total_row.front() = "total";
  PrintRow(total_row, total);
  return Succeed();
}

}  // namespace bramleyspan

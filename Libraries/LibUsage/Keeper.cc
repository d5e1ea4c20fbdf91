#include "LibUsage/Keeper.h"

#include <nlohmann/json.hpp>

#include "Kernel/Digest.h"

namespace bramleyspan::usage {

namespace {

using nlohmann::json;

constexpr std::string_view kKeyPrefix = "bramleyspan/usage/";

std::string KeyOf(const Keeper& keeper, Window window) {
  return std::string(kKeyPrefix) + std::to_string(window) + "/" +
         keeper.process + "/" + std::to_string(keeper.incarnation) + "/" +
         std::to_string(keeper.volume);
}

std::string DigestOf(const std::string& owner, const std::string& process) {
  std::string names = owner;
  names += '/';
  names += process;
  return Sha256Hex(names);
}

json ToJson(const Source& source, const Counts& counts) {
  return json::array({source.agent, source.incarnation, source.window,
                      source.owner, source.entry, counts.requests,
                      counts.tokens_in, counts.tokens_out,
                      counts.queue_microseconds, counts.retries, counts.hedges,
                      counts.cancelled, counts.loaded_bytes});
}

std::string Serialize(const Rows& rows) {
  json document = json::array();
  for (const auto& [source, counts] : rows) {
    document.push_back(ToJson(source, counts));
  }
  return document.dump();
}

}  // namespace

std::optional<std::string> ChooseKeeper(
    const std::string& owner,
    const std::vector<std::string>& processes) {
  std::optional<std::string> keeper;
  std::string highest;
  for (const std::string& process : processes) {
    const std::string digest = DigestOf(owner, process);
    if (digest > highest) {
      highest = digest;
      keeper = process;
    }
  }
  return keeper;
}

void TakeReport(Keeper& keeper, const Rows& report) {
  for (const auto& [source, counts] : report) {
    Counts& held = keeper.rows[source.window][source];
    // A report that tells nothing new must not cause a write: agents repeat
    // theirs until they hear that it is stored.
    if (!is_covered(counts, held)) {
      TakeLarger(held, counts);
      keeper.unwritten.insert(source.window);
    }
  }
}

std::vector<DocumentWrite> DueWrites(const Keeper& keeper) {
  std::vector<DocumentWrite> writes;
  for (const Window window : keeper.unwritten) {
    const Rows& rows = keeper.rows.at(window);
    // FIXME: Cut a document that would pass the service's megabyte.
    writes.push_back({KeyOf(keeper, window), Serialize(rows), window, rows});
  }
  return writes;
}

void HandleWritten(Keeper& keeper, const DocumentWrite& written) {
  const auto held = keeper.rows.find(written.window);
  if (held != keeper.rows.end() && held->second == written.rows) {
    keeper.unwritten.erase(written.window);
  }
}

void ForgetWindows(Keeper& keeper, Window oldest) {
  const auto forgotten = std::erase_if(keeper.rows, [&](const auto& item) {
    return item.first < oldest && !keeper.unwritten.contains(item.first);
  });
  // A late report begins a forgotten window anew with its own rows alone.
  // Under the old key its document would take away the rows of agents that
  // have died since; readers join all documents of a window.
  if (forgotten > 0) {
    ++keeper.volume;
  }
}

Result<Rows> ParseDocument(const std::string& text) {
  Rows rows;
  try {
    for (const json& row : json::parse(text)) {
      const Source source{row.at(0), row.at(1), row.at(2), row.at(3),
                          row.at(4)};
      rows[source] = {.requests = row.at(5),
                      .tokens_in = row.at(6),
                      .tokens_out = row.at(7),
                      .queue_microseconds = row.at(8),
                      .retries = row.at(9),
                      .hedges = row.at(10),
                      .cancelled = row.at(11),
                      .loaded_bytes = row.at(12)};
    }
  } catch (const json::exception& failure) {
    return Fail(ErrorCode::kMalformedDocument, "usage", failure.what());
  }
  return rows;
}

}  // namespace bramleyspan::usage

#include "LibUsage/Aggregator.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <set>

#include "Kernel/Digest.h"

namespace bramleyspan::usage {

namespace {

using nlohmann::json;

std::string KeyOf(const Aggregator& aggregator, const DocumentId& id) {
  return std::string(kDocumentPrefix) + std::to_string(id.window) + "/" +
         aggregator.process + "/" + std::to_string(aggregator.incarnation) +
         "/" + std::to_string(aggregator.generation) + "/" +
         std::to_string(id.number);
}

std::string DigestOf(const std::string& owner, const std::string& process) {
  std::string names = owner;
  names += '/';
  names += process;
  return Sha256Hex(names);
}

json ToJson(const Source& source, const Counts& counts) {
  json row = json::array({source.agent, source.incarnation, source.window,
                          source.owner, source.entry, source.service});
  for (const Unit& unit : kUnits) {
    row.push_back(counts.*unit.value);
  }
  return row;
}

// Returns the document that holds a row, or the first one with room for it.
DocumentId DocumentIdFor(Aggregator& aggregator, const Source& source) {
  const auto known = aggregator.document_ids.find(source);
  if (known != aggregator.document_ids.end()) {
    return known->second;
  }
  DocumentId id{.window = source.window, .number = 0};
  while (aggregator.documents[id].rows.size() >= kMostRowsPerDocument) {
    ++id.number;
  }
  aggregator.document_ids.emplace(source, id);
  return id;
}

}  // namespace

std::optional<std::string> ChooseAggregator(
    const std::string& owner,
    const std::vector<std::string>& processes) {
  std::optional<std::string> aggregator;
  std::string highest;
  for (const std::string& process : processes) {
    const std::string digest = DigestOf(owner, process);
    if (digest > highest) {
      highest = digest;
      aggregator = process;
    }
  }
  return aggregator;
}

void ApplyReport(Aggregator& aggregator, const Rows& report) {
  for (const auto& [source, counts] : report) {
    Document& document =
        aggregator.documents[DocumentIdFor(aggregator, source)];
    Counts& held = document.rows[source];
    // A report without news must not cause a write: agents repeat their reports
    // until they know that the rows are stored.
    if (!is_covered(counts, held)) {
      MergeMaximum(held, counts);
      document.is_due = true;
    }
  }
}

std::vector<DocumentWrite> DueWrites(const Aggregator& aggregator) {
  std::vector<DocumentWrite> writes;
  for (const auto& [id, document] : aggregator.documents) {
    if (document.is_due) {
      writes.push_back({KeyOf(aggregator, id), SerializeDocument(document.rows),
                        id, document.rows});
    }
  }
  return writes;
}

void HandleWritten(Aggregator& aggregator, const DocumentWrite& written) {
  const auto held = aggregator.documents.find(written.id);
  if (held != aggregator.documents.end() && held->second.rows == written.rows) {
    held->second.is_due = false;
  }
}

bool RemoveWindows(Aggregator& aggregator, Window oldest) {
  std::set<Window> due;
  for (const auto& [id, document] : aggregator.documents) {
    if (document.is_due) {
      due.insert(id.window);
    }
  }
  const auto is_removable = [&](Window window) {
    return window < oldest && !due.contains(window);
  };
  const auto removed = std::erase_if(
      aggregator.documents,
      [&](const auto& item) { return is_removable(item.first.window); });
  std::erase_if(aggregator.document_ids, [&](const auto& item) {
    return is_removable(item.first.window);
  });
  // A late report starts a removed window again with its own rows only. Under
  // the old key its document would overwrite the rows of agents that have died
  // since. Readers merge all documents of a window.
  if (removed == 0) {
    return false;
  }
  ++aggregator.generation;
  return true;
}

std::string SerializeDocument(const Rows& rows) {
  json document = json::array();
  for (const auto& [source, counts] : rows) {
    document.push_back(ToJson(source, counts));
  }
  // Names come from operators and may not be valid UTF-8.
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<Rows> ParseDocument(const std::string& text) {
  constexpr size_t kNames = 6;
  Rows rows;
  try {
    for (const json& row : json::parse(text)) {
      const Source source{row.at(0), row.at(1), row.at(2),
                          row.at(3), row.at(4), row.at(5)};
      Counts& counts = rows[source];
      for (size_t unit = 0; unit < kUnits.size(); ++unit) {
        counts.*kUnits[unit].value = row.at(kNames + unit);
      }
    }
  } catch (const json::exception& failure) {
    return Fail(ErrorCode::kMalformedDocument, "usage", failure.what());
  }
  return rows;
}

std::optional<Window> WindowOfKey(std::string_view key) {
  if (!key.starts_with(kDocumentPrefix)) {
    return std::nullopt;
  }
  key.remove_prefix(kDocumentPrefix.size());
  const size_t end = key.find('/');
  Window window = 0;
  const auto [stop, failure] = std::from_chars(
      key.data(), key.data() + std::min(end, key.size()), window);
  const bool is_number = failure == std::errc{} &&
                         end != std::string_view::npos &&
                         stop == key.data() + end;
  return is_number ? std::optional<Window>(window) : std::nullopt;
}

}  // namespace bramleyspan::usage

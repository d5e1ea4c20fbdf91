// The aggregator merges usage rows and writes them as documents to the
// key-value service, a few for each window. Where agents report, an entry
// process aggregates the rows of the owners assigned to it; a gateway
// aggregates the rows that it counted itself.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Kernel/Result.h"
#include "LibUsage/Counts.h"

namespace bramleyspan::usage {

// The keys of all documents of all aggregators begin with this prefix.
inline constexpr std::string_view kDocumentPrefix = "bramleyspan/usage/";

// The largest number of rows in one document. A row with the longest names and
// numbers takes less than 400 bytes, so that a document fits into the key-value
// service's megabyte, also in base64.
inline constexpr size_t kMostRowsPerDocument = 1500;

// Returns the process that aggregates an owner's usage: the one with the
// highest digest of the owner's and the process's names. Processes with
// different views may choose different ones for a while; that stores some rows
// twice and counts nothing twice.
std::optional<std::string> ChooseAggregator(
    const std::string& owner,
    const std::vector<std::string>& processes);

// Identifies one of the documents of a window.
struct DocumentId {
  Window window = 0;
  uint32_t number = 0;

  auto operator<=>(const DocumentId&) const = default;
};

struct Document {
  Rows rows;
  // Whether rows have changed since the document was stored.
  bool is_due = false;
};

// A document to be written. Its key contains the aggregator's name and
// incarnation, so that no other process writes it; repeating a write, or one
// whose reply was lost, changes nothing. A delayed write must not replace a
// later one: whoever carries it out makes it conditional on the content that it
// replaces.
struct DocumentWrite {
  std::string key;
  std::string text;
  DocumentId id;
  Rows rows;
};

struct Aggregator {
  std::string process;
  uint64_t incarnation = 0;
  std::map<DocumentId, Document> documents;
  // The document of each row. A row never moves to another document: if only
  // one of the two writes succeeded, the row would be missing from the store.
  std::map<Source, DocumentId> document_ids;
  // How often windows were removed. It is part of the documents' keys, so that
  // a removed window that is started again does not overwrite its earlier
  // documents.
  uint64_t generation = 0;
};

// Merges rows that an agent reported.
void ApplyReport(Aggregator& aggregator, const Rows& report);

// Returns the documents to write now; called once in each write interval. A
// document stays due until HandleWritten.
std::vector<DocumentWrite> DueWrites(const Aggregator& aggregator);

// Handles a stored document; the caller then reports its rows to their agents
// (HandleStored). If rows have changed during the write, the document stays
// due.
void HandleWritten(Aggregator& aggregator, const DocumentWrite& written);

// Removes windows before `oldest` whose documents are all stored; returns
// whether it removed any. A row of such a window that is reported again starts
// a new document and is not counted twice. From then on no document is written
// under an earlier key.
bool RemoveWindows(Aggregator& aggregator, Window oldest);

// Returns the document of rows.
std::string SerializeDocument(const Rows& rows);

// Parses a document. Fails with kMalformedDocument.
Result<Rows> ParseDocument(const std::string& text);

// Returns the window in a document's key; nothing if it is not the key of a
// document.
std::optional<Window> WindowOfKey(std::string_view key);

}  // namespace bramleyspan::usage

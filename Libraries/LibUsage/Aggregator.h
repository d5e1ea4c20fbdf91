// The keeper's side: a process joins rows and writes them as documents, a few
// for each window. Where agents report, an entry keeps the rows of the owners
// that fall to it; a gateway keeps those that it counted itself.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Kernel/Result.h"
#include "LibUsage/Counts.h"

namespace bramleyspan::usage {

// Under this prefix lie all documents of all keepers.
inline constexpr std::string_view kDocumentPrefix = "bramleyspan/usage/";

// Rows of one document. One of the longest names and numbers stays below 400
// bytes, so that a document stays below the service's megabyte, in base64 too.
inline constexpr size_t kMostRowsPerDocument = 1500;

// The process that keeps an owner's usage: the highest digest of the owner's
// and the process's names. Processes with other views may name another one
// for a while, which costs a second copy of some rows and adds nothing.
std::optional<std::string> ChooseAggregator(
    const std::string& owner,
    const std::vector<std::string>& processes);

// Which document of a window a row lies in.
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

// A write that is due. It sets the whole document under the keeper's own name
// and incarnation, so that nobody else writes there and writing it twice, or a
// write whose reply was lost, changes nothing. A write that is carried out
// late must not take the place of a later one: whoever carries it out makes it
// conditional on what it replaces.
struct DocumentWrite {
  std::string key;
  std::string text;
  DocumentId part;
  Rows rows;
};

struct Aggregator {
  std::string process;
  uint64_t incarnation = 0;
  std::map<DocumentId, Document> documents;
  // A row never moves to another document: while only one of the two writes
  // was done it would be missing from the store.
  std::map<Source, DocumentId> document_ids;
  // How often windows were forgotten. It is part of the documents' keys, so
  // that a forgotten window that is begun anew takes the place of none.
  uint64_t generation = 0;
};

// Rows that an agent reported.
void ApplyReport(Aggregator& aggregator, const Rows& report);

// The documents to write now; called once in a write interval. A document
// stays due until HandleWritten.
std::vector<DocumentWrite> DueWrites(const Aggregator& aggregator);

// A document is stored: its agents are told of its rows (HandleStored). Rows
// that came while it was written keep the document due.
void HandleWritten(Aggregator& aggregator, const DocumentWrite& written);

// Forgets written documents of windows before `oldest`. A row of such a window
// that is reported again starts a new document and adds nothing. Returns
// whether any was forgotten; no document is written under an earlier key from
// then on.
bool RemoveWindows(Aggregator& aggregator, Window oldest);

// Writes rows as a document.
std::string SerializeDocument(const Rows& rows);

// Parses a document. Fails with kMalformedDocument.
Result<Rows> ParseDocument(const std::string& text);

// The window of a document's key; nothing if the key is none of a document's.
std::optional<Window> WindowOfKey(std::string_view key);

}  // namespace bramleyspan::usage

// The keeper's side: an entry process joins the rows of the owners that it
// keeps and writes them as one document for each window.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Kernel/Result.h"
#include "LibUsage/Counts.h"

namespace bramleyspan::usage {

// The process that keeps an owner's usage: the highest digest of the owner's
// and the process's names. Processes with other views may name another one
// for a while, which costs a second copy of some rows and adds nothing.
std::optional<std::string> ChooseKeeper(
    const std::string& owner,
    const std::vector<std::string>& processes);

// A write that is due. It sets the whole document under the keeper's own name
// and incarnation, so that nobody else writes there and writing it twice, or a
// write whose reply was lost, changes nothing.
struct DocumentWrite {
  std::string key;
  std::string text;
  Window window = 0;
  Rows rows;
};

struct Keeper {
  std::string process;
  uint64_t incarnation = 0;
  std::map<Window, Rows> rows;
  // Windows with rows that were not written yet.
  std::set<Window> unwritten;
  // How often windows were forgotten. It is part of the documents' keys, so
  // that a forgotten window that is begun anew takes the place of none.
  uint64_t volume = 0;
};

// Rows that an agent reported.
void TakeReport(Keeper& keeper, const Rows& report);

// The documents to write now; called once in a write interval. A document
// stays due until HandleWritten.
std::vector<DocumentWrite> DueWrites(const Keeper& keeper);

// A document is stored: its agents are told of its rows (HandleStored). Rows
// that came while it was written keep the window due.
void HandleWritten(Keeper& keeper, const DocumentWrite& written);

// Forgets written windows before `oldest`. A row of such a window that is
// reported again starts a new document and adds nothing.
void ForgetWindows(Keeper& keeper, Window oldest);

// Parses a document. Fails with kMalformedDocument.
Result<Rows> ParseDocument(const std::string& text);

}  // namespace bramleyspan::usage

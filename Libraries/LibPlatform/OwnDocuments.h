// Writes documents under keys that nobody else writes, each as a whole.
//
// Failure: a write that got no answer is carried out seconds later, after the
// next one of the same document. It shows as a document that goes back to an
// older state. Every write is therefore conditional on the revision that it
// replaces; after one whose outcome is unknown the key is read before it is
// written again, so that whichever of the two writes comes first refuses the
// other.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "LibPlatform/Store.h"

namespace bramleyspan::platform {

class OwnDocuments {
 public:
  using OnDone = std::function<void(Result<void>)>;

  explicit OwnDocuments(const Store& store) : store(store) {}

  // Writes a document. Fails with what the store said; the document may have
  // been written all the same. One write of a key at a time.
  void Write(const std::string& key, std::string value, OnDone on_done);

  // No document is written under any of the keys so far. Not while one is being
  // written.
  void ForgetAll() { this->revisions.clear(); }

  // Documents whose revisions are kept.
  size_t known() const { return this->revisions.size(); }

 private:
  void Put(const std::string& key, std::string value, OnDone on_done);
  void ReadThenPut(const std::string& key, std::string value, OnDone on_done);

  const Store& store;
  // The revision that a key has, 0 while it does not exist; none while that is
  // unknown.
  std::map<std::string, std::optional<uint64_t>> revisions;
};

}  // namespace bramleyspan::platform

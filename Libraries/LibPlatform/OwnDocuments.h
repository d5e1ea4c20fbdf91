// Writes whole documents under keys that no other process writes.
//
// A write that timed out may be executed seconds later, after the next write of
// the same document, which would then return to an older state. So every write
// is conditional on the revision that it replaces. After a write with unknown
// outcome the key is read before it is written again, so that whichever of the
// two writes is executed first makes the other fail.
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

  // Writes a document. Fails with the store's error; the document may have been
  // written nevertheless. A key may have only one write at a time.
  void Write(const std::string& key, std::string value, OnDone on_done);

  // Drops the revisions of all keys written so far, which are not written any
  // more. Must not be called during a write.
  void DropRevisions() { this->revisions.clear(); }

  // Number of documents whose revisions are kept.
  size_t known() const { return this->revisions.size(); }

 private:
  void Put(const std::string& key, std::string value, OnDone on_done);
  void ReadThenPut(const std::string& key, std::string value, OnDone on_done);

  const Store& store;
  // Revisions by key: 0 while the key does not exist, none while it is unknown
  // whether the key exists and with which revision.
  std::map<std::string, std::optional<uint64_t>> revisions;
};

}  // namespace bramleyspan::platform

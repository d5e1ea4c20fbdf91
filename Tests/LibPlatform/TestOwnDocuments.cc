#include <doctest/doctest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "LibPlatform/OwnDocuments.h"

namespace bramleyspan::platform {

namespace {

// A store that can lose answers and execute the writes later.
struct LossyStore {
  Store store;
  std::map<std::string, StoreItem> items;
  uint64_t revision = 100;
  bool is_losing = false;
  bool is_down = false;
  std::vector<PutCall> late_writes;

  LossyStore() {
    this->store.put = [this](const PutCall& call, const auto& on_done) {
      if (this->is_down) {
        on_done(Fail(ErrorCode::kUnavailable, "store", "503"));
      } else if (this->is_losing) {
        this->late_writes.push_back(call);
        on_done(Fail(ErrorCode::kOutcomeUnknown, "store", "timeout"));
      } else {
        on_done(this->Apply(call));
      }
    };
    this->store.range = [this](const RangeCall& call, const auto& on_done) {
      RangePage page;
      for (const auto& [key, item] : this->items) {
        if (key.starts_with(call.prefix)) {
          page.items.push_back(item);
        }
      }
      on_done(page);
    };
  }

  Result<uint64_t> Apply(const PutCall& call) {
    const auto found = this->items.find(call.key);
    const uint64_t present =
        found == this->items.end() ? 0 : found->second.revision;
    if (call.expected_revision && *call.expected_revision != present) {
      return Fail(ErrorCode::kConflict, "store", "412");
    }
    this->items[call.key] = {
        .key = call.key, .value = call.value, .revision = ++this->revision};
    return this->revision;
  }

  void ApplyLateWrites() {
    for (const PutCall& call : std::exchange(this->late_writes, {})) {
      static_cast<void>(this->Apply(call));
    }
  }

  bool Write(OwnDocuments& documents, const std::string& value) {
    bool is_done = false;
    documents.Write("usage/1", value, [&](const Result<void>& result) {
      is_done = result.has_value();
    });
    return is_done;
  }
};

}  // namespace

// Failure: the answer to a write is lost and the store executes it after the
// next write of the same document. The document returns to its older state, and
// the usage counted in between is missing from the bill.
TEST_CASE("a write that is executed late does not replace a later one") {
  LossyStore fixture;
  OwnDocuments documents(fixture.store);
  CHECK(fixture.Write(documents, "one"));
  fixture.is_losing = true;
  CHECK_FALSE(fixture.Write(documents, "two"));
  fixture.is_losing = false;
  CHECK(fixture.Write(documents, "three"));
  fixture.ApplyLateWrites();
  CHECK(fixture.items.at("usage/1").value == "three");
  CHECK(fixture.Write(documents, "four"));
  CHECK(fixture.items.at("usage/1").value == "four");
}

// The first write of a key has no revision to expect, only that the key does
// not exist.
TEST_CASE("a first write that is executed late replaces nothing") {
  LossyStore fixture;
  OwnDocuments documents(fixture.store);
  fixture.items["usage/10"] = {
      .key = "usage/10", .value = "other", .revision = 7};
  fixture.is_losing = true;
  CHECK_FALSE(fixture.Write(documents, "one"));
  fixture.is_losing = false;
  CHECK(fixture.Write(documents, "two"));
  fixture.ApplyLateWrites();
  CHECK(fixture.items.at("usage/1").value == "two");
}

// Failure: a late write is executed before the next one, which conflicts.
// Unless the write after that succeeds, the document is never written again.
TEST_CASE("a document is written again after a conflict") {
  LossyStore fixture;
  OwnDocuments documents(fixture.store);
  CHECK(fixture.Write(documents, "one"));
  fixture.items.at("usage/1").revision = 999;
  CHECK_FALSE(fixture.Write(documents, "two"));
  CHECK(fixture.Write(documents, "three"));
  CHECK(fixture.items.at("usage/1").value == "three");
}

// Failure: a gateway keeps a revision for each document that it ever wrote, and
// its memory use grows.
TEST_CASE("documents that are not written any more take no memory") {
  LossyStore fixture;
  OwnDocuments documents(fixture.store);
  CHECK(fixture.Write(documents, "one"));
  CHECK(documents.known() == 1);
  documents.DropRevisions();
  CHECK(documents.known() == 0);
}

// A write fails with kUnavailable only if it was not executed, so the known
// revision stays valid and the next write needs no read.
TEST_CASE("an unavailable store does not invalidate a known revision") {
  LossyStore fixture;
  OwnDocuments documents(fixture.store);
  fixture.is_down = true;
  CHECK_FALSE(fixture.Write(documents, "one"));
  fixture.is_down = false;
  CHECK(fixture.Write(documents, "two"));
}

}  // namespace bramleyspan::platform

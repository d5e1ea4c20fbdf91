#include <doctest/doctest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "LibPlatform/OwnDocuments.h"

namespace bramleyspan::platform {

namespace {

// A store that loses answers and carries writes out when the test wants it.
struct LossyStore {
  Store store;
  std::map<std::string, StoreItem> items;
  uint64_t revision = 100;
  bool is_losing = false;
  bool is_down = false;
  std::vector<PutCall> late;

  LossyStore() {
    this->store.put = [this](const PutCall& call, const auto& on_done) {
      if (this->is_down) {
        on_done(Fail(ErrorCode::kUnavailable, "store", "503"));
      } else if (this->is_losing) {
        this->late.push_back(call);
        on_done(Fail(ErrorCode::kOutcomeUnknown, "store", "timeout"));
      } else {
        on_done(this->Do(call));
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

  Result<uint64_t> Do(const PutCall& call) {
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

  void CarryOutLate() {
    for (const PutCall& call : std::exchange(this->late, {})) {
      static_cast<void>(this->Do(call));
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

// The answer of a write is lost, the next write of the same document is done,
// and the store carries the first one out after it: the document goes back,
// and the work counted in between is missing from the bill.
TEST_CASE("a write that is carried out late does not replace a later one") {
  LossyStore world;
  OwnDocuments documents(world.store);
  CHECK(world.Write(documents, "one"));
  world.is_losing = true;
  CHECK_FALSE(world.Write(documents, "two"));
  world.is_losing = false;
  CHECK(world.Write(documents, "three"));
  world.CarryOutLate();
  CHECK(world.items.at("usage/1").value == "three");
  CHECK(world.Write(documents, "four"));
  CHECK(world.items.at("usage/1").value == "four");
}

// The first write of all is the one that comes late: there is no revision yet
// to tell the two apart, only whether the key exists.
TEST_CASE("a first write that is carried out late replaces nothing") {
  LossyStore world;
  OwnDocuments documents(world.store);
  world.items["usage/10"] = {
      .key = "usage/10", .value = "other", .revision = 7};
  world.is_losing = true;
  CHECK_FALSE(world.Write(documents, "one"));
  world.is_losing = false;
  CHECK(world.Write(documents, "two"));
  world.CarryOutLate();
  CHECK(world.items.at("usage/1").value == "two");
}

// The late write comes before the next one, which is then refused: the one
// after it must go through, or the document would never be written again.
TEST_CASE("a document is written again after a conflict") {
  LossyStore world;
  OwnDocuments documents(world.store);
  CHECK(world.Write(documents, "one"));
  world.items.at("usage/1").revision = 999;
  CHECK_FALSE(world.Write(documents, "two"));
  CHECK(world.Write(documents, "three"));
  CHECK(world.items.at("usage/1").value == "three");
}

// Failure: a gateway keeps a revision for each document that it ever wrote.
TEST_CASE("documents that are not written any more take no memory") {
  LossyStore world;
  OwnDocuments documents(world.store);
  CHECK(world.Write(documents, "one"));
  CHECK(documents.known() == 1);
  documents.ForgetAll();
  CHECK(documents.known() == 0);
}

// A store that was down has done nothing: the next write needs no read.
TEST_CASE("an outage does not make a document unsure") {
  LossyStore world;
  OwnDocuments documents(world.store);
  world.is_down = true;
  CHECK_FALSE(world.Write(documents, "one"));
  world.is_down = false;
  CHECK(world.Write(documents, "two"));
}

}  // namespace bramleyspan::platform

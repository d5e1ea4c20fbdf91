// The users' key-value store with revisions, ranges, watches, transactions and
// leases, and its failure modes.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "LibHTTP/Ingress.h"

namespace bramleyspan::standins {

using ExchangePointer = std::shared_ptr<http::IngressExchange>;

// How the store handles calls of the system under test. Writes through the
// control address always take effect.
enum class StoreMode {
  kServing,
  // Answers 503 to every call.
  kDown,
  // Reads every call and neither executes nor answers it.
  kUnresponsive,
  // Executes writes without answering those that succeed, and ends waiting
  // watches without an answer.
  kLosingAnswers,
  // Does not answer writes and executes each 2.5 s later, if its condition
  // still holds then. Reads are answered.
  kLateWrites,
};

// A delayed write.
struct LateWrite {
  TimePoint due;
  // The body of its call.
  std::string body;
};

struct StoredItem {
  std::string value;
  uint64_t revision = 0;
  uint64_t created = 0;
  uint64_t lease = 0;
};

struct StoreEvent {
  std::string key;
  StoredItem item;
  bool is_removed = false;
};

struct Watcher {
  std::string prefix;
  uint64_t after = 0;
  ExchangePointer exchange;
  TimePoint until;
};

struct UsersStore {
  std::map<std::string, StoredItem> items;
  std::deque<StoreEvent> history;
  // Changes up to this revision are no longer in the history.
  uint64_t dropped_until = 0;
  uint64_t revision = 10;
  std::map<uint64_t, TimePoint> leases;
  uint64_t last_lease = 0;
  std::list<Watcher> watchers;
  StoreMode mode = StoreMode::kServing;
  std::deque<LateWrite> late_writes;
};

void Put(UsersStore& store,
         const std::string& key,
         const std::string& value,
         uint64_t lease = 0);
void Remove(UsersStore& store, const std::string& key);

// Drops the history of changes and aborts all watches, whose clients have to
// read the whole range again.
void DropHistory(UsersStore& store);

// Executes the delayed writes that are due, removes the items of expired leases
// and ends watches whose wait is over.
void Advance(UsersStore& store, TimePoint now);

// Answers a call of the system.
void HandleStoreCall(UsersStore& store,
                     const http::IngressRequest& request,
                     const ExchangePointer& exchange);

}  // namespace bramleyspan::standins

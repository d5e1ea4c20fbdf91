// The users' key-value store as their protocol page describes it: revisions,
// ranges, watches, transactions and leases, and how it fails.
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

// How the store treats the system's calls; an operator's write always works.
enum class StoreMode {
  kServing,
  // Says 503 to everybody.
  kDown,
  // Reads everything and answers nothing.
  kSilent,
  // Does what is asked and loses the answer.
  kLosingAnswers,
  // Answers no write and carries it out seconds later, if its condition still
  // holds then. Reads are answered.
  kLateWrites,
};

// A write that waits to be carried out, as its call's body.
struct LateWrite {
  TimePoint due;
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
  // Changes up to this revision are forgotten.
  uint64_t forgotten = 0;
  uint64_t revision = 10;
  std::map<uint64_t, TimePoint> leases;
  uint64_t last_lease = 0;
  std::list<Watcher> watchers;
  StoreMode mode = StoreMode::kServing;
  std::deque<LateWrite> late;
};

void Put(UsersStore& store,
         const std::string& key,
         const std::string& value,
         uint64_t lease = 0);
void Remove(UsersStore& store, const std::string& key);

// Drops the history, so that watches have to read everything again.
void Forget(UsersStore& store);

// Ends leases and watches whose time is over, and carries late writes out.
void Advance(UsersStore& store, TimePoint now);

// Answers a call of the system.
void HandleStoreCall(UsersStore& store,
                     const http::IngressRequest& request,
                     const ExchangePointer& exchange);

}  // namespace bramleyspan::standins

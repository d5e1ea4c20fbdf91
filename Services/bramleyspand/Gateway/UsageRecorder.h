// Counts the usage of requests as they end, by tenant, route and service, and
// writes it to the store at intervals, as whole documents under keys of this
// process. Requests do not wait for these writes.
#pragma once

#include <functional>
#include <string>

#include "LibPlatform/OwnDocuments.h"
#include "LibUsage/Aggregator.h"
#include "LibUsage/Ledger.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"

namespace bramleyspan::gatewayd {

class UsageRecorder {
 public:
  explicit UsageRecorder(GatewayState& state)
      : state(state), documents(this->state.store) {}

  // Starts the periodic writes. The store of the state must be open.
  void Start();

  // Counts the work of a request that ended.
  void Count(const usage::Cause& cause, const usage::Counts& work);

  // Writes the documents that are due; `on_done` is called when every write has
  // ended, successfully or not. A planned stop loses no usage while the store
  // answers.
  void Write(std::function<void()> on_done);

  // Returns all usage that this process has counted and does not know to be
  // stored, as a document.
  std::string Serialize() const;

 private:
  void WritePeriodically();
  void WriteOne(const usage::DocumentWrite& write);
  void HandleWriteEnd();
  void RemoveOldDocuments();

  GatewayState& state;
  platform::OwnDocuments documents;
  usage::Ledger ledger;
  usage::Aggregator aggregator;
  size_t open_writes = 0;
  std::function<void()> on_all_written;
  TimePoint removed_at;
};

}  // namespace bramleyspan::gatewayd

// Who caused which work at this gateway: counted as requests end, written to
// the store every now and then, as whole documents under keys of this process.
// Nothing of a request waits for it.
#pragma once

#include <functional>
#include <string>

#include "LibPlatform/OwnDocuments.h"
#include "LibUsage/Aggregator.h"
#include "LibUsage/Ledger.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"

namespace bramleyspan::gatewayd {

class UsageKeeping {
 public:
  explicit UsageKeeping(GatewayState& state)
      : state(state), documents(this->state.store) {}

  // The state's store must be open.
  void Start();

  // A request has ended.
  void Count(const usage::Cause& cause, const usage::Counts& work);

  // Writes what is due; `on_done` hears when every write has ended, well or
  // not. A planned stop loses nothing while the store answers.
  void Write(std::function<void()> on_done);

  // All that this process has counted and knows no longer stored, as a
  // document.
  std::string Serialize() const;

 private:
  void WriteForever();
  void WriteOne(const usage::DocumentWrite& write);
  void HandleWriteEnd();
  void RemoveOld();

  GatewayState& state;
  platform::OwnDocuments documents;
  usage::Ledger ledger;
  usage::Aggregator aggregator;
  size_t open_writes = 0;
  std::function<void()> on_all_written;
  TimePoint removed_at;
};

}  // namespace bramleyspan::gatewayd

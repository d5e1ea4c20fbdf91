// Simulates in virtual time a store that serves watches of one prefix and can
// stop responding.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "LibPlatform/Store.h"
#include "VirtualTime.h"

namespace bramleyspan::platform {

class SimulatedStore {
 public:
  SimulatedStore(VirtualTime& time, Duration one_way);

  Store AsStore();

  // From now on neither waiting nor arriving watches get an answer.
  void StopResponding();
  void Recover() { this->is_unresponsive = false; }

  // Writes a key. Answers the waiting watches, unless the store is
  // unresponsive.
  void Write(const std::string& key);

 private:
  struct Call {
    uint64_t after = 0;
    TimePoint until;
    bool is_ended = false;
    std::function<void(Result<WatchAnswer>)> on_done;
  };
  void Watch(const WatchCall& call,
             std::function<void(Result<WatchAnswer>)> on_done);
  void HandleArrival(const std::shared_ptr<Call>& call);
  void Answer(const std::shared_ptr<Call>& call);
  std::vector<StoreItem> EventsAfter(uint64_t revision) const;

  VirtualTime& time;
  Duration one_way;
  std::vector<StoreItem> history;
  std::list<std::shared_ptr<Call>> waiting;
  uint64_t last_revision = 9;
  bool is_unresponsive = false;
};

}  // namespace bramleyspan::platform

// A store in virtual time that serves watches of one prefix and falls silent.
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

  // What is asked from now on is not answered, nor what waits.
  void FallSilent();
  void Return() { this->is_silent = false; }

  // Writes a key and answers the watches that wait for it.
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
  void Arrive(const std::shared_ptr<Call>& call);
  void Answer(const std::shared_ptr<Call>& call);
  std::vector<StoreItem> EventsAfter(uint64_t revision) const;

  VirtualTime& time;
  Duration one_way;
  std::vector<StoreItem> history;
  std::list<std::shared_ptr<Call>> waiting;
  uint64_t last_revision = 9;
  bool is_silent = false;
};

}  // namespace bramleyspan::platform

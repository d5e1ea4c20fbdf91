#include "SimulatedStore.h"

#include <utility>

namespace bramleyspan::platform {

SimulatedStore::SimulatedStore(VirtualTime& time, Duration one_way)
    : time(time), one_way(one_way) {}

Store SimulatedStore::AsStore() {
  Store store;
  store.range = [this](const RangeCall&, auto on_done) {
    this->time.timers().run_after(this->one_way * 2, [this, on_done] {
      on_done(
          RangePage{.items = this->history, .revision = this->last_revision});
    });
  };
  store.watch = [this](const WatchCall& call, auto on_done) {
    this->Watch(call, std::move(on_done));
  };
  return store;
}

void SimulatedStore::StopResponding() {
  this->is_unresponsive = true;
  this->waiting.clear();
}

void SimulatedStore::Write(const std::string& key) {
  this->history.push_back({.key = key, .revision = ++this->last_revision});
  if (this->is_unresponsive) {
    return;
  }
  for (const auto& call : std::exchange(this->waiting, {})) {
    this->Answer(call);
  }
}

void SimulatedStore::Watch(const WatchCall& call,
                           std::function<void(Result<WatchAnswer>)> on_done) {
  const Timers timers = this->time.timers();
  auto pending = std::make_shared<Call>(
      Call{.after = call.after,
           .until = this->time.now + this->one_way + call.wait,
           .on_done = std::move(on_done)});
  timers.run_after(this->one_way,
                   [this, pending] { this->HandleArrival(pending); });
  timers.run_after(call.wait + call.slack, [pending] {
    if (!std::exchange(pending->is_ended, true)) {
      pending->on_done(Fail(ErrorCode::kOutcomeUnknown, "store", "timeout"));
    }
  });
}

void SimulatedStore::HandleArrival(const std::shared_ptr<Call>& call) {
  if (this->is_unresponsive) {
    return;
  }
  if (!this->EventsAfter(call->after).empty()) {
    this->Answer(call);
    return;
  }
  this->waiting.push_back(call);
  this->time.timers().run_after(call->until - this->time.now, [this, call] {
    if (std::erase(this->waiting, call) > 0) {
      this->Answer(call);
    }
  });
}

void SimulatedStore::Answer(const std::shared_ptr<Call>& call) {
  WatchAnswer answer{.events = this->EventsAfter(call->after),
                     .revision = this->last_revision};
  this->time.timers().run_after(this->one_way,
                                [call, answer = std::move(answer)] {
                                  if (!std::exchange(call->is_ended, true)) {
                                    call->on_done(answer);
                                  }
                                });
}

std::vector<StoreItem> SimulatedStore::EventsAfter(uint64_t revision) const {
  std::vector<StoreItem> events;
  for (const StoreItem& item : this->history) {
    if (item.revision > revision) {
      events.push_back(item);
    }
  }
  return events;
}

}  // namespace bramleyspan::platform

#include "LibMemory/Hold.h"

#include <utility>

namespace bramleyspan::memory {

std::shared_ptr<HoldTable> MakeHoldTable(const AccountLimits& limits,
                                         Timers timers) {
  auto table = std::make_shared<HoldTable>();
  table->account.limits = limits;
  table->timers = std::move(timers);
  return table;
}

Hold::Hold(std::shared_ptr<HoldTable> table,
           Stage stage,
           std::function<void()> on_end)
    : table(std::move(table)) {
  if (this->table != nullptr) {
    this->id =
        AddHolder(this->table->account, stage, this->table->timers.now());
    this->table->on_end[this->id] = std::move(on_end);
  }
}

Hold& Hold::operator=(Hold&& other) noexcept {
  if (this != &other) {
    this->Release();
    this->table = std::exchange(other.table, nullptr);
    this->id = std::exchange(other.id, 0);
  }
  return *this;
}

bool Hold::Resize(size_t bytes) {
  if (this->table == nullptr) {
    return true;
  }
  const Room room = memory::Resize(this->table->account, this->id, bytes,
                                   this->table->timers.now());
  for (const HolderId ended : room.ended) {
    const auto found = this->table->on_end.extract(ended);
    // Not at once: the ended one may be at work further down the stack.
    if (!found.empty() && found.mapped()) {
      this->table->timers.run_after(Duration(0), found.mapped());
    }
  }
  return room.is_granted;
}

void Hold::RecordProgress(size_t bytes) {
  if (this->table != nullptr) {
    memory::RecordProgress(this->table->account, this->id, bytes,
                           this->table->timers.now());
  }
}

void Hold::SetStage(Stage stage, std::function<void()> on_end) {
  if (this->table != nullptr && !this->is_ended()) {
    memory::SetStage(this->table->account, this->id, stage,
                     this->table->timers.now());
    this->table->on_end[this->id] = std::move(on_end);
  }
}

void Hold::Release() {
  if (const auto held = std::exchange(this->table, nullptr)) {
    held->on_end.erase(this->id);
    RemoveHolder(held->account, this->id, held->timers.now());
  }
  this->id = 0;
}

bool Hold::is_ended() const {
  return this->table != nullptr &&
         !this->table->account.holders.contains(this->id);
}

size_t Hold::bytes() const {
  if (this->table == nullptr || this->is_ended()) {
    return 0;
  }
  return this->table->account.holders.at(this->id).bytes;
}

Duration Hold::TimeUntilRoom(size_t bytes) const {
  return this->table == nullptr
             ? Duration(0)
             : memory::TimeUntilRoom(this->table->account, bytes,
                                     this->table->timers.now());
}

}  // namespace bramleyspan::memory

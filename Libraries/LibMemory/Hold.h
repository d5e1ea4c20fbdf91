// Ties the holders of an account to the objects whose bytes they stand for.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "Kernel/EventLoop.h"
#include "LibMemory/Account.h"

namespace bramleyspan::memory {

// An account with what is to be done when a holder is ended.
struct HoldTable {
  Account account;
  Timers timers;
  std::map<HolderId, std::function<void()>> on_end;
};

std::shared_ptr<HoldTable> MakeHoldTable(const AccountLimits& limits,
                                         Timers timers);

// A holder of an account, which is removed with this object. One that is
// default-constructed has no account: it gets all that it wants.
class Hold {
 public:
  Hold() = default;
  // `on_end` is called once, from the loop, if the holder is ended for others.
  // What it holds counts as free from that decision on, so that nothing may be
  // begun with it: see is_ended.
  Hold(std::shared_ptr<HoldTable> table,
       Stage stage,
       std::function<void()> on_end);
  ~Hold() { this->Release(); }
  Hold(Hold&& other) noexcept { *this = std::move(other); }
  Hold& operator=(Hold&& other) noexcept;
  Hold(const Hold&) = delete;
  Hold& operator=(const Hold&) = delete;

  // Whether it may hold `bytes` in all.
  bool Resize(size_t bytes);
  void RecordProgress(size_t bytes);
  // Changes what its bytes are, and who ends them.
  void SetStage(Stage stage, std::function<void()> on_end);
  // Gives all room back.
  void Release();

  // Whether it was ended for others.
  bool is_ended() const;
  // Whether it is in an account.
  bool is_counted() const { return this->table != nullptr; }
  // What it may hold.
  size_t bytes() const;
  // After what time there may be room for so many bytes.
  Duration TimeUntilRoom(size_t bytes) const;

 private:
  std::shared_ptr<HoldTable> table;
  HolderId id = 0;
};

}  // namespace bramleyspan::memory

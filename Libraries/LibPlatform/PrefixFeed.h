// A local copy of all keys of a prefix in the store: reads them once, then
// watches for changes. A watch that fails, times out or falls behind is
// repeated; if the store no longer has its history, the prefix is read again.
// The changes that peers have are merged by revision, so that a process that
// the store does not answer gets changes nevertheless.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Kernel/EventLoop.h"
#include "LibPlatform/Store.h"

namespace bramleyspan::platform {

struct PrefixFeedSettings {
  std::string prefix;
  // Wait of a watch. An unresponsive connection shows only in a watch that is
  // not answered in time, so this bounds how late that is noticed.
  Duration watch_wait = std::chrono::milliseconds(1200);
  // Time beyond its wait after which a watch times out.
  Duration watch_slack = std::chrono::milliseconds(300);
  // Time between two watches. A feed that pauses gets its changes from peers,
  // and calls the store only in case all of them miss some.
  Duration pause = Duration(0);
  // Timeout of a call that the store answers without waiting for a change.
  Duration answer_timeout = std::chrono::milliseconds(700);
  // Wait of a watch while the store does not answer. A watch sent during an
  // outage may never be answered, and the next one follows only after its end.
  Duration probe_wait = std::chrono::milliseconds(20);
  // Delay of the next watch after one that returned changes, doubled each time
  // that the next returns more. Changes come in bursts, and each watch is a
  // paid call.
  Duration cooldown = Duration(0);
  Duration max_cooldown = std::chrono::milliseconds(450);
  // Delay before a retry while the store is unavailable, doubled with each
  // failure.
  Duration retry_delay = std::chrono::milliseconds(150);
  Duration max_retry_delay = std::chrono::milliseconds(900);
  // If the own watch has not returned a change this long after a peer sent it,
  // its connection counts as unresponsive.
  Duration lag_grace = std::chrono::milliseconds(900);
  // Keys removed during an outage of the store or just after it may be written
  // again at once: their leases expired because they could not be renewed.
  // Their removals are deferred for this long.
  Duration recovery_grace = std::chrono::milliseconds(2300);
};

// Returns the wait of a watch with which an unresponsive store is noticed
// within `notice_bound`.
Duration ActiveWatchWait(Duration notice_bound);

// Returns the settings of a feed that has the changes of the store within
// `notice_bound` after the store recovers, however long its outage was.
PrefixFeedSettings ActiveFeedSettings(std::string prefix,
                                      Duration notice_bound);

// The state of a key in a feed. A removed key stays with the revision of its
// removal, so that an older update that arrives late does not restore it.
struct FeedItem {
  std::string value;
  uint64_t revision = 0;
  bool is_removed = false;
  // When this state was received.
  TimePoint received_at;
};

// Where a change came from.
enum class FeedSource { kStore, kPeer };

// Returns the stable name of a source, such as "store".
std::string_view NameOf(FeedSource source);

// A call to the store that failed or timed out.
struct FailedCall {
  std::string_view call;
  Duration took{};
  // Delay before the retry.
  Duration next_in{};
  std::string reason;
};

// The store answers again, or has stopped answering.
struct ReachabilityChange {
  bool is_reachable = false;
  std::string reason;
  // Time since the store's last answer before this change.
  Duration unanswered_for{};
  // Number of calls that failed in this time.
  int failures = 0;
};

struct FeedEvents {
  // A key was written or removed.
  std::function<void(const StoreItem&, FeedSource)> on_change;
  std::function<void(const ReachabilityChange&)> on_reachability_change;
  std::function<void(const FailedCall&)> on_failure;
};

class PrefixFeed {
 public:
  PrefixFeed(Timers timers,
             Store& store,
             PrefixFeedSettings settings,
             FeedEvents events);
  PrefixFeed(const PrefixFeed&) = delete;
  PrefixFeed& operator=(const PrefixFeed&) = delete;

  // Reads the prefix, then watches it.
  void Start();

  // Merges the items and removals of a peer; those older than the known state
  // of their key change nothing. If `complete_to` is not 0, they include all
  // changes from updates_from() up to that revision.
  void Merge(const std::vector<StoreItem>& items, uint64_t complete_to);

  // Returns the revision up to which the feed has all changes; 0 if that is
  // unknown.
  uint64_t complete_to() const;

  // Changes the wait of watches and the pause between them. If the feed no
  // longer pauses, or a running watch would wait for longer, a new watch starts
  // at once.
  void SetWatchTiming(Duration wait, Duration pause);

  const std::map<std::string, FeedItem>& items() const {
    return this->items_by_key;
  }

  // Returns the revision of the newest change before which the feed has
  // deferred no removal.
  uint64_t newest_revision() const {
    return std::min(this->newest, this->BeforeDeferred());
  }

  // Returns the revision after which changes are requested from a peer. It is
  // not past deferred removals, so that the peer sends these too.
  uint64_t updates_from() const {
    return std::min(this->watched_revision, this->newest_revision());
  }

  // Whether all keys have been read once, from the store or a peer.
  bool is_loaded() const { return this->has_loaded; }
  void set_loaded() { this->has_loaded = true; }

  // Whether the store answered the last call.
  bool is_reachable() const { return this->reachable; }

  // Returns the time since the store's last answer.
  Duration age(TimePoint now) const { return now - this->last_answer; }

 private:
  void ReadPage(const std::string& after);
  void HandlePage(uint64_t call_generation, Result<RangePage> page);
  void FinishRange();
  void Watch();
  void HandleWatch(uint64_t call_generation, Result<WatchAnswer> answer);
  void Retry(std::string_view call, const Error& error);
  // Starts a new watch and drops the answer to the running one.
  void Restart();
  // Restarts the watch if it has not reached `revision` after `lag_grace`.
  void RestartIfBehind(uint64_t revision);
  void RecordAnswer();
  void Apply(const StoreItem& item, FeedSource source);
  void Remove(const std::string& key, uint64_t revision, FeedSource source);
  // Removes a key that the store no longer has, during recovery only after
  // `recovery_grace`. Changes after `before` include the removal.
  void HandleRemoval(const std::string& key,
                     uint64_t revision,
                     uint64_t before);
  bool is_recovering() const;
  // Returns the revision after which changes include all deferred removals.
  uint64_t BeforeDeferred() const;

  Timers timers;
  Store& store;
  PrefixFeedSettings settings;
  FeedEvents events;
  std::map<std::string, FeedItem> items_by_key;
  // Keys in the pages of the range so far, and the revision of its first page.
  std::map<std::string, uint64_t> listed;
  uint64_t range_revision = 0;
  // The revision after which the next watch begins; 0 before the first range.
  uint64_t watched_revision = 0;
  uint64_t newest = 0;
  // Answers to calls of an older generation are dropped.
  uint64_t generation = 0;
  bool has_loaded = false;
  bool reachable = true;
  // Consecutive failed calls, and consecutive watches with changes.
  int failures = 0;
  int bursts = 0;
  // A removal that is deferred: no later than `revision`, and after `before`.
  struct DeferredRemoval {
    uint64_t revision = 0;
    uint64_t before = 0;
  };
  // By key.
  std::map<std::string, DeferredRemoval> deferred;
  TimePoint last_answer;
  TimePoint last_call;
  // When the store last answered again after an outage.
  TimePoint recovered_at;
};

}  // namespace bramleyspan::platform

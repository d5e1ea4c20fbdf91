// Follows all keys of a prefix: reads them whole, then watches. A watch that
// is cut, silent, slow or has lost its history starts over; what peers have
// learnt meanwhile is merged by revision, so that an entry that the store
// turns away hears of changes all the same.
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
  // A silent channel shows only by a watch that is not answered in time, so
  // the wait bounds how late that is noticed.
  Duration watch_wait = std::chrono::milliseconds(1200);
  Duration watch_slack = std::chrono::milliseconds(300);
  // Between one watch and the next. A feed that pauses relies on the news of
  // peers, and asks the store only lest they all be wrong.
  Duration pause = Duration(0);
  // An answer for which nothing has to happen first takes no longer.
  Duration answer_timeout = std::chrono::milliseconds(700);
  // How long a watch waits while the store does not answer. One that was sent
  // to a silent store is never answered, and the next one waits for its end.
  Duration probe_wait = std::chrono::milliseconds(20);
  // After changes the next watch waits, since they come in bursts and each
  // watch is a call; twice as long after each that brings more of them.
  Duration rest = Duration(0);
  Duration longest_rest = std::chrono::milliseconds(450);
  // A store that is away is asked again after this time, and after twice as
  // long each time that it does not answer.
  Duration retry_delay = std::chrono::milliseconds(150);
  Duration longest_retry_delay = std::chrono::milliseconds(900);
  // A change that a peer knows and the own watch has not told after this time
  // shows that the watch's channel is silent.
  Duration silence_grace = std::chrono::milliseconds(900);
  // Keys that vanish together while the store was away, or just after, may be
  // back at once: their leases ran out unrenewed. They are held this long.
  Duration return_grace = std::chrono::milliseconds(2300);
};

// How long a watch waits where silence must show within the bound.
Duration CloseWatchWait(Duration notice_bound);

// The settings of a feed that hears the store within the bound after it was
// silent, however long that was.
PrefixFeedSettings CloseFeedSettings(std::string prefix, Duration notice_bound);

// What a feed holds of a key; a removed one is kept as its revision, so that
// news that are late do not bring it back.
struct FeedItem {
  std::string value;
  uint64_t revision = 0;
  bool is_removed = false;
  // When it was heard.
  TimePoint heard;
};

enum class FeedSource { kStore, kPeer };

// The stable name of a source, such as "store".
std::string_view NameOf(FeedSource source);

// A call to the store that failed or was given up.
struct FailedCall {
  std::string_view call;
  Duration took{};
  // When the next call follows.
  Duration next_in{};
  std::string reason;
};

// The store answers again, or no longer does.
struct ReachChange {
  bool is_reached = false;
  std::string reason;
  // How long the store was not heard.
  Duration unheard{};
  // Calls that failed meanwhile.
  int failures = 0;
};

struct FeedEvents {
  // Something was written or removed.
  std::function<void(const StoreItem&, FeedSource)> on_change;
  std::function<void(const ReachChange&)> on_reach;
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

  void Start();

  // Takes what a peer holds: items and removals with their revisions. Those
  // that are older than what is known change nothing. They are all changes up
  // to `complete_to` since the own one, if it is not 0.
  void Merge(const std::vector<StoreItem>& items, uint64_t complete_to);

  // Up to which revision all changes are held; 0 if that is not known.
  uint64_t complete_to() const;

  // Changes how long a watch waits and the feed pauses between them; a watch
  // under way that would wait for longer, or a pause, ends.
  void SetWatching(Duration wait, Duration pause);

  const std::map<std::string, FeedItem>& items() const { return this->held; }

  // The newest change known.
  uint64_t newest_revision() const { return this->newest; }

  // After which change peers' news are to begin: they tell of what is held back
  // here, too.
  uint64_t news_from() const { return std::min(this->watched, this->newest); }

  // Whether the keys were ever read whole, from the store or a peer.
  bool is_loaded() const { return this->has_loaded; }
  void set_loaded() { this->has_loaded = true; }

  bool is_reached() const { return this->reached; }

  // How long ago the store last answered.
  Duration age(TimePoint now) const { return now - this->last_answer; }

 private:
  void ReadPage(const std::string& after);
  void HandlePage(uint64_t turn, Result<RangePage> page);
  void FinishRange();
  void Watch();
  void HandleWatch(uint64_t turn, Result<WatchAnswer> answer);
  void Retry(std::string_view call, const Error& error);
  // Watches anew on a new channel.
  void Restart();
  void RestartIfSilent(uint64_t revision);
  void NoteAnswer();
  void Apply(const StoreItem& item, FeedSource source);
  void Remove(const std::string& key, uint64_t revision, FeedSource source);
  void HoldRemoval(const std::string& key, uint64_t revision);
  bool is_returning() const;

  Timers timers;
  Store& store;
  PrefixFeedSettings settings;
  FeedEvents events;
  std::map<std::string, FeedItem> held;
  std::map<std::string, uint64_t> in_range;
  uint64_t range_revision = 0;
  uint64_t watched = 0;
  uint64_t newest = 0;
  // Answers to an older turn are dropped.
  uint64_t turn = 0;
  bool has_loaded = false;
  bool reached = true;
  // Failures, and answers with changes, that followed each other.
  int failures = 0;
  int bursts = 0;
  // Removals that are held back.
  int removals_held = 0;
  TimePoint last_answer;
  TimePoint last_call;
  // When the store last came back after it had not answered.
  TimePoint returned;
};

}  // namespace bramleyspan::platform

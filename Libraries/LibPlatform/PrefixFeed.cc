#include "LibPlatform/PrefixFeed.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::platform {

namespace {

// Returns `first` doubled `times` times, at most `max_delay`.
Duration Doubled(Duration first, int times, Duration max_delay) {
  constexpr int kMaxDoublings = 10;
  return std::min(max_delay, first * (1 << std::min(times, kMaxDoublings)));
}

}  // namespace

Duration ActiveWatchWait(Duration notice_bound) {
  // Covers the timeout of the watch and the call that follows.
  constexpr Duration kReserve = std::chrono::milliseconds(800);
  constexpr Duration kMinWait = std::chrono::milliseconds(500);
  return std::max(kMinWait, notice_bound - kReserve);
}

PrefixFeedSettings ActiveFeedSettings(std::string prefix,
                                      Duration notice_bound) {
  constexpr Duration kCooldown = std::chrono::milliseconds(120);
  // Covers the network latency of the next call and its answer.
  constexpr Duration kReserve = std::chrono::milliseconds(100);
  PrefixFeedSettings settings{.prefix = std::move(prefix),
                              .watch_wait = ActiveWatchWait(notice_bound),
                              .cooldown = kCooldown};
  // The store may recover just after a call was sent to it: the timeout of that
  // call and the retry delay behind it both pass first.
  const Duration max_delay =
      notice_bound - kReserve - settings.probe_wait - settings.answer_timeout;
  settings.max_retry_delay =
      std::clamp(max_delay, settings.retry_delay, settings.max_retry_delay);
  return settings;
}

std::string_view NameOf(FeedSource source) {
  switch (source) {
    case FeedSource::kStore:
      return "store";
    case FeedSource::kPeer:
      return "peer";
  }
  return "store";
}

PrefixFeed::PrefixFeed(Timers timers,
                       Store& store,
                       PrefixFeedSettings settings,
                       FeedEvents events)
    : timers(std::move(timers)),
      store(store),
      settings(std::move(settings)),
      events(std::move(events)),
      last_answer(this->timers.now()),
      recovered_at(TimePoint::min()) {}

void PrefixFeed::Start() {
  ++this->generation;
  this->listed.clear();
  this->range_revision = 0;
  this->ReadPage("");
}

void PrefixFeed::Restart() {
  if (this->watched_revision == 0) {
    return;
  }
  ++this->generation;
  this->Watch();
}

void PrefixFeed::SetWatchTiming(Duration wait, Duration pause) {
  const bool is_shorter = wait < this->settings.watch_wait && this->reachable;
  const bool was_pausing =
      this->settings.pause > Duration(0) && pause == Duration(0);
  this->settings.watch_wait = wait;
  this->settings.pause = pause;
  if (was_pausing || (is_shorter && pause == Duration(0))) {
    this->Restart();
  }
}

void PrefixFeed::RestartIfBehind(uint64_t revision) {
  this->timers.run_after(this->settings.lag_grace,
                         [this, revision, call_generation = this->generation] {
                           if (call_generation == this->generation &&
                               this->reachable &&
                               this->watched_revision < revision) {
                             this->Restart();
                           }
                         });
}

void PrefixFeed::ReadPage(const std::string& after) {
  this->last_call = this->timers.now();
  this->store.range(
      {.prefix = this->settings.prefix,
       .after = after,
       .timeout = this->settings.answer_timeout},
      [this, call_generation = this->generation](Result<RangePage> page) {
        this->HandlePage(call_generation, std::move(page));
      });
}

void PrefixFeed::HandlePage(uint64_t call_generation, Result<RangePage> page) {
  if (call_generation != this->generation) {
    return;
  }
  if (page.has_error()) {
    this->Retry("range", page.error());
    return;
  }
  this->RecordAnswer();
  // The first watch returns what changes between two pages, since it continues
  // after the revision of the first page.
  if (this->range_revision == 0) {
    this->range_revision = page.value().revision;
  }
  for (const StoreItem& item : page.value().items) {
    this->listed[item.key] = item.revision;
    this->Apply(item, FeedSource::kStore);
  }
  if (page.value().has_more && !page.value().items.empty()) {
    this->ReadPage(page.value().items.back().key);
    return;
  }
  this->FinishRange();
}

void PrefixFeed::FinishRange() {
  std::vector<std::string> missing;
  for (const auto& [key, item] : this->items_by_key) {
    const bool is_listed = this->listed.contains(key);
    if (!item.is_removed && !is_listed &&
        item.revision <= this->range_revision) {
      missing.push_back(key);
    }
  }
  for (const std::string& key : missing) {
    this->HandleRemoval(key, this->range_revision,
                        this->items_by_key[key].revision);
  }
  this->has_loaded = true;
  this->watched_revision = this->range_revision;
  this->Watch();
}

void PrefixFeed::Watch() {
  this->last_call = this->timers.now();
  const Duration wait =
      this->reachable ? this->settings.watch_wait : this->settings.probe_wait;
  const Duration slack = this->reachable ? this->settings.watch_slack
                                         : this->settings.answer_timeout;
  this->store.watch(
      {.prefix = this->settings.prefix,
       .after = this->watched_revision,
       .wait = wait,
       .slack = slack},
      [this, call_generation = this->generation](Result<WatchAnswer> answer) {
        this->HandleWatch(call_generation, std::move(answer));
      });
}

void PrefixFeed::HandleWatch(uint64_t call_generation,
                             Result<WatchAnswer> answer) {
  if (call_generation != this->generation) {
    return;
  }
  if (answer.has_error()) {
    if (answer.error().code == ErrorCode::kHistoryGone) {
      this->RecordAnswer();
      this->Start();
      return;
    }
    this->Retry("watch", answer.error());
    return;
  }
  this->RecordAnswer();
  for (const StoreItem& item : answer.value().events) {
    if (item.is_removed) {
      this->HandleRemoval(item.key, item.revision, item.revision - 1);
    } else {
      this->Apply(item, FeedSource::kStore);
    }
  }
  this->watched_revision =
      std::max(this->watched_revision, answer.value().revision);
  const bool is_burst = !answer.value().events.empty();
  const Duration cooldown =
      is_burst ? Doubled(this->settings.cooldown, this->bursts++,
                         this->settings.max_cooldown)
               : Duration(0);
  if (!is_burst) {
    this->bursts = 0;
  }
  const Duration pause = std::max(cooldown, this->settings.pause);
  if (pause == Duration(0)) {
    this->Watch();
    return;
  }
  this->timers.run_after(pause, [this, call_generation] {
    if (call_generation == this->generation) {
      this->Watch();
    }
  });
}

void PrefixFeed::Retry(std::string_view call, const Error& error) {
  const TimePoint now = this->timers.now();
  if (std::exchange(this->reachable, false) &&
      this->events.on_reachability_change) {
    this->events.on_reachability_change(
        {.is_reachable = false,
         .reason = Describe(error),
         .unanswered_for = now - this->last_answer});
  }
  // A process cannot serve until the keys have been read, so the retry delay
  // does not grow before.
  const Duration delay =
      this->has_loaded
          ? std::max(this->settings.pause,
                     Doubled(this->settings.retry_delay, this->failures++,
                             this->settings.max_retry_delay))
          : this->settings.retry_delay;
  if (this->events.on_failure) {
    this->events.on_failure({.call = call,
                             .took = now - this->last_call,
                             .next_in = delay,
                             .reason = Describe(error)});
  }
  this->timers.run_after(delay, [this, call_generation = this->generation] {
    if (call_generation != this->generation) {
      return;
    }
    if (this->watched_revision == 0) {
      this->Start();
    } else {
      this->Watch();
    }
  });
}

void PrefixFeed::RecordAnswer() {
  const TimePoint now = this->timers.now();
  const Duration unanswered_for = now - std::exchange(this->last_answer, now);
  const int failed = std::exchange(this->failures, 0);
  if (!std::exchange(this->reachable, true)) {
    this->recovered_at = now;
    if (this->events.on_reachability_change) {
      this->events.on_reachability_change({.is_reachable = true,
                                           .reason = "the store answered",
                                           .unanswered_for = unanswered_for,
                                           .failures = failed});
    }
  }
}

bool PrefixFeed::is_recovering() const {
  return this->recovered_at != TimePoint::min() &&
         this->timers.now() - this->recovered_at <
             this->settings.recovery_grace;
}

void PrefixFeed::Apply(const StoreItem& item, FeedSource source) {
  const auto waiting = this->deferred.find(item.key);
  if (waiting != this->deferred.end() &&
      item.revision >= waiting->second.revision) {
    this->deferred.erase(waiting);
  }
  FeedItem& known = this->items_by_key[item.key];
  if (known.revision >= item.revision) {
    return;
  }
  known = {.value = item.value,
           .revision = item.revision,
           .is_removed = false,
           .received_at = this->timers.now()};
  this->newest = std::max(this->newest, item.revision);
  if (this->events.on_change) {
    this->events.on_change(item, source);
  }
}

void PrefixFeed::HandleRemoval(const std::string& key,
                               uint64_t revision,
                               uint64_t before) {
  // A feed that pauses may not have noticed an outage of the store.
  const bool may_reappear =
      this->is_recovering() || this->settings.pause > Duration(0);
  if (!may_reappear) {
    this->Remove(key, revision, FeedSource::kStore);
    return;
  }
  this->deferred[key] = {.revision = revision, .before = before};
  this->timers.run_after(this->settings.recovery_grace, [this, key, revision] {
    this->Remove(key, revision, FeedSource::kStore);
  });
}

uint64_t PrefixFeed::BeforeDeferred() const {
  uint64_t before = UINT64_MAX;
  for (const auto& [key, removal] : this->deferred) {
    before = std::min(before, removal.before);
  }
  return before;
}

uint64_t PrefixFeed::complete_to() const {
  const bool is_complete =
      this->deferred.empty() && !this->is_recovering() && this->reachable;
  return is_complete ? this->watched_revision : 0;
}

void PrefixFeed::Remove(const std::string& key,
                        uint64_t revision,
                        FeedSource source) {
  const auto waiting = this->deferred.find(key);
  if (waiting != this->deferred.end() && revision > waiting->second.before) {
    this->deferred.erase(waiting);
  }
  FeedItem& known = this->items_by_key[key];
  if (known.revision > revision || known.is_removed) {
    return;
  }
  known = {.value = "",
           .revision = revision,
           .is_removed = true,
           .received_at = this->timers.now()};
  this->newest = std::max(this->newest, revision);
  if (this->events.on_change) {
    this->events.on_change(
        {.key = key, .value = "", .revision = revision, .is_removed = true},
        source);
  }
}

void PrefixFeed::Merge(const std::vector<StoreItem>& items,
                       uint64_t complete_to) {
  uint64_t revision = 0;
  for (const StoreItem& item : items) {
    revision = std::max(revision, item.revision);
    if (item.is_removed) {
      this->Remove(item.key, item.revision, FeedSource::kPeer);
    } else {
      this->Apply(item, FeedSource::kPeer);
    }
  }
  if (this->watched_revision != 0) {
    this->watched_revision = std::max(this->watched_revision, complete_to);
  }
  if (revision > this->watched_revision) {
    this->RestartIfBehind(revision);
  }
}

}  // namespace bramleyspan::platform

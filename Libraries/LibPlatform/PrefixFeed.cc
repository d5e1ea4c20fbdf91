#include "LibPlatform/PrefixFeed.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::platform {

namespace {

// `first`, doubled so many times, at most `longest`.
Duration Doubled(Duration first, int times, Duration longest) {
  constexpr int kMostDoublings = 10;
  return std::min(longest, first * (1 << std::min(times, kMostDoublings)));
}

}  // namespace

Duration CloseWatchWait(Duration notice_bound) {
  // For giving the watch up and asking anew.
  constexpr Duration kReserve = std::chrono::milliseconds(800);
  constexpr Duration kShortest = std::chrono::milliseconds(500);
  return std::max(kShortest, notice_bound - kReserve);
}

PrefixFeedSettings CloseFeedSettings(std::string prefix,
                                     Duration notice_bound) {
  constexpr Duration kRest = std::chrono::milliseconds(120);
  // For the way of the next call and its answer.
  constexpr Duration kReserve = std::chrono::milliseconds(100);
  PrefixFeedSettings settings{.prefix = std::move(prefix),
                              .watch_wait = CloseWatchWait(notice_bound),
                              .rest = kRest};
  // The store may return just after it was asked: that call and the pause
  // behind it are both waited for.
  const Duration longest_pause =
      notice_bound - kReserve - settings.probe_wait - settings.answer_timeout;
  settings.longest_retry_delay = std::clamp(longest_pause, settings.retry_delay,
                                            settings.longest_retry_delay);
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
      returned(TimePoint::min()) {}

void PrefixFeed::Start() {
  ++this->turn;
  this->in_range.clear();
  this->range_revision = 0;
  this->ReadPage("");
}

void PrefixFeed::Restart() {
  if (this->watched == 0) {
    return;
  }
  ++this->turn;
  this->Watch();
}

void PrefixFeed::SetWatching(Duration wait, Duration pause) {
  const bool is_shorter = wait < this->settings.watch_wait && this->reached;
  const bool was_pausing =
      this->settings.pause > Duration(0) && pause == Duration(0);
  this->settings.watch_wait = wait;
  this->settings.pause = pause;
  if (was_pausing || (is_shorter && pause == Duration(0))) {
    this->Restart();
  }
}

void PrefixFeed::RestartIfSilent(uint64_t revision) {
  this->timers.run_after(
      this->settings.silence_grace, [this, revision, asked = this->turn] {
        if (asked == this->turn && this->reached && this->watched < revision) {
          this->Restart();
        }
      });
}

void PrefixFeed::ReadPage(const std::string& after) {
  this->last_call = this->timers.now();
  this->store.range({.prefix = this->settings.prefix,
                     .after = after,
                     .timeout = this->settings.answer_timeout},
                    [this, asked = this->turn](Result<RangePage> page) {
                      this->HandlePage(asked, std::move(page));
                    });
}

void PrefixFeed::HandlePage(uint64_t asked, Result<RangePage> page) {
  if (asked != this->turn) {
    return;
  }
  if (page.has_error()) {
    this->Retry("range", page.error());
    return;
  }
  this->NoteAnswer();
  // What changes between two pages is in the history after the first one.
  if (this->range_revision == 0) {
    this->range_revision = page.value().revision;
  }
  for (const StoreItem& item : page.value().items) {
    this->in_range[item.key] = item.revision;
    this->Apply(item, FeedSource::kStore);
  }
  if (page.value().has_more && !page.value().items.empty()) {
    this->ReadPage(page.value().items.back().key);
    return;
  }
  this->FinishRange();
}

void PrefixFeed::FinishRange() {
  std::vector<std::string> gone;
  for (const auto& [key, item] : this->held) {
    const bool is_listed = this->in_range.contains(key);
    if (!item.is_removed && !is_listed &&
        item.revision <= this->range_revision) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) {
    this->HoldRemoval(key, this->range_revision);
  }
  this->has_loaded = true;
  this->watched = this->range_revision;
  this->Watch();
}

void PrefixFeed::Watch() {
  this->last_call = this->timers.now();
  const Duration wait =
      this->reached ? this->settings.watch_wait : this->settings.probe_wait;
  const Duration slack = this->reached ? this->settings.watch_slack
                                       : this->settings.answer_timeout;
  this->store.watch({.prefix = this->settings.prefix,
                     .after = this->watched,
                     .wait = wait,
                     .slack = slack},
                    [this, asked = this->turn](Result<WatchAnswer> answer) {
                      this->HandleWatch(asked, std::move(answer));
                    });
}

void PrefixFeed::HandleWatch(uint64_t asked, Result<WatchAnswer> answer) {
  if (asked != this->turn) {
    return;
  }
  if (answer.has_error()) {
    if (answer.error().code == ErrorCode::kHistoryGone) {
      this->NoteAnswer();
      this->Start();
      return;
    }
    this->Retry("watch", answer.error());
    return;
  }
  this->NoteAnswer();
  for (const StoreItem& item : answer.value().events) {
    if (item.is_removed) {
      this->HoldRemoval(item.key, item.revision);
    } else {
      this->Apply(item, FeedSource::kStore);
    }
  }
  this->watched = std::max(this->watched, answer.value().revision);
  const bool is_burst = !answer.value().events.empty();
  const Duration rest = is_burst ? Doubled(this->settings.rest, this->bursts++,
                                           this->settings.longest_rest)
                                 : Duration(0);
  if (!is_burst) {
    this->bursts = 0;
  }
  const Duration pause = std::max(rest, this->settings.pause);
  if (pause == Duration(0)) {
    this->Watch();
    return;
  }
  this->timers.run_after(pause, [this, asked] {
    if (asked == this->turn) {
      this->Watch();
    }
  });
}

void PrefixFeed::Retry(std::string_view call, const Error& error) {
  const TimePoint now = this->timers.now();
  if (std::exchange(this->reached, false) && this->events.on_reach) {
    this->events.on_reach({.is_reached = false,
                           .reason = Describe(error),
                           .unheard = now - this->last_answer});
  }
  // Until the keys were read, a process cannot serve: it asks often.
  const Duration delay =
      this->has_loaded
          ? std::max(this->settings.pause,
                     Doubled(this->settings.retry_delay, this->failures++,
                             this->settings.longest_retry_delay))
          : this->settings.retry_delay;
  if (this->events.on_failure) {
    this->events.on_failure({.call = call,
                             .took = now - this->last_call,
                             .next_in = delay,
                             .reason = Describe(error)});
  }
  this->timers.run_after(delay, [this, asked = this->turn] {
    if (asked != this->turn) {
      return;
    }
    if (this->watched == 0) {
      this->Start();
    } else {
      this->Watch();
    }
  });
}

void PrefixFeed::NoteAnswer() {
  const TimePoint now = this->timers.now();
  const Duration unheard = now - std::exchange(this->last_answer, now);
  const int failed = std::exchange(this->failures, 0);
  if (!std::exchange(this->reached, true)) {
    this->returned = now;
    if (this->events.on_reach) {
      this->events.on_reach({.is_reached = true,
                             .reason = "it answers",
                             .unheard = unheard,
                             .failures = failed});
    }
  }
}

bool PrefixFeed::is_returning() const {
  return this->returned != TimePoint::min() &&
         this->timers.now() - this->returned < this->settings.return_grace;
}

void PrefixFeed::Apply(const StoreItem& item, FeedSource source) {
  FeedItem& known = this->held[item.key];
  if (known.revision >= item.revision) {
    return;
  }
  known = {.value = item.value,
           .revision = item.revision,
           .is_removed = false,
           .heard = this->timers.now()};
  this->newest = std::max(this->newest, item.revision);
  if (this->events.on_change) {
    this->events.on_change(item, source);
  }
}

void PrefixFeed::HoldRemoval(const std::string& key, uint64_t revision) {
  // One that pauses may not have noticed that the store was away.
  const bool may_be_back =
      this->is_returning() || this->settings.pause > Duration(0);
  if (!may_be_back) {
    this->Remove(key, revision, FeedSource::kStore);
    return;
  }
  ++this->removals_held;
  this->timers.run_after(this->settings.return_grace, [this, key, revision] {
    --this->removals_held;
    this->Remove(key, revision, FeedSource::kStore);
  });
}

uint64_t PrefixFeed::complete_to() const {
  const bool is_complete =
      this->removals_held == 0 && !this->is_returning() && this->reached;
  return is_complete ? this->watched : 0;
}

void PrefixFeed::Remove(const std::string& key,
                        uint64_t revision,
                        FeedSource source) {
  FeedItem& known = this->held[key];
  if (known.revision > revision || known.is_removed) {
    return;
  }
  known = {.value = "",
           .revision = revision,
           .is_removed = true,
           .heard = this->timers.now()};
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
  if (this->watched != 0) {
    this->watched = std::max(this->watched, complete_to);
  }
  if (revision > this->watched) {
    this->RestartIfSilent(revision);
  }
}

}  // namespace bramleyspan::platform

#include "Kernel/Digest.h"
#include "LibCatalogue/Watchers.h"
#include "LibPlatform/Backoff.h"
#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Entry/EntryState.h"

namespace bramleyspan::entry {

namespace {

using catalogue::Lineage;

// Interval at which the revision in force is sent to peers and lost shard
// requests are repeated.
constexpr Duration kAntiEntropyInterval = std::chrono::seconds(2);

void FetchShardsFromKeyValue(EntryState& state,
                             const std::vector<std::string>& digests) {
  for (const std::string& digest : digests) {
    state.key_value.Read(std::string(kShardPrefix) + digest,
                         [&state](const Result<platform::ReadAnswer>& answer) {
                           if (answer.has_value() && answer.value().value) {
                             state.feed.OfferShard(answer.value().value->text);
                           }
                         });
  }
}

// Compares the head in the service with the change that was in force here when
// the read was sent. If the head lacks it, the service has lost it. An answer
// that is merely late raises no alarm.
void RaiseOrClearStoreAlarms(EntryState& state,
                             const catalogue::Head& stored,
                             const catalogue::AcceptedChange& known) {
  const Lineage lineage = catalogue::CompareLineage(stored, known);
  const std::string detail = "the service holds change '" +
                             catalogue::NewestChange(stored).id +
                             "', in force is '" + known.id + "'";
  if (lineage == Lineage::kOlder) {
    state.feed.Raise(CatalogueAlarm::kStoreBehind, detail);
  } else {
    state.feed.Clear(CatalogueAlarm::kStoreBehind);
  }
  if (lineage == Lineage::kDiverged) {
    state.feed.Raise(CatalogueAlarm::kStoreDiverged, detail);
  } else {
    state.feed.Clear(CatalogueAlarm::kStoreDiverged);
  }
}

void OfferAnswer(EntryState& state,
                 const platform::ReadAnswer& answer,
                 const catalogue::AcceptedChange& known) {
  catalogue::Head stored;
  if (answer.value) {
    auto parsed = catalogue::ParseHead(answer.value->text);
    if (parsed.has_error()) {
      state.feed.Raise(CatalogueAlarm::kMalformed, Describe(parsed.error()));
      return;
    }
    stored = std::move(parsed).assume_value();
  }
  RaiseOrClearStoreAlarms(state, stored, known);
  catalogue::HandleStoreAnswer(state.readiness, stored.revision);
  state.feed.OfferHead(stored, [&state](const auto& missing) {
    FetchShardsFromKeyValue(state, missing);
  });
  RefreshReadiness(state);
}

bool is_watching(const EntryState& state) {
  std::vector<std::string> others;
  for (const auto& [name, link] : state.links) {
    if (link.has_sent_hello && link.role == "entry" && !link.is_leaving &&
        link.zone == state.settings.zone) {
      others.push_back(name);
    }
  }
  return catalogue::is_watcher(state.settings.name, others);
}

void FollowStore(EntryState& state);

void HandleHead(EntryState& state,
                const Result<platform::ReadAnswer>& answer,
                const catalogue::AcceptedChange& known) {
  StoreWatch& watch = state.store_watch;
  watch.is_call_open = false;
  if (answer.has_error()) {
    state.feed.Raise(CatalogueAlarm::kStoreUnavailable,
                     Describe(answer.error()));
    watch.index = 0;
    ++watch.failures;
    watch.is_call_open = true;
    state.loop.RunAfter(platform::BackoffDelay(watch.failures, RandomBits()),
                        [&state] {
                          state.store_watch.is_call_open = false;
                          FollowStore(state);
                        });
    return;
  }
  state.feed.Clear(CatalogueAlarm::kStoreUnavailable);
  watch.failures = 0;
  // A restore of the service resets the index to a lower value. A watch from
  // the old index would miss the changes until it is reached again.
  const bool is_index_reset = answer.value().index < watch.index;
  watch.index = is_index_reset ? 0 : answer.value().index;
  OfferAnswer(state, answer.value(), known);
  if (is_watching(state)) {
    FollowStore(state);
  }
}

// Reads or watches the head, one call at a time.
void FollowStore(EntryState& state) {
  if (state.store_watch.is_call_open) {
    return;
  }
  state.store_watch.is_call_open = true;
  auto on_done = [&state, known = state.feed.newest_change()](
                     const Result<platform::ReadAnswer>& answer) {
    HandleHead(state, answer, known);
  };
  const std::string key(kHeadKey);
  if (state.store_watch.index == 0) {
    state.key_value.Read(key, on_done);
    return;
  }
  state.key_value.Watch(key, state.store_watch.index, on_done);
}

// Requests the missing shards of a pending head from one peer and the key-value
// service.
void RetryShardRequests(EntryState& state) {
  const auto missing = state.feed.pending_shards();
  if (missing.empty()) {
    return;
  }
  FetchShardsFromKeyValue(state, missing);
  for (auto& [name, link] : state.links) {
    if (link.has_sent_hello && link.in_force.revision > state.feed.revision()) {
      state.feed.RequestPendingShards(*link.connection);
      return;
    }
  }
}

void RunAntiEntropy(EntryState& state) {
  RetryShardRequests(state);
  SendInForce(state);
  RefreshReadiness(state);
  if (is_watching(state)) {
    FollowStore(state);
  }
  state.loop.RunAfter(kAntiEntropyInterval,
                      [&state] { RunAntiEntropy(state); });
}

}  // namespace

void RefreshReadiness(EntryState& state) {
  state.is_ready = catalogue::UpdateReadiness(
      state.readiness, state.feed.revision(), EventLoop::Now());
}

void StartCatalogueSource(EntryState& state) {
  state.readiness.started = EventLoop::Now();
  state.feed.on_in_force = [&state] {
    AnnounceCatalogue(state);
    RefreshReadiness(state);
  };
  FollowStore(state);
  RunAntiEntropy(state);
  state.loop.RunAfter(catalogue::kPeerWait,
                      [&state] { RefreshReadiness(state); });
}

}  // namespace bramleyspan::entry

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Entry/EntryState.h"

namespace bramleyspan::entry {

namespace {

using telemetry::Log;
using telemetry::LogLevel;

constexpr std::string_view kModule = "catalogue";
constexpr Duration kRetryInterval = std::chrono::seconds(1);

void FetchShardsFromKeyValue(EntryState& state,
                             const std::vector<std::string>& digests) {
  for (const std::string& digest : digests) {
    state.key_value.Read("bramleyspan/catalogue/shard/" + digest,
                         [&state](const Result<platform::ReadAnswer>& answer) {
                           if (answer.has_value() && answer.value().value) {
                             state.feed.OfferShard(answer.value().value->text);
                           }
                         });
  }
}

void OfferAnswer(EntryState& state, const platform::ReadAnswer& answer) {
  state.is_ready = true;
  if (!answer.value) {
    return;
  }
  const auto head = catalogue::ParseHead(answer.value->text);
  if (head.has_error()) {
    Log(LogLevel::kError, kModule, "malformed_head",
        {{"error", Describe(head.error())}});
    return;
  }
  state.feed.OfferHead(head.value(), [&state](const auto& missing) {
    FetchShardsFromKeyValue(state, missing);
  });
}

void WatchHead(EntryState& state, uint64_t index);

void HandleHead(EntryState& state, const Result<platform::ReadAnswer>& answer) {
  if (answer.has_error()) {
    Log(LogLevel::kWarning, kModule, "key_value_service_unavailable",
        {{"error", Describe(answer.error())}});
    state.loop.RunAfter(kRetryInterval, [&state] { WatchHead(state, 0); });
    return;
  }
  OfferAnswer(state, answer.value());
  WatchHead(state, answer.value().index);
}

void WatchHead(EntryState& state, uint64_t index) {
  const std::string key = "bramleyspan/catalogue/head";
  auto on_done = [&state](const Result<platform::ReadAnswer>& answer) {
    HandleHead(state, answer);
  };
  if (index == 0) {
    state.key_value.Read(key, on_done);
    return;
  }
  state.key_value.Watch(key, index, on_done);
}

}  // namespace

void StartCatalogueSource(EntryState& state) {
  state.feed.on_in_force = [&state] { AnnounceCatalogue(state); };
  WatchHead(state, 0);
}

}  // namespace bramleyspan::entry

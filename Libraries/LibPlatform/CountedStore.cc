#include "LibPlatform/CountedStore.h"

#include <string>
#include <utility>

#include "Kernel/EventLoop.h"

namespace bramleyspan::platform {

namespace {

template <typename Value>
std::string_view OutcomeOf(const Result<Value>& result) {
  if (result.has_value()) {
    return "done";
  }
  switch (result.error().code) {
    case ErrorCode::kUnavailable:
      return "not_done";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kHistoryGone:
      return "history_gone";
    default:
      return "unknown";
  }
}

template <typename Value>
using OnDone = std::function<void(Result<Value>)>;

// Wraps `on_done` so that the end of the call is reported first.
template <typename Value>
OnDone<Value> WithReport(std::string_view call,
                         const OnStoreCall& on_call,
                         OnDone<Value> on_done) {
  return [call, on_call, began = EventLoop::Now(),
          on_done = std::move(on_done)](Result<Value> result) {
    on_call(call, OutcomeOf(result), EventLoop::Now() - began);
    on_done(std::move(result));
  };
}

}  // namespace

Store CountCalls(const Store& store, const OnStoreCall& on_call) {
  Store counted;
  counted.range = [store, on_call](RangeCall call, OnDone<RangePage> on_done) {
    store.range(std::move(call),
                WithReport("range", on_call, std::move(on_done)));
  };
  counted.watch = [store, on_call](WatchCall call,
                                   OnDone<WatchAnswer> on_done) {
    store.watch(std::move(call),
                WithReport("watch", on_call, std::move(on_done)));
  };
  counted.put = [store, on_call](PutCall call, OnDone<uint64_t> on_done) {
    store.put(std::move(call), WithReport("put", on_call, std::move(on_done)));
  };
  counted.remove = [store, on_call](std::vector<std::string> keys,
                                    OnDone<void> on_done) {
    store.remove(std::move(keys),
                 WithReport("remove", on_call, std::move(on_done)));
  };
  counted.grant_lease = [store, on_call](Duration ttl,
                                         OnDone<uint64_t> on_done) {
    store.grant_lease(ttl,
                      WithReport("grant_lease", on_call, std::move(on_done)));
  };
  counted.renew_lease = [store, on_call](uint64_t lease, OnDone<void> on_done) {
    store.renew_lease(lease,
                      WithReport("renew_lease", on_call, std::move(on_done)));
  };
  return counted;
}

}  // namespace bramleyspan::platform

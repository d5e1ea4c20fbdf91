#include "StandIns/UsersPlatform/Store.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bramleyspan::standins {

namespace {

using nlohmann::json;

void RespondJson(const ExchangePointer& exchange,
                 int status,
                 const json& body) {
  exchange->Respond(status, {{"content-type", "application/json"}},
                    body.dump());
}

json ToJson(const std::string& key, const StoredItem& item) {
  return {{"key", key},
          {"value", absl::Base64Escape(item.value)},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

json ToJson(const StoreEvent& event) {
  if (event.is_removed) {
    return {{"key", event.key},
            {"revision", event.item.revision},
            {"removed", true}};
  }
  return ToJson(event.key, event.item);
}

json EventsAfter(const UsersStore& store,
                 const std::string& prefix,
                 uint64_t after) {
  json events = json::array();
  for (const StoreEvent& event : store.history) {
    if (event.item.revision > after && absl::StartsWith(event.key, prefix)) {
      events.push_back(ToJson(event));
    }
  }
  return events;
}

bool is_answering_reads(const UsersStore& store) {
  return store.mode == StoreMode::kServing ||
         store.mode == StoreMode::kLateWrites;
}

void RecordChange(UsersStore& store, StoreEvent event) {
  store.history.push_back(std::move(event));
  for (auto watcher = store.watchers.begin();
       watcher != store.watchers.end();) {
    const json events = EventsAfter(store, watcher->prefix, watcher->after);
    if (events.empty()) {
      ++watcher;
      continue;
    }
    if (is_answering_reads(store)) {
      RespondJson(watcher->exchange, 200,
                  {{"events", events}, {"current_rev", store.revision}});
    }
    watcher = store.watchers.erase(watcher);
  }
}

void Range(const UsersStore& store,
           const http::IngressRequest& request,
           const ExchangePointer& exchange) {
  const std::string prefix = http::FindQueryValue(request.query, "path_prefix");
  json items = json::array();
  for (const auto& [key, item] : store.items) {
    if (absl::StartsWith(key, prefix)) {
      items.push_back(ToJson(key, item));
    }
  }
  RespondJson(
      exchange, 200,
      {{"items", items}, {"has_more", false}, {"current_rev", store.revision}});
}

void Watch(UsersStore& store,
           const http::IngressRequest& request,
           const ExchangePointer& exchange) {
  const std::string prefix = http::FindQueryValue(request.query, "path_prefix");
  const uint64_t after =
      std::stoull(http::FindQueryValue(request.query, "after"));
  const int wait = std::stoi(http::FindQueryValue(request.query, "wait_ms"));
  if (after < store.dropped_until) {
    RespondJson(exchange, 410, json::object());
    return;
  }
  const json events = EventsAfter(store, prefix, after);
  if (!events.empty()) {
    RespondJson(exchange, 200,
                {{"events", events}, {"current_rev", store.revision}});
    return;
  }
  store.watchers.push_back(
      {.prefix = prefix,
       .after = after,
       .exchange = exchange,
       .until = EventLoop::Now() + std::chrono::milliseconds(wait)});
}

// Executes a transaction if its conditions hold. Returns the status.
int Transact(UsersStore& store, const json& body) {
  for (const json& row : body.value("expected_rev", json::array())) {
    const std::string key = row.at("key").get<std::string>();
    const auto found = store.items.find(key);
    const uint64_t present =
        found == store.items.end() ? 0 : found->second.revision;
    if (present != row.at("revision").get<uint64_t>()) {
      return 412;
    }
  }
  for (const json& put : body.value("puts", json::array())) {
    const uint64_t lease = put.value("lease", uint64_t{0});
    if (lease != 0 && !store.leases.contains(lease)) {
      return 404;
    }
    std::string value;
    absl::Base64Unescape(put.at("value").get<std::string>(), &value);
    Put(store, put.at("key").get<std::string>(), value, lease);
  }
  for (const json& key : body.value("deletes", json::array())) {
    Remove(store, key.get<std::string>());
  }
  return 200;
}

void HandleTransaction(UsersStore& store,
                       const http::IngressRequest& request,
                       const ExchangePointer& exchange) {
  constexpr Duration kWriteDelay = std::chrono::milliseconds(2500);
  if (store.mode == StoreMode::kLateWrites) {
    store.late_writes.push_back(
        {.due = EventLoop::Now() + kWriteDelay, .body = request.body});
    return;
  }
  const int status = Transact(store, json::parse(request.body));
  if (status != 200) {
    RespondJson(exchange, status, {{"items", json::array()}});
  } else if (store.mode == StoreMode::kServing) {
    RespondJson(exchange, status, {{"revision", store.revision}});
  }
}

void GrantLease(UsersStore& store,
                const http::IngressRequest& request,
                const ExchangePointer& exchange) {
  const int64_t wanted = json::parse(request.body).at("ttl_ms").get<int64_t>();
  const uint64_t lease = ++store.last_lease;
  store.leases[lease] = EventLoop::Now() + std::chrono::milliseconds(wanted);
  RespondJson(exchange, 200, {{"lease", lease}, {"ttl_ms", wanted}});
}

void KeepLease(UsersStore& store,
               const std::string& path,
               const ExchangePointer& exchange) {
  constexpr Duration kTtl = std::chrono::seconds(10);
  const uint64_t lease = std::stoull(path.substr(path.rfind('/') + 1));
  const auto found = store.leases.find(lease);
  if (found == store.leases.end()) {
    RespondJson(exchange, 404, json::object());
    return;
  }
  found->second = EventLoop::Now() + kTtl;
  RespondJson(exchange, 200, json::object());
}

}  // namespace

void Put(UsersStore& store,
         const std::string& key,
         const std::string& value,
         uint64_t lease) {
  StoredItem& item = store.items[key];
  item.value = value;
  item.revision = ++store.revision;
  item.lease = lease;
  if (item.created == 0) {
    item.created = item.revision;
  }
  RecordChange(store, {.key = key, .item = item});
}

void Remove(UsersStore& store, const std::string& key) {
  if (store.items.erase(key) == 0) {
    return;
  }
  RecordChange(
      store,
      {.key = key, .item = {.revision = ++store.revision}, .is_removed = true});
}

void DropHistory(UsersStore& store) {
  store.history.clear();
  store.dropped_until = store.revision;
  for (const Watcher& watcher : store.watchers) {
    watcher.exchange->Abort();
  }
  store.watchers.clear();
}

void Advance(UsersStore& store, TimePoint now) {
  while (!store.late_writes.empty() && store.late_writes.front().due <= now) {
    const std::string body = std::move(store.late_writes.front().body);
    store.late_writes.pop_front();
    Transact(store, json::parse(body));
  }
  std::vector<std::string> expired;
  std::erase_if(store.leases,
                [now](const auto& lease) { return lease.second < now; });
  for (const auto& [key, item] : store.items) {
    if (item.lease != 0 && !store.leases.contains(item.lease)) {
      expired.push_back(key);
    }
  }
  for (const std::string& key : expired) {
    Remove(store, key);
  }
  store.watchers.remove_if([&](const Watcher& watcher) {
    if (watcher.until > now) {
      return false;
    }
    if (is_answering_reads(store)) {
      RespondJson(watcher.exchange, 200,
                  {{"events", json::array()}, {"current_rev", store.revision}});
    }
    return true;
  });
}

void HandleStoreCall(UsersStore& store,
                     const http::IngressRequest& request,
                     const ExchangePointer& exchange) {
  if (store.mode == StoreMode::kDown) {
    RespondJson(exchange, 503, json::object());
  } else if (store.mode == StoreMode::kUnresponsive) {
    return;
  } else if (request.path == "/kv-range") {
    Range(store, request, exchange);
  } else if (request.path == "/kv-watch") {
    Watch(store, request, exchange);
  } else if (request.path == "/kv-txn") {
    HandleTransaction(store, request, exchange);
  } else if (request.path == "/kv-lease") {
    GrantLease(store, request, exchange);
  } else if (absl::StartsWith(request.path, "/kv-keep/")) {
    KeepLease(store, request.path, exchange);
  } else {
    RespondJson(exchange, 404, json::object());
  }
}

}  // namespace bramleyspan::standins

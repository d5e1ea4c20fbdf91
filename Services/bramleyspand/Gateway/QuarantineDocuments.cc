#include "Services/bramleyspand/Gateway/QuarantineDocuments.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "Kernel/Digest.h"
#include "LibJSON/Read.h"
#include "LibTelemetry/Log.h"

namespace bramleyspan::gatewayd {

namespace {

using gateway::PartKey;
using gateway::PartRecord;
using telemetry::Log;
using telemetry::LogLevel;

constexpr Duration kRetryInterval = std::chrono::seconds(1);
// A document that no gateway has written for this time is removed.
constexpr std::chrono::hours kRetention{24 * 7};

int64_t SecondsNow() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

struct Document {
  PartKey key;
  uint32_t failed_trials = 0;
  std::chrono::seconds age{};
};

// Returns nothing if the document is of another form.
std::optional<Document> Parse(const std::string& text) {
  const auto source = json_text::Parse(text);
  if (!source.is_object()) {
    return std::nullopt;
  }
  try {
    return Document{.key = {.service = source.at("service").get<std::string>(),
                            .part = source.at("part").get<std::string>()},
                    .failed_trials = source.at("failed_trials").get<uint32_t>(),
                    .age = std::chrono::seconds(
                        SecondsNow() - source.at("written_s").get<int64_t>())};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::string Serialize(const PartKey& key, const PartRecord& record) {
  return json_text::Write({{"service", key.service},
                           {"part", key.part},
                           {"failed_trials", record.failed_trials},
                           {"written_s", SecondsNow()}});
}

}  // namespace

// Part ids are callers' text; a digest keeps the keys short.
std::string QuarantineDocuments::KeyOf(const PartKey& key) const {
  constexpr size_t kDigits = 32;
  return this->prefix +
         Sha256Hex(key.service + "\n" + key.part).substr(0, kDigits);
}

void QuarantineDocuments::Read(const OnRead& on_read) {
  this->ReadPage("", on_read);
}

void QuarantineDocuments::ReadPage(const std::string& after,
                                   const OnRead& on_read) {
  this->state.store.range(
      {.prefix = this->prefix, .after = after},
      [this, after, on_read](const Result<platform::RangePage>& page) {
        if (page.has_error()) {
          this->state.loop.RunAfter(kRetryInterval, [this, after, on_read] {
            this->ReadPage(after, on_read);
          });
          return;
        }
        const TimePoint now = EventLoop::Now();
        std::vector<std::string> old;
        for (const auto& item : page.value().items) {
          const auto document = Parse(item.value);
          if (!document) {
            continue;
          }
          if (document->age < kRetention) {
            // Its time begins anew: the clocks that wrote it and read it may
            // differ.
            on_read(document->key, {.ends = {{.at = now}},
                                    .quarantined_at = now,
                                    .failed_trials = document->failed_trials});
          } else if (old.size() < platform::kMaxRemovedKeys) {
            old.push_back(item.key);
          }
        }
        if (!old.empty()) {
          this->state.store.remove(std::move(old), [](const Result<void>&) {});
        }
        if (page.value().has_more && !page.value().items.empty()) {
          this->ReadPage(page.value().items.back().key, on_read);
        }
      });
}

void QuarantineDocuments::Write(const PartKey& key, const PartRecord& record) {
  this->Store(this->KeyOf(key), Serialize(key, record));
}

void QuarantineDocuments::Remove(const PartKey& key) {
  this->Store(this->KeyOf(key), "");
}

void QuarantineDocuments::Store(const std::string& key, std::string value) {
  const uint64_t number = ++this->last_number;
  this->pending[key] = {.value = std::move(value), .number = number};
  this->Send(key, number);
}

void QuarantineDocuments::Send(const std::string& key, uint64_t number) {
  const auto found = this->pending.find(key);
  if (found == this->pending.end() || found->second.number != number) {
    return;
  }
  if (found->second.value.empty()) {
    this->state.store.remove(
        {key}, [this, key, number](const Result<void>& removed) {
          this->HandleDone(key, number, removed.has_value());
        });
    return;
  }
  if (this->lifetime > Duration(0) && !this->has_lease()) {
    this->SendWithLease(key, number);
    return;
  }
  this->state.store.put(
      {.key = key, .value = found->second.value, .lease = this->lease},
      [this, key, number](const Result<uint64_t>& written) {
        this->HandleDone(key, number, written.has_value());
      });
}

// A lease is used for half of its time, so that a document lives for half of
// the lifetime at least.
bool QuarantineDocuments::has_lease() const {
  return this->lease != 0 &&
         EventLoop::Now() - this->leased_at < this->lifetime / 2;
}

void QuarantineDocuments::SendWithLease(const std::string& key,
                                        uint64_t number) {
  const TimePoint began = EventLoop::Now();
  this->state.store.grant_lease(
      this->lifetime,
      [this, key, number, began](const Result<uint64_t>& granted) {
        if (granted.has_error()) {
          this->HandleDone(key, number, false);
          return;
        }
        this->lease = granted.value();
        this->leased_at = began;
        this->Send(key, number);
      });
}

void QuarantineDocuments::HandleDone(const std::string& key,
                                     uint64_t number,
                                     bool is_done) {
  const auto found = this->pending.find(key);
  if (found == this->pending.end() || found->second.number != number) {
    return;
  }
  Log(is_done ? LogLevel::kInfo : LogLevel::kWarning, "quarantine",
      is_done ? "quarantine_stored" : "quarantine_not_stored",
      {{"key", key},
       {"is_removed", found->second.value.empty() ? "true" : "false"}});
  if (is_done) {
    this->pending.erase(found);
    return;
  }
  this->state.loop.RunAfter(kRetryInterval,
                            [this, key, number] { this->Send(key, number); });
}

}  // namespace bramleyspan::gatewayd

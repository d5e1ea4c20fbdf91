// The platform's key-value service over the HTTP API published for Consul's
// KV store: reads, blocking reads and compare-and-swap.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "LibHTTP/Client.h"

namespace bramleyspan::platform {

// A value with the version that compare-and-swap takes.
struct VersionedValue {
  std::string text;
  uint64_t version = 0;
};

// An answer to a read. `index` is what the next blocking read waits past.
struct ReadAnswer {
  std::optional<VersionedValue> value;
  uint64_t index = 0;
};

// Where the key-value service is and how long a call may take.
struct KeyValueSettings {
  Address address;
  Duration call_timeout = std::chrono::seconds(2);
  // A service that is frozen shows only by a watch that is not answered in
  // time, so the wait bounds how late that is noticed.
  Duration watch_wait = std::chrono::seconds(5);
};

class KeyValueClient {
 public:
  KeyValueClient(http::Client& client, KeyValueSettings settings)
      : client(client), settings(std::move(settings)) {}

  // Reads a key now.
  void Read(const std::string& key,
            std::function<void(Result<ReadAnswer>)> on_done);

  // Reads a key once it has changed since `index`, or the wait is over.
  void Watch(const std::string& key,
             uint64_t index,
             std::function<void(Result<ReadAnswer>)> on_done);

  // Writes if the key's version is `expected` (0: the key does not exist).
  // True if written. Fails with kConnectionFailed if surely nothing was
  // written, else with kOutcomeUnknown.
  void Swap(const std::string& key,
            const std::string& text,
            uint64_t expected,
            std::function<void(Result<bool>)> on_done);

  // Calls made since the start; a waiting watch counts as one.
  uint64_t calls = 0;

 private:
  void Get(const std::string& path,
           Duration timeout,
           std::function<void(Result<ReadAnswer>)> on_done);

  http::Client& client;
  KeyValueSettings settings;
};

namespace detail {

// Parses the JSON answer to a read. Fails with kMalformedDocument.
Result<ReadAnswer> ParseReadAnswer(const http::Response& response);

// Decodes standard base64. Fails with kMalformedDocument.
Result<std::string> DecodeBase64(const std::string& text);

}  // namespace detail

}  // namespace bramleyspan::platform

// Client of the platform's key-value service, which has the HTTP API of
// Consul's KV store: reads, blocking reads and compare-and-swap.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "LibHTTP/Client.h"

namespace bramleyspan::platform {

// A value and its version, which a compare-and-swap expects.
struct VersionedValue {
  std::string text;
  uint64_t version = 0;
};

// The result of a read. The next blocking read waits for a change after
// `index`.
struct ReadAnswer {
  std::optional<VersionedValue> value;
  uint64_t index = 0;
};

// Address and timeouts of the key-value service.
struct KeyValueSettings {
  Address address;
  Duration call_timeout = std::chrono::seconds(2);
  // Wait of a blocking read. A frozen service shows only in a watch that is not
  // answered in time, so this bounds how late that is noticed.
  Duration watch_wait = std::chrono::seconds(5);
};

class KeyValueClient {
 public:
  KeyValueClient(http::Client& client, KeyValueSettings settings)
      : client(client), settings(std::move(settings)) {}

  // Reads a key without waiting for a change.
  void Read(const std::string& key,
            std::function<void(Result<ReadAnswer>)> on_done);

  // Reads a key once it has changed after `index` or the wait has ended.
  void Watch(const std::string& key,
             uint64_t index,
             std::function<void(Result<ReadAnswer>)> on_done);

  // Writes the key if its version is `expected` (0: the key does not exist).
  // Returns whether it was written. Fails with kConnectionFailed if certainly
  // nothing was written, else with kOutcomeUnknown.
  void CompareAndSwap(const std::string& key,
                      const std::string& text,
                      uint64_t expected,
                      std::function<void(Result<bool>)> on_done);

  // Calls since the start; a watch counts as one, however long it waits.
  uint64_t calls = 0;

 private:
  void Get(const std::string& path,
           Duration timeout,
           std::function<void(Result<ReadAnswer>)> on_done);

  http::Client& client;
  KeyValueSettings settings;
};

namespace detail {

// Parses the JSON response to a read. Fails with kMalformedDocument.
Result<ReadAnswer> ParseReadAnswer(const http::Response& response);

// Decodes standard base64. Fails with kMalformedDocument.
Result<std::string> DecodeBase64(const std::string& text);

}  // namespace detail

}  // namespace bramleyspan::platform

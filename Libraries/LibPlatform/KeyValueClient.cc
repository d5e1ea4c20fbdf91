#include "LibPlatform/KeyValueClient.h"

#include <openssl/evp.h>

#include <charconv>
#include <nlohmann/json.hpp>

namespace bramleyspan::platform {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
// The service answers a watch late by up to a sixteenth of its wait.
constexpr auto kWatchSlack = std::chrono::seconds(1);

std::string PathOf(const std::string& key) {
  return "/v1/kv/" + key;
}

uint64_t ParseIndex(std::string_view text) {
  uint64_t index = 0;
  std::from_chars(text.data(), text.data() + text.size(), index);
  return index;
}

}  // namespace

void KeyValueClient::Read(const std::string& key,
                          std::function<void(Result<ReadAnswer>)> on_done) {
  this->Get(PathOf(key), this->settings.call_timeout, std::move(on_done));
}

void KeyValueClient::Watch(const std::string& key,
                           uint64_t index,
                           std::function<void(Result<ReadAnswer>)> on_done) {
  const auto wait = std::chrono::duration_cast<std::chrono::seconds>(
      this->settings.watch_wait);
  const std::string path = PathOf(key) + "?index=" + std::to_string(index) +
                           "&wait=" + std::to_string(wait.count()) + "s";
  this->Get(path, this->settings.watch_wait + kWatchSlack, std::move(on_done));
}

void KeyValueClient::Get(const std::string& path,
                         Duration timeout,
                         std::function<void(Result<ReadAnswer>)> on_done) {
  ++this->calls;
  http::ClientRequest request{
      .target = this->settings.address, .path = path, .timeout = timeout};
  this->client.Fetch(
      std::move(request),
      [on_done = std::move(on_done)](const Result<http::Response>& response) {
        if (response.has_error()) {
          on_done(boost::outcome_v2::failure(response.error()));
          return;
        }
        on_done(detail::ParseReadAnswer(response.value()));
      });
}

void KeyValueClient::CompareAndSwap(const std::string& key,
                                    const std::string& text,
                                    uint64_t expected,
                                    std::function<void(Result<bool>)> on_done) {
  ++this->calls;
  http::ClientRequest request{
      .target = this->settings.address,
      .method = "PUT",
      .path = PathOf(key) + "?cas=" + std::to_string(expected),
      .body = text,
      .timeout = this->settings.call_timeout};
  this->client.Fetch(
      std::move(request), [key, on_done = std::move(on_done)](
                              const Result<http::Response>& response) {
        if (response.has_error()) {
          const Error& error = response.error();
          const bool is_unsent = error.code == ErrorCode::kConnectionFailed;
          on_done(Fail(is_unsent ? ErrorCode::kConnectionFailed
                                 : ErrorCode::kOutcomeUnknown,
                       key, Describe(error)));
          return;
        }
        if (response.value().status != kOk) {
          on_done(Fail(ErrorCode::kOutcomeUnknown, key,
                       "status " + std::to_string(response.value().status)));
          return;
        }
        on_done(response.value().body.starts_with("true"));
      });
}

namespace detail {

Result<ReadAnswer> ParseReadAnswer(const http::Response& response) {
  ReadAnswer answer;
  answer.index =
      ParseIndex(http::FindHeader(response.headers, "x-consul-index"));
  if (response.status == kNotFound) {
    return answer;
  }
  if (response.status != kOk) {
    return Fail(ErrorCode::kUnavailable, "key-value service",
                "status " + std::to_string(response.status));
  }
  try {
    const auto document = nlohmann::json::parse(response.body);
    const auto& row = document.at(0);
    VersionedValue value;
    value.version = row.at("ModifyIndex");
    value.text = TRY(DecodeBase64(row.at("Value")));
    answer.value = std::move(value);
    return answer;
  } catch (const std::exception& failure) {
    return Fail(ErrorCode::kMalformedDocument, "key-value service",
                failure.what());
  }
}

Result<std::string> DecodeBase64(const std::string& text) {
  constexpr size_t kGroup = 4;
  std::string bytes(text.size() / kGroup * 3 + 3, '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (length < 0) {
    return Fail(ErrorCode::kMalformedDocument, "base64", "does not decode");
  }
  size_t size = static_cast<size_t>(length);
  for (size_t i = text.size(); i > 0 && text[i - 1] == '='; --i) {
    --size;
  }
  bytes.resize(size);
  return bytes;
}

}  // namespace detail

}  // namespace bramleyspan::platform

#include "Utilities/bramleyspanctl/OperatorClient.h"

#include "Kernel/EventLoop.h"
#include "LibHTTP/Client.h"

namespace bramleyspan {

namespace {

// An entry may wait for an unavailable key-value service during a commit.
constexpr Duration kTimeout = std::chrono::seconds(30);

Result<http::Response> SendRequestTo(const OperatorClient& client,
                                     const Address& entry,
                                     const std::string& method,
                                     const std::string& path,
                                     const std::string& body) {
  EventLoop loop;
  http::Client http_client(loop);
  http::ClientRequest request{
      .target = entry,
      .method = method,
      .path = path,
      .headers = {{"authorization", "Bearer " + client.key},
                  {"content-type", "application/json"}},
      .body = body,
      .timeout = kTimeout,
      .connection_use = http::ConnectionUse::kFresh};
  Result<http::Response> answer =
      Fail(ErrorCode::kUnavailable, Format(entry), "no answer");
  http_client.Fetch(std::move(request), [&](Result<http::Response> response) {
    answer = std::move(response);
    loop.Stop();
  });
  loop.Run();
  return answer;
}

}  // namespace

Result<std::vector<Address>> ParseEntries(const std::string& text) {
  std::vector<Address> entries;
  size_t start = 0;
  while (start <= text.size()) {
    const size_t comma = std::min(text.find(',', start), text.size());
    auto entry = ParseAddress(text.substr(start, comma - start));
    if (entry.has_error()) {
      return Fail(ErrorCode::kInvalidSetting, "entries",
                  "'" + text + "'; allowed: IP:PORT,IP:PORT");
    }
    entries.push_back(std::move(entry).assume_value());
    start = comma + 1;
  }
  return entries;
}

Result<std::vector<Address>> ParseGateways(const std::string& text) {
  if (text.empty()) {
    return Fail(ErrorCode::kInvalidSetting, "gateways",
                "--gateways=IP:PORT,... is missing");
  }
  return ParseEntries(text);
}

Result<http::Response> SendRequest(const OperatorClient& client,
                                   const std::string& method,
                                   const std::string& path,
                                   const std::string& body) {
  Result<http::Response> answer =
      Fail(ErrorCode::kInvalidSetting, "entries", "none given");
  for (const Address& entry : client.entries) {
    answer = SendRequestTo(client, entry, method, path, body);
    if (answer.has_value()) {
      return answer;
    }
  }
  return answer;
}

}  // namespace bramleyspan

// Answers with odd heads tell nothing of the users' store.
#include "Tests/LibHTTP/OddHeadServer.h"
#include "platform/KvStore.h"

namespace bramleyspan::users_platform {

// Failure: the store sends a head in which the name of a field holds a blank or
// a control byte. A desired state is read from behind it, or a write that may
// have failed counts as done.
TEST_CASE("No odd head of the store is taken for an answer") {
  http::OddHeadServer server;
  const platform::Store store = OpenStore(server.loop, server.address());
  const std::string body =
      R"({"items":[],"events":[],"current_rev":7,"revision":7,"lease":1})";
  http::ExpectNoOddHeadIsTaken<Result<platform::RangePage>>(
      server, body, [&store](auto on_done) {
        store.range({.prefix = "op/"}, std::move(on_done));
      });
  http::ExpectNoOddHeadIsTaken<Result<platform::WatchAnswer>>(
      server, body, [&store](auto on_done) {
        store.watch({.prefix = "op/"}, std::move(on_done));
      });
  http::ExpectNoOddHeadIsTaken<Result<uint64_t>>(
      server, body, [&store](auto on_done) {
        store.put({.key = "key", .value = "value"}, std::move(on_done));
      });
  http::ExpectNoOddHeadIsTaken<Result<void>>(
      server, body,
      [&store](auto on_done) { store.remove({"key"}, std::move(on_done)); });
  http::ExpectNoOddHeadIsTaken<Result<uint64_t>>(
      server, body, [&store](auto on_done) {
        store.grant_lease(std::chrono::seconds(1), std::move(on_done));
      });
  http::ExpectNoOddHeadIsTaken<Result<void>>(
      server, body,
      [&store](auto on_done) { store.renew_lease(1, std::move(on_done)); });
}

}  // namespace bramleyspan::users_platform

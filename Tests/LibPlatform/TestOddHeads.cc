// Answers with odd heads tell nothing of the key-value service or the VM list.
#include "LibPlatform/KeyValueClient.h"
#include "LibPlatform/VmList.h"
#include "Tests/LibHTTP/OddHeadServer.h"

namespace bramleyspan::platform {

namespace {

struct Fixture : http::OddHeadServer {
  http::Client client{loop};
  KeyValueClient key_value{client, {.address = this->address()}};
};

}  // namespace

// Failure: the key-value service sends a head in which the name of a field
// holds a blank or a control byte, and the catalogue is read from behind it.
TEST_CASE("No odd head of the key-value service is taken for an answer") {
  Fixture fixture;
  const std::string row = R"([{"ModifyIndex":3,"Value":"eA=="}])";
  http::ExpectNoOddHeadIsTaken<Result<ReadAnswer>>(
      fixture, row, [&fixture](auto on_done) {
        fixture.key_value.Read("key", std::move(on_done));
      });
  http::ExpectNoOddHeadIsTaken<Result<ReadAnswer>>(
      fixture, row, [&fixture](auto on_done) {
        fixture.key_value.Watch("key", 2, std::move(on_done));
      });
  http::ExpectNoOddHeadIsTaken<Result<bool>>(
      fixture, "true", [&fixture](auto on_done) {
        fixture.key_value.CompareAndSwap("key", "text", 3, std::move(on_done));
      });
}

// Failure: as above, of the VM list.
TEST_CASE("No odd head of the VM list is taken for an answer") {
  Fixture fixture;
  const std::string list =
      R"({"vms":[{"name":"a","ip":"127.0.0.1","zone":"z","kind":"entry",)"
      R"("state":"live"}]})";
  http::ExpectNoOddHeadIsTaken<Result<std::vector<Vm>>>(
      fixture, list, [&fixture](auto on_done) {
        FetchVmList(fixture.client, fixture.address(), std::move(on_done));
      });
}

}  // namespace bramleyspan::platform

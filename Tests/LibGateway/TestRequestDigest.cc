#include <doctest/doctest.h>

#include "LibGateway/RequestDigest.h"

namespace bramleyspan::gateway {

TEST_CASE("A request is named by its content and its tenant") {
  const RequestContent content{.tenant = "huber",
                               .method = "POST",
                               .target = "/draft/x?a=1",
                               .parts = "aa:40,own:60",
                               .body = "text"};
  const std::string digest = DigestOf(content);
  CHECK(digest.size() == 32);
  CHECK(DigestOf(content) == digest);
  RequestContent other = content;
  SUBCASE("tenant") {
    other.tenant = "other";
  }
  SUBCASE("method") {
    other.method = "PUT";
  }
  SUBCASE("query") {
    other.target = "/draft/x?a=2";
  }
  SUBCASE("last part") {
    other.parts = "aa:40,own:61";
  }
  SUBCASE("body") {
    other.body = "texts";
  }
  SUBCASE("bytes that move between two fields") {
    other.target = "/draft/x?a=1aa";
    other.parts = ":40,own:60";
  }
  CHECK(DigestOf(other) != digest);
}

}  // namespace bramleyspan::gateway

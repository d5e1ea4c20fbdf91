#include <doctest/doctest.h>

#include "LibCatalogue/Document.h"

namespace bramleyspan::catalogue {

namespace {

const std::string kValidFile = R"([[owner]]
name = "huber"
key_sha256 = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
limits = { concurrent = 8 }

[[entry]]
name = "draft"
owner = "huber"
class = "interactive"
model = "invoice"

[[group]]
name = "invoice-a"
model = "invoice"
targets = ["t1", "t2"]
)";

}  // namespace

TEST_CASE("a valid file is unchanged after a JSON round trip") {
  const auto parsed = ParseToml(kValidFile, "good.toml");
  REQUIRE(parsed.has_value());
  CHECK(parsed.value().owners.at("huber").limits.concurrent == 8);
  const auto again = ParseJson(SerializeJson(parsed.value()));
  REQUIRE(again.has_value());
  CHECK(again.value() == parsed.value());
}

TEST_CASE("an unknown field fails with file and line") {
  const auto parsed = ParseToml(kValidFile + "colour = 1\n", "bad.toml");
  REQUIRE(parsed.has_error());
  CHECK(parsed.error().code == ErrorCode::kMalformedDocument);
  CHECK(parsed.error().subject == "bad.toml:16");
}

}  // namespace bramleyspan::catalogue

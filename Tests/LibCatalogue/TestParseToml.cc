#include <doctest/doctest.h>

#include "LibCatalogue/Document.h"

namespace bramleyspan::catalogue {

namespace {

const std::string kGood = R"([[owner]]
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

TEST_CASE("a good file survives the way through JSON") {
  const auto parsed = ParseToml(kGood, "good.toml");
  REQUIRE(parsed.has_value());
  CHECK(parsed.value().owners.at("huber").limits.concurrent == 8);
  const auto again = ParseJson(SerializeJson(parsed.value()));
  REQUIRE(again.has_value());
  CHECK(again.value() == parsed.value());
}

TEST_CASE("an unknown field is refused with file and line") {
  const auto parsed = ParseToml(kGood + "colour = 1\n", "bad.toml");
  REQUIRE(parsed.has_error());
  CHECK(parsed.error().code == ErrorCode::kMalformedDocument);
  CHECK(parsed.error().subject == "bad.toml:16");
}

}  // namespace bramleyspan::catalogue

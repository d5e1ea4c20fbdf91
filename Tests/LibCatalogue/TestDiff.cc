#include <doctest/doctest.h>

#include "LibCatalogue/Diff.h"

namespace bramleyspan::catalogue {

TEST_CASE("a comparison lists each changed declaration and field") {
  Catalogue before;
  before.owners.emplace("huber", Owner{.name = "huber"});
  before.entries.emplace("draft", Entry{.name = "draft", .owner = "huber"});
  Catalogue after = before;
  after.owners.emplace("maier", Owner{.name = "maier"});
  after.owners.erase("huber");
  after.entries.at("draft").deadline = std::chrono::milliseconds(3000);
  std::vector<std::string> lines;
  for (const Difference& difference : Compare(before, after)) {
    lines.push_back(Format(difference));
  }
  CHECK(lines ==
        std::vector<std::string>{"+ owner maier", "- owner huber",
                                 "~ entry draft: deadline_ms: 2000 -> 3000"});
  CHECK(Compare(before, before).empty());
}

}  // namespace bramleyspan::catalogue

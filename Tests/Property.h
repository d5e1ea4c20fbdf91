// Runs rapidcheck properties under doctest. The seed is fixed unless RC_PARAMS
// is set, so that CI runs are deterministic.
#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>

namespace bramleyspan::tests {

// Checks a property on 200 generated inputs. The name of the calling test case
// must contain "property", by which Meta/explore finds it.
template <typename Property>
void CheckProperty(const std::string& description, Property property) {
  setenv("RC_PARAMS", "seed=1 max_success=200", /*overwrite=*/0);
  CHECK(rc::check(description, property));
}

}  // namespace bramleyspan::tests

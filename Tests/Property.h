// How property tests run rapidcheck under doctest: a fixed seed unless
// RC_PARAMS says otherwise, so that CI gives one verdict on every run.
#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>

namespace bramleyspan::tests {

// Checks a property whose test case's name contains "property".
template <typename Property>
void CheckProperty(const std::string& description, Property property) {
  setenv("RC_PARAMS", "seed=1 max_success=200", /*overwrite=*/0);
  CHECK(rc::check(description, property));
}

}  // namespace bramleyspan::tests

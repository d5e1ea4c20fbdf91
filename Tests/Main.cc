// Runs the test cases except those whose names, separated by commas, the
// environment variable KNOWN_RED_TESTS holds. KNOWN-RED.txt lists them.
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

int main(int argument_count, char** arguments) {
  doctest::Context context;
  const char* known_red = std::getenv("KNOWN_RED_TESTS");
  if (known_red != nullptr && *known_red != '\0') {
    context.addFilter("test-case-exclude", known_red);
  }
  context.applyCommandLine(argument_count, arguments);
  return context.run();
}

#pragma once

#include <iostream>
#include <string_view>

namespace pollenwall::test {

/// Prints a failed expectation to standard error and returns whether it held.
inline bool Expect(bool aHolds, std::string_view aWhat)
{
  if (!aHolds) {
    std::cerr << "failed: " << aWhat << "\n";
  }
  return aHolds;
}

/// The tests of yaml_reader_test.cpp.
bool YamlReaderTests();

} // namespace pollenwall::test

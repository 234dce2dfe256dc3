#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "fake_platform.h"

namespace pollenwall::bench {

struct ScenarioOptions
{
  std::string mDeployment = "kite_winds"; ///< Or "ironing_baskets", "single".
  std::vector<std::string> mPolicies{ "pollenwall", "random", "round_robin", "least_loaded" };
  std::uint64_t mSeed = 1;
  double mScale = 1; ///< Factor of the measured time; below 1 with `--quick`.
  /// File to which lines "scenario policy seconds slowdown" are appended; empty for none.
  std::string mSamples;
};

/// Names of the scenarios in the order of the design document.
std::vector<std::string> ScenarioNames();

/// Runs one scenario under every policy and writes a JSON line for each policy. Returns false if
/// the name is unknown.
bool RunScenario(const std::string& aName, const ScenarioOptions& aOptions, std::ostream& aOut);

} // namespace pollenwall::bench

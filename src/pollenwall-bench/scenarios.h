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
  double mScale = 1; ///< Of the measured time; `--quick` uses less.
  std::string
    mSamples; ///< Writes "scenario policy seconds slowdown" lines to this file; empty for none.
};

/// The scenarios' names, in the order of the design page.
std::vector<std::string> ScenarioNames();

/// Runs one scenario under every policy and writes a JSON line for each. Returns false for an
/// unknown name.
bool RunScenario(const std::string& aName, const ScenarioOptions& aOptions, std::ostream& aOut);

} // namespace pollenwall::bench

#include <iostream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <pollenwall/log.h>

#include "scenarios.h"

ABSL_FLAG(std::vector<std::string>,
          scenario,
          {},
          "Scenarios to run, separated by commas; all of them when empty.");
ABSL_FLAG(std::vector<std::string>,
          policies,
          (std::vector<std::string>{ "pollenwall", "random", "round_robin", "least_loaded" }),
          "Policies to run on the same arrivals, separated by commas.");
ABSL_FLAG(std::string,
          deployment,
          "kite_winds",
          "Deployment to simulate: kite_winds, ironing_baskets or single.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the arrivals and of all random generators.");
ABSL_FLAG(bool, quick, false, "Measure a sixth of the time.");
ABSL_FLAG(std::string,
          samples,
          "",
          "Append a line 'scenario policy seconds slowdown' per job to this file.");

namespace {

constexpr double kQuickScale = 1.0 / 6;
constexpr int kUsageError = 2;

constexpr char kUsage[] =
  R"(Runs the scheduling core in virtual time and prints one JSON line per scenario and policy.

Examples:
  pollenwall-bench --scenario steady                    all policies on the same arrivals
  pollenwall-bench --scenario burst --policies pollenwall --seed 7
  pollenwall-bench --quick                              every scenario, a sixth of the time
)";

} // namespace

int main(int argc, char** argv)
{
  absl::SetProgramUsageMessage(kUsage);
  absl::FlagsUsageConfig config;
  config.version_string = [] { return "pollenwall-bench " POLLENWALL_VERSION "\n"; };
  absl::SetFlagsUsageConfig(config);
  absl::ParseCommandLine(argc, argv);
  pollenwall::log::Init("pollenwall-bench");

  pollenwall::bench::ScenarioOptions options;
  options.mDeployment = absl::GetFlag(FLAGS_deployment);
  options.mPolicies = absl::GetFlag(FLAGS_policies);
  options.mSeed = absl::GetFlag(FLAGS_seed);
  options.mScale = absl::GetFlag(FLAGS_quick) ? kQuickScale : 1;
  options.mSamples = absl::GetFlag(FLAGS_samples);

  auto scenarios = absl::GetFlag(FLAGS_scenario);
  if (scenarios.empty()) {
    scenarios = pollenwall::bench::ScenarioNames();
  }
  for (const auto& name : scenarios) {
    if (!pollenwall::bench::RunScenario(name, options, std::cout)) {
      std::cerr << "unknown scenario '" << name << "'\n";
      return kUsageError;
    }
  }
  return 0;
}

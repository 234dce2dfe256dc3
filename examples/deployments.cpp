// Prints the configuration of one of the two deployments of docs/design.md, section 1.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <optional>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <pollenwall/configuration_builder.h>

ABSL_FLAG(std::string,
          deployment,
          "pressed-and-collected",
          "pressed-and-collected or ngata-whitcombe");
ABSL_FLAG(
  std::uint16_t,
  loopback_base_port,
  0,
  "for trials on one machine: all workers have the address 127.0.0.1 and their upstreams take "
  "consecutive ports from this one on; 0 prints the deployment's own addresses");
ABSL_FLAG(std::uint32_t,
          workers_per_data_centre,
          0,
          "at most this many workers in each data centre; 0 prints the deployment's own number");

namespace {

using namespace pollenwall::configuration;
using namespace std::chrono_literals;

constexpr std::uint64_t kGigabyte = 1'000'000'000;
constexpr std::uint16_t kPort = 9000;

/// Changes to a deployment for a trial on one machine.
struct TrialOptions
{
  std::uint16_t mLoopbackBasePort = 0; ///< First port on loopback; 0 keeps the real addresses.
  std::uint32_t mMaxWorkers = 0;       ///< Per data centre; 0 is no limit.
};

std::uint32_t WorkerCount(const TrialOptions& aOptions, std::uint32_t aWorkers)
{
  return aOptions.mMaxWorkers == 0 ? aWorkers : std::min(aOptions.mMaxWorkers, aWorkers);
}

ConfigurationBuilder MakeBuilder(const TrialOptions& aOptions)
{
  ConfigurationBuilder builder;
  if (aOptions.mLoopbackBasePort != 0) {
    builder.UseLoopback(aOptions.mLoopbackBasePort);
  }
  return builder;
}

struct Site
{
  std::string mName;
  std::uint32_t mWorkers;
  std::string mFirstAddress;
};

/// Pollenwall for Ironing Basket Dispatch (Pressed & Collected), South-East Queensland.
ConfigurationBuilder PressedAndCollected(const TrialOptions& aOptions)
{
  auto builder = MakeBuilder(aOptions);
  builder.Add(Service{ .mName = "dispatch",
                       .mKinds = { "pickup-confirmation", "quote", "route-reshuffle" } });
  // 50 workers of 64 cores and 128 GB, 6 to a rack.
  for (const auto& site : { Site{ "north", 13, "10.1.0.1" },
                            Site{ "south", 13, "10.2.0.1" },
                            Site{ "gold-coast", 12, "10.3.0.1" },
                            Site{ "sunshine-coast", 12, "10.4.0.1" } }) {
    builder
      .Add(DataCentre{
        .mName = site.mName, .mRegion = "south-east-queensland", .mOneWayLatency = 1000us })
      .Add(WorkerGroup{ .mDataCentre = site.mName,
                        .mCount = WorkerCount(aOptions, site.mWorkers),
                        .mPerRack = 6,
                        .mFirstAddress = site.mFirstAddress,
                        .mCores = 64,
                        .mMemoryBytes = 128 * kGigabyte,
                        .mServices = { { "dispatch", kPort, 8, 60 } } });
  }
  // The requirements name no teams, so each kind of work gets one. No team may hold all 400 slots,
  // which at 0.5 s a task are 800 starts/s, for long.
  builder
    .Add(Team{ .mName = "pickups", .mWeight = 2, .mStartsPerSecond = 600, .mBurstStarts = 1200 })
    .Add(Team{ .mName = "quotes", .mWeight = 1, .mStartsPerSecond = 600, .mBurstStarts = 1200 })
    .Add(Team{ .mName = "routing", .mWeight = 1, .mStartsPerSecond = 600, .mBurstStarts = 2400 });
  return builder;
}

/// Ngata-Whitcombe Kite Wind Reporting Cluster, north of Aotearoa.
ConfigurationBuilder NgataWhitcombe(const TrialOptions& aOptions)
{
  auto builder = MakeBuilder(aOptions);
  builder.Add(
    Service{ .mName = "gust", .mKinds = { "gust-check", "launch-advisory", "calm-notice" } });
  // 50 workers of 32 cores and 128 GB, 8 to a rack.
  for (const auto& site : { Site{ "muriwai", 17, "10.1.0.1" },
                            Site{ "tauranga", 17, "10.2.0.1" },
                            Site{ "wellington", 16, "10.3.0.1" } }) {
    builder
      .Add(DataCentre{ .mName = site.mName, .mRegion = "north-aotearoa", .mOneWayLatency = 500us })
      .Add(WorkerGroup{ .mDataCentre = site.mName,
                        .mCount = WorkerCount(aOptions, site.mWorkers),
                        .mPerRack = 8,
                        .mFirstAddress = site.mFirstAddress,
                        .mCores = 32,
                        .mMemoryBytes = 128 * kGigabyte,
                        .mServices = { { "gust", kPort, 8, 60 } } });
  }
  // The requirements name no teams. Launch advisories have priority over notices.
  builder
    .Add(Team{ .mName = "advisories", .mWeight = 3, .mStartsPerSecond = 600, .mBurstStarts = 1200 })
    .Add(Team{ .mName = "checks", .mWeight = 2, .mStartsPerSecond = 600, .mBurstStarts = 1200 })
    .Add(Team{ .mName = "notices", .mWeight = 1, .mStartsPerSecond = 400, .mBurstStarts = 1200 });
  return builder;
}

std::optional<ConfigurationBuilder> MakeDeployment(const std::string& aName,
                                                   const TrialOptions& aOptions)
{
  if (aName == "pressed-and-collected") {
    return PressedAndCollected(aOptions);
  }
  if (aName == "ngata-whitcombe") {
    return NgataWhitcombe(aOptions);
  }
  return std::nullopt;
}

} // namespace

int main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage(
    "Prints the configuration of an example deployment as YAML. For example:\n\n"
    "  deployments --deployment=ngata-whitcombe > wind.yaml\n"
    "  deployments --loopback_base_port=21000 --workers_per_data_centre=2 > trial.yaml");
  absl::FlagsUsageConfig usage;
  usage.version_string = [] { return std::string("deployments " POLLENWALL_VERSION "\n"); };
  absl::SetFlagsUsageConfig(usage);
  absl::ParseCommandLine(aCount, aArguments);
  const auto name = absl::GetFlag(FLAGS_deployment);
  const auto builder = MakeDeployment(
    name,
    { absl::GetFlag(FLAGS_loopback_base_port), absl::GetFlag(FLAGS_workers_per_data_centre) });
  if (!builder) {
    std::cerr << "--deployment: found '" << name
              << "'; allowed: pressed-and-collected, ngata-whitcombe\n";
    return 2;
  }
  return PrintConfiguration(*builder, std::cout, std::cerr);
}

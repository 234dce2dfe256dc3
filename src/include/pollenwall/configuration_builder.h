#pragma once

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include <pollenwall/configuration.h>
#include <pollenwall/configuration_yaml.h>

/// Builds a configuration in a program, for operators who write it as code:
///
///     ConfigurationBuilder builder;
///     builder.Add(DataCentre{ .mName = "north", .mRegion = "coast" })
///       .Add(Service{ .mName = "quotes" })
///       .Add(WorkerGroup{ .mDataCentre = "north", .mCount = 12, .mPerRack = 6,
///                         .mFirstAddress = "10.1.0.1", .mServices = { { "quotes", 9000 } } })
///       .Add(Team{ .mName = "web" });
///     return PrintConfiguration(builder, std::cout, std::cerr);
namespace pollenwall::configuration {

/// The upstream of one service on every worker of a group.
struct ServicePort
{
  std::string mService;
  std::uint16_t mPort = 0;
  std::uint32_t mSlots = 8;
  std::uint32_t mConnections = 60;
};

/// Identical workers of one data centre. They are named DATA_CENTRE-001 and so on, are in racks
/// DATA_CENTRE-r01 and so on, and have consecutive IPv4 addresses.
struct WorkerGroup
{
  std::string mDataCentre;
  std::uint32_t mCount = 1;
  std::uint32_t mPerRack = 1;
  std::string mFirstAddress;
  std::uint32_t mCores = 1;
  std::uint64_t mMemoryBytes = 0;
  std::uint32_t mAccelerators = 0;
  std::vector<ServicePort> mServices;
};

class ConfigurationBuilder
{
public:
  /// Gives the workers of groups added later the address 127.0.0.1, and their upstreams consecutive
  /// ports from aBasePort on, so that stand-ins for all workers can run on one machine.
  ConfigurationBuilder& UseLoopback(std::uint16_t aBasePort);

  ConfigurationBuilder& Add(Item aItem);
  ConfigurationBuilder& Add(const WorkerGroup& aGroup);

  /// The configuration. Adds to the report the problems that ParseDocument finds, and items added
  /// twice.
  Configuration Build(yaml::Report& aReport) const;

private:
  std::vector<Item> mItems;
  std::vector<yaml::Problem> mProblems;
  std::optional<std::uint32_t> mLoopbackPort; ///< The next port.
};

/// Writes the configuration as YAML and returns 0, or writes all problems and returns 2.
int PrintConfiguration(const ConfigurationBuilder& aBuilder,
                       std::ostream& aOut,
                       std::ostream& aErrors);

} // namespace pollenwall::configuration

#include <pollenwall/configuration_builder.h>

#include <array>
#include <cstdio>
#include <ostream>
#include <set>

#include <arpa/inet.h>

namespace pollenwall::configuration {
namespace {

constexpr std::string_view kLoopback = "127.0.0.1";
constexpr std::uint32_t kMaxPort = 65535;

std::string NumberedName(std::string_view aName, const char* aFormat, std::uint32_t aNumber)
{
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), aFormat, aNumber);
  return std::string(aName).append(buf.data());
}

/// The IPv4 address at an offset from another; aFirst itself when it is invalid, so that
/// ParseDocument reports it.
std::string AddressAfter(const std::string& aFirst, std::uint32_t aOffset)
{
  in_addr address{};
  if (inet_pton(AF_INET, aFirst.c_str(), &address) != 1) {
    return aFirst;
  }
  address.s_addr = htonl(ntohl(address.s_addr) + aOffset);
  std::array<char, INET_ADDRSTRLEN> buf{};
  return inet_ntop(AF_INET, &address, buf.data(), buf.size()) ? buf.data() : aFirst;
}

} // namespace

ConfigurationBuilder& ConfigurationBuilder::UseLoopback(std::uint16_t aBasePort)
{
  mLoopbackPort = aBasePort;
  return *this;
}

ConfigurationBuilder& ConfigurationBuilder::Add(Item aItem)
{
  mItems.push_back(std::move(aItem));
  return *this;
}

ConfigurationBuilder& ConfigurationBuilder::Add(const WorkerGroup& aGroup)
{
  if (aGroup.mPerRack == 0) {
    mProblems.push_back(
      { "builder", 0, "workers of " + aGroup.mDataCentre + ".per_rack", "0", "at least 1" });
    return *this;
  }
  for (std::uint32_t n = 0; n < aGroup.mCount; ++n) {
    Worker worker;
    worker.mName = NumberedName(aGroup.mDataCentre, "-%03u", n + 1);
    worker.mDataCentre = aGroup.mDataCentre;
    worker.mRack = NumberedName(aGroup.mDataCentre, "-r%02u", n / aGroup.mPerRack + 1);
    worker.mAddress =
      mLoopbackPort ? std::string(kLoopback) : AddressAfter(aGroup.mFirstAddress, n);
    worker.mMilliCores = aGroup.mCores * kMilliCoresPerCore;
    worker.mMemoryBytes = aGroup.mMemoryBytes;
    worker.mAccelerators = aGroup.mAccelerators;
    for (const auto& service : aGroup.mServices) {
      Upstream upstream{
        service.mService, worker.mName, service.mPort, service.mSlots, service.mConnections
      };
      if (mLoopbackPort) {
        const auto port = (*mLoopbackPort)++;
        if (port > kMaxPort) {
          mProblems.push_back({ "builder",
                                0,
                                KeyOf(upstream) + ".port",
                                std::to_string(port),
                                "a lower base port, or fewer workers" });
        }
        upstream.mPort = static_cast<std::uint16_t>(port);
      }
      mItems.emplace_back(std::move(upstream));
    }
    mItems.emplace_back(std::move(worker));
  }
  return *this;
}

Configuration ConfigurationBuilder::Build(yaml::Report& aReport) const
{
  aReport.mProblems.insert(aReport.mProblems.end(), mProblems.begin(), mProblems.end());
  Configuration configuration;
  std::set<std::string> seen;
  for (const auto& item : mItems) {
    auto key = KeyOf(item);
    if (!seen.insert(key).second) {
      aReport.mProblems.push_back(
        { aReport.mFile, 0, std::move(key), "the item twice", "each item once" });
    }
    PutItem(configuration, item);
  }
  // ParseDocument checks ranges and references.
  return ParseDocument(aReport, PrintDocument(configuration));
}

int PrintConfiguration(const ConfigurationBuilder& aBuilder,
                       std::ostream& aOut,
                       std::ostream& aErrors)
{
  yaml::Report report{ "configuration", {} };
  const auto configuration = aBuilder.Build(report);
  for (const auto& problem : report.mProblems) {
    aErrors << yaml::ToString(problem) << "\n";
  }
  if (!report.mProblems.empty()) {
    return 2;
  }
  aOut << PrintDocument(configuration);
  return 0;
}

} // namespace pollenwall::configuration

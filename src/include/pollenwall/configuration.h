#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <pollenwall/needs.h>

/// The operators' configuration: data centres, workers, services, upstreams and teams. A published
/// Configuration is immutable; a new version is a new object.
namespace pollenwall::configuration {

using Version = std::uint64_t; ///< 0 is the empty configuration; each accepted change adds 1.

struct DataCentre
{
  std::string mName;
  std::string mRegion;
  std::chrono::microseconds mOneWayLatency{ 1000 }; ///< To the other data centres of its region.

  friend bool operator==(const DataCentre&, const DataCentre&) = default;
};

struct Worker
{
  std::string mName;
  std::string mDataCentre;
  std::string mRack;
  std::string mAddress;                           ///< IP number.
  std::uint32_t mMilliCores = kMilliCoresPerCore; ///< Thousandths of a core.
  std::uint64_t mMemoryBytes = 0;
  std::uint32_t mAccelerators = 0;

  friend bool operator==(const Worker&, const Worker&) = default;
};

struct Service
{
  std::string mName;
  std::vector<std::string> mKinds; ///< Kinds of job; an empty list allows any.
  std::chrono::milliseconds mMaxDeadline{ 60000 };
  std::chrono::milliseconds mExpectedRun{ 500 }; ///< Estimate until run times have been observed.
  /// A task that is expected to run longer than this is in the long class.
  std::chrono::milliseconds mLongAfter{ 2000 };
  double mLongShare = 0.5; ///< Maximum share of slots for the long class, 0 to 1.

  friend bool operator==(const Service&, const Service&) = default;
};

/// The back end of one service on one worker.
struct Upstream
{
  std::string mService;
  std::string mWorker;
  std::uint16_t mPort = 0;
  std::uint32_t mSlots = 8;        ///< Tasks that it runs concurrently.
  std::uint32_t mConnections = 60; ///< Connections that it accepts, over all entries.

  friend bool operator==(const Upstream&, const Upstream&) = default;
};

struct Team
{
  std::string mName;
  double mWeight = 1;             ///< Under contention slots are shared in proportion to it.
  double mStartsPerSecond = 1000; ///< Quota of task starts by all entries together.
  double mBurstStarts = 1000;     ///< Starts that a team may make at once after idling.

  friend bool operator==(const Team&, const Team&) = default;
};

/// Keys are names; an upstream's key is "SERVICE/WORKER".
struct Configuration
{
  Version mVersion = 0;
  std::map<std::string, DataCentre, std::less<>> mDataCentres;
  std::map<std::string, Worker, std::less<>> mWorkers;
  std::map<std::string, Service, std::less<>> mServices;
  std::map<std::string, Upstream, std::less<>> mUpstreams;
  std::map<std::string, Team, std::less<>> mTeams;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// "SERVICE/WORKER".
std::string UpstreamKey(std::string_view aService, std::string_view aWorker);

} // namespace pollenwall::configuration

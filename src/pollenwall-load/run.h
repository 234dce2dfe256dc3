#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "plan.h"
#include "report.h"

/// Runs a plan against real processes.
namespace pollenwall::load {

struct RunOptions
{
  PlanOptions mPlan;
  std::vector<boost::asio::ip::tcp::endpoint> mEntries;
  std::vector<boost::asio::ip::tcp::endpoint> mWorkers; ///< To read their counts; may be empty.
  std::string mScenario = "load";
  std::string mPolicy = "pollenwall";
  std::string mService = "dispatch";
  bool mDirect = false;          ///< The entries are workers; each task is sent directly to one.
  bool mRandomEntry = false;     ///< Picks entries at random instead of in turn.
  std::int64_t mReadyPollMs = 0; ///< Interval of /readyz probes, as by a balancer; 0 is never.
  std::uint32_t mClosedLoopJobs = 0;  ///< Jobs in flight of a closed loop; 0 is an open loop.
  std::size_t mMaxConnections = 2000; ///< Per entry.
  std::int64_t mDeadlineMs = 10000;
  std::int64_t mResubmitAfterMs = 0;     ///< Only jobs with a caller-chosen id; 0 is never.
  std::uint32_t mMaxCopies = 4;          ///< Per job, including the first one.
  std::int64_t mAnswerTimeoutMs = 30000; ///< After this time the answer counts as lost.
  std::int64_t mSettleMs = 500; ///< Delay from the last answer to reading the workers' counts.
  std::uint64_t mSlots = 0;     ///< Slots of all workers, to compute load and goodput.
  double mLongMs = 2000;        ///< Jobs with a longer task are excluded from the short jobs.
  std::uint64_t mMaxCheckedTasks = 3000000; ///< Tasks whose reported verdicts are checked.
  std::string mJobsFile;                    ///< File with one JSON line per job; empty for none.
};

/// Runs until the plan has ended and every job is answered or given up. Throws std::runtime_error
/// if the workers' counts cannot be read or the jobs file cannot be written.
Report Run(const RunOptions& aOptions);

} // namespace pollenwall::load

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "plan.h"
#include "report.h"

/// Carries out a plan against real processes.
namespace pollenwall::load {

struct RunOptions
{
  PlanOptions mPlan;
  std::vector<boost::asio::ip::tcp::endpoint> mEntries;
  std::vector<boost::asio::ip::tcp::endpoint> mWorkers; ///< Of the workers' counts; may be empty.
  std::string mScenario = "load";
  std::string mPolicy = "pollenwall";
  std::string mService = "dispatch";
  bool mDirect = false;          ///< The entries are workers: each task is sent straight to one.
  bool mRandomEntry = false;     ///< A random entry for each submission instead of the next one.
  std::int64_t mReadyPollMs = 0; ///< How often /readyz is asked, as a balancer does; 0 is never.
  std::uint32_t mClosed = 0;     ///< Jobs kept in flight instead of timed arrivals; 0 is open loop.
  std::size_t mConnections = 2000; ///< To each entry at most.
  std::int64_t mDeadlineMs = 10000;
  std::int64_t mResubmitAfterMs = 0;     ///< Caller-chosen ids without an answer; 0 is never.
  std::uint32_t mMaxCopies = 4;          ///< Of one submission.
  std::int64_t mAnswerTimeoutMs = 30000; ///< Without an answer by then the answer is lost.
  std::int64_t mSettleMs = 500;          ///< From the last answer to reading the workers' counts.
  std::uint64_t mSlots = 0;              ///< Of all workers, for load and goodput.
  double mLongMs = 2000;                 ///< Jobs with a longer task are not short.
  std::uint64_t mCheckedTasks = 3000000; ///< Tasks whose claims are remembered.
  std::string mJobsFile;                 ///< One JSON line for each job when not empty.
};

/// Runs to the end of the plan and all answers. Throws std::runtime_error when the workers' counts
/// cannot be read or the jobs file cannot be written.
Report Run(const RunOptions& aOptions);

} // namespace pollenwall::load

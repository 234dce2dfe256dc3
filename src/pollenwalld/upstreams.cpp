#include "upstreams.h"

#include <boost/json.hpp>

#include "upstream_protocol.h"

namespace pollenwall::daemon {
namespace {

constexpr std::chrono::milliseconds kSweepInterval{ 500 };

std::string ConnectAddressOf(const Upstreams& aUpstreams, dispatch::UpstreamIndex aIndex)
{
  return settings::ConnectAddress(aUpstreams.mDaemon.mSettings,
                                  node::AddressOf(*aUpstreams.mLoop.mState, aIndex).mAddress);
}

const std::shared_ptr<UpstreamPool>& PoolOf(Upstreams& aUpstreams, dispatch::UpstreamIndex aIndex)
{
  if (aIndex >= aUpstreams.mPools.size()) {
    aUpstreams.mPools.resize(aIndex + 1);
  }
  auto& pool = aUpstreams.mPools[aIndex];
  if (!pool) {
    pool = std::make_shared<UpstreamPool>(aUpstreams.mDaemon.mContext, aUpstreams.mLimits);
    pool->mAddress = ConnectAddressOf(aUpstreams, aIndex);
  }
  return pool;
}

void CountOutcome(metrics::Registry& aMetrics, const TaskOutcome& aOutcome)
{
  if (aOutcome.mVerdict == Verdict::Ran) {
    static constexpr std::string_view kRan = "task_runs_total{result=\"ok\"}";
    static constexpr std::string_view kFailed = "task_runs_total{result=\"failed\"}";
    metrics::Add(aMetrics, aOutcome.mCode ? kFailed : kRan);
    return;
  }
  const auto code = aOutcome.mCode.value_or(ErrorCode::Internal);
  const auto name =
    aOutcome.mVerdict == Verdict::NotRun ? "task_refusals_total" : "task_losses_total";
  metrics::Add(aMetrics, std::string(name) + "{code=\"" + std::string(ToString(code)) + "\"}");
}

void StartTask(Upstreams& aUpstreams, dispatch::StartTask& aAction)
{
  metrics::Add(aUpstreams.mDaemon.mMetrics, "task_requests_total");
  UpstreamRequest request;
  request.mTask = std::move(aAction.mTask);
  request.mNotAfterMs = aAction.mNotAfterMs;
  request.mPayload = std::move(aAction.mPayload);
  request.mDone = [&aUpstreams,
                   task = request.mTask,
                   attempt = aAction.mAttempt,
                   upstream = aAction.mUpstream](TaskOutcome aOutcome) mutable {
    auto& metrics = aUpstreams.mDaemon.mMetrics;
    CountOutcome(metrics, aOutcome);
    metrics::Observe(
      metrics, "task_seconds", std::chrono::duration<double>(aOutcome.mRunTime).count());
    Post(aUpstreams.mLoop,
         node::UpstreamAnswered{ std::move(task), attempt, upstream, std::move(aOutcome) });
  };
  Send(PoolOf(aUpstreams, aAction.mUpstream), std::move(request));
}

void QuerySlots(Upstreams& aUpstreams, const node::QuerySlots& aAction)
{
  UpstreamRequest request;
  request.mKind = RequestKind::Slots;
  request.mDone = [&aUpstreams, upstream = aAction.mUpstream](const TaskOutcome& aOutcome) {
    std::optional<std::uint32_t> busy;
    if (aOutcome.mVerdict == Verdict::Ran && !aOutcome.mCode) {
      busy = ParseBusySlots(aOutcome.mResult);
    }
    Post(aUpstreams.mLoop, node::SlotsAnswered{ upstream, busy });
  };
  Send(PoolOf(aUpstreams, aAction.mUpstream), std::move(request));
}

void SweepAll(Upstreams& aUpstreams)
{
  aUpstreams.mSweep.expires_after(kSweepInterval);
  aUpstreams.mSweep.async_wait([&aUpstreams](const boost::system::error_code& aEc) {
    if (aEc) {
      return;
    }
    std::size_t connections = 0;
    dispatch::UpstreamIndex index = 0;
    for (const auto& pool : aUpstreams.mPools) {
      const auto current = index++;
      if (!pool) {
        continue;
      }
      // A new configuration may change the worker's address.
      SetAddress(*pool, ConnectAddressOf(aUpstreams, current));
      Sweep(*pool);
      connections += pool->mConnections.size();
    }
    metrics::Set(
      aUpstreams.mDaemon.mMetrics, "upstream_connections", static_cast<double>(connections));
    SweepAll(aUpstreams);
  });
}

Result<void> Start(Upstreams& aUpstreams)
{
  auto& handlers = aUpstreams.mLoop.mHandlers;
  handlers.mStartTask = [&aUpstreams](dispatch::StartTask& aAction) {
    StartTask(aUpstreams, aAction);
  };
  handlers.mStopTask = [&aUpstreams](dispatch::StopTask& aAction) {
    StopTaskOn(PoolOf(aUpstreams, aAction.mUpstream), aAction.mTask);
  };
  handlers.mQuerySlots = [&aUpstreams](node::QuerySlots& aAction) {
    QuerySlots(aUpstreams, aAction);
  };
  SweepAll(aUpstreams);
  return {};
}

} // namespace

void RegisterUpstreams(DaemonContext& aDaemon)
{
  auto& loop = *kernel::Find<NodeLoop>(aDaemon.mKernel, "node");
  auto upstreams = std::make_shared<Upstreams>(aDaemon, loop);
  kernel::Register(aDaemon.mKernel,
                   { "upstreams",
                     { "node" },
                     [upstreams] { return Start(*upstreams); },
                     [upstreams] {
                       upstreams->mSweep.cancel();
                       for (const auto& pool : upstreams->mPools) {
                         if (pool) {
                           CloseAll(*pool);
                         }
                       }
                     },
                     upstreams.get() });
}

std::string DescribeUpstreams(const Upstreams& aUpstreams)
{
  boost::json::array list;
  for (const auto& pool : aUpstreams.mPools) {
    if (!pool) {
      continue;
    }
    boost::json::object item;
    item["address"] = pool->mAddress;
    item["connections"] = pool->mConnections.size();
    item["idle"] = pool->mIdle.size();
    item["waiting"] = pool->mWaiting.size();
    item["opened"] = pool->mOpenedConnections;
    list.push_back(std::move(item));
  }
  return boost::json::serialize(list);
}

} // namespace pollenwall::daemon

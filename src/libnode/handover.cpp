#include <algorithm>

#include "state.h"

// The planned stop: this entry reports that it is not ready, hands queued jobs and known
// submissions to its peers, and then exits.

namespace pollenwall::node {
namespace {

using membership::MemberState;

/// The load balancer sends callers for a little longer; their jobs are handed over too.
constexpr std::chrono::milliseconds kHandoverDelay{ 500 };
constexpr std::chrono::milliseconds kHandoverTimeout{ 3000 };
/// Time for a view without this entry to become the current one before the exit, so that the
/// ownership of its ids moves sooner.
constexpr std::chrono::milliseconds kViewLeaveTimeout{ 3000 };
/// Delay after a receiver did not take jobs.
constexpr std::chrono::milliseconds kHandoverRetryDelay{ 300 };
constexpr std::size_t kMaxJobsPerTick = 32;
/// A handover message is sent when its payloads reach this size, which leaves room in a frame for
/// one more job.
constexpr std::size_t kFlushPayloadBytes = 256 * 1024;
constexpr std::size_t kMaxKnownPerMessage = 1000;
constexpr std::size_t kMaxPendingHandovers = 4;

std::vector<const membership::Peer*> ReadyPeers(const State& aState)
{
  std::vector<const membership::Peer*> peers;
  for (const auto& [incarnation, peer] : aState.mMembers.mPeers) {
    if (peer.mLinkUp && peer.mDataCentre == aState.mOptions.mDataCentre &&
        peer.mState == MemberState::Ready) {
      peers.push_back(&peer);
    }
  }
  return peers;
}

/// Selects the receiver of a job: for a caller-chosen id the owner in the current view, so that
/// resubmissions find the job, otherwise the peer with the shortest queue.
Incarnation SelectReceiver(const State& aState,
                           const std::string& aId,
                           const std::vector<const membership::Peer*>& aPeers)
{
  const auto* view = ownership::CurrentView(aState.mViews);
  if (view != nullptr && ParseCallerId(aId)) {
    const auto owner = ownership::OwnerOf(*view, aId);
    const bool ready = std::any_of(aPeers.begin(), aPeers.end(), [owner](const auto* aPeer) {
      return aPeer->mIncarnation == owner;
    });
    if (ready) {
      return owner;
    }
  }
  const auto least =
    std::min_element(aPeers.begin(), aPeers.end(), [](const auto* aOne, const auto* aOther) {
      return std::pair(aOne->mQueuedTasks, aOne->mIncarnation) <
             std::pair(aOther->mQueuedTasks, aOther->mIncarnation);
    });
  return (*least)->mIncarnation;
}

/// Withdraws jobs of which no task was sent and sends them to peers. The receiver holds them from
/// then on; this entry starts one again only when the receiver's reply shows that it did not take
/// it.
void HandOverJobs(State& aState, const Now& aNow, Actions& aActions)
{
  const auto peers = ReadyPeers(aState);
  if (peers.empty() || aState.mHandovers.size() >= kMaxPendingHandovers ||
      aNow.mTime < aState.mNextHandover) {
    return;
  }
  std::map<Incarnation, PendingHandover> batches;
  const auto flush = [&](Incarnation aTo, PendingHandover& aBatch) {
    const auto number = ++aState.mNextNumber;
    Send(aState, aTo, message::Handover{ number, aBatch.mJobs, {} }, aActions);
    aState.mHandovers[number] = std::move(aBatch);
    aBatch = {};
  };
  for (const auto& id : dispatch::UnstartedJobs(*aState.mDispatch, kMaxJobsPerTick)) {
    auto withdrawn = dispatch::Withdraw(*aState.mDispatch, id, aNow);
    if (!withdrawn) {
      continue;
    }
    const auto to = SelectReceiver(aState, id, peers);
    auto& batch = batches[to];
    batch.mTo = to;
    batch.mUntil = aNow.mTime + kHandoverTimeout;
    for (const auto request : withdrawn->mRequests) {
      if (auto waiter = TakeWaiter(aState, request)) {
        waiter->mId = id;
        if (waiter->mOrigin.mCaller != 0) {
          aState.mCallers[waiter->mOrigin.mCaller] = {};
        }
        batch.mWaiters[id].push_back(std::move(*waiter));
      }
    }
    aState.mOpenJobs.erase(id);
    aState.mHandedOverTo[id] = to;
    ++aState.mCounters.mHandedOver;
    for (const auto& task : withdrawn->mJob.mTasks) {
      batch.mBytes += task.mPayload.size();
    }
    batch.mJobs.push_back(std::move(withdrawn->mJob));
    if (batch.mBytes >= kFlushPayloadBytes) {
      flush(to, batch);
    }
  }
  for (auto& [to, batch] : batches) {
    if (!batch.mJobs.empty()) {
      flush(to, batch);
    }
  }
}

/// Reports to the current owners how submissions with caller-chosen ids to this entry ended.
void HandOverKnownSubmissions(State& aState, Actions& aActions)
{
  const auto* view = ownership::CurrentView(aState.mViews);
  aState.mKnownHandedOver = true;
  if (view == nullptr) {
    return;
  }
  std::map<Incarnation, std::vector<message::KnownSubmission>> batches;
  const auto flush = [&](Incarnation aTo, std::vector<message::KnownSubmission>& aBatch) {
    Send(aState, aTo, message::Handover{ ++aState.mNextNumber, {}, std::move(aBatch) }, aActions);
    aBatch.clear();
  };
  for (const auto& [when, known] : aState.mFinishedJobs) {
    const auto owner = ownership::OwnerOf(*view, known.mId);
    if (!ParseCallerId(known.mId) || owner == aState.mOptions.mIncarnation) {
      continue;
    }
    auto& batch = batches[owner];
    batch.push_back(known);
    if (batch.size() == kMaxKnownPerMessage) {
      flush(owner, batch);
    }
  }
  for (auto& [owner, batch] : batches) {
    if (!batch.empty()) {
      flush(owner, batch);
    }
  }
}

/// Answers the waiters of a handover that got no reply; the receiver may run the jobs.
void FailHandover(State& aState, PendingHandover& aPending, Actions& aActions)
{
  for (auto& [id, waiters] : aPending.mWaiters) {
    for (const auto& waiter : waiters) {
      AnswerOrigin(aState,
                   waiter.mOrigin,
                   MakeError(ErrorCode::OwnerUnreachable,
                             Verdict::MayHaveRun,
                             "The job was handed to an entry that has not answered."),
                   aActions);
    }
  }
}

} // namespace

void OnDrain(State& aState, const Now& aNow, Actions& aActions)
{
  if (aState.mDrainStarted) {
    return;
  }
  aState.mDrainStarted = aNow.mTime;
  aState.mNextHeartbeat = aNow.mTime;
  aActions.emplace_back(Report{ false, "stopping", {} });
}

void OnHandover(State& aState,
                Incarnation aFrom,
                const message::Handover& aMessage,
                const Now& aNow,
                Actions& aActions)
{
  for (const auto& known : aMessage.mKnown) {
    RecordRemoteSubmission(aState, known);
  }
  if (aMessage.mJobs.empty()) {
    return;
  }
  message::HandoverReply reply{ aMessage.mNumber, {} };
  for (const auto& job : aMessage.mJobs) {
    if (aState.mDrainStarted || aState.mAppliedVersion == 0) {
      break;
    }
    // A job that is already known here counts as taken too, because the sender must not start it.
    Dispatch(aState, dispatch::Submit{ 0, job }, aNow, aActions);
    if (dispatch::FindKnownJob(*aState.mDispatch, job.mId)) {
      reply.mAcceptedJobs.push_back(job.mId);
      ++aState.mCounters.mTakenOver;
    }
  }
  Send(aState, aFrom, std::move(reply), aActions);
}

void OnHandoverReply(State& aState,
                     Incarnation aFrom,
                     const message::HandoverReply& aMessage,
                     const Now& aNow,
                     Actions& aActions)
{
  const auto it = aState.mHandovers.find(aMessage.mNumber);
  if (it == aState.mHandovers.end() || it->second.mTo != aFrom) {
    return;
  }
  auto pending = std::move(it->second);
  aState.mHandovers.erase(it);
  const std::set<std::string> taken(aMessage.mAcceptedJobs.begin(), aMessage.mAcceptedJobs.end());
  for (auto& job : pending.mJobs) {
    const auto id = job.mId;
    const auto& waiters = pending.mWaiters[id];
    if (taken.contains(id)) {
      for (const auto& waiter : waiters) {
        ForwardWaiter(aState, waiter, job.mTeam, aFrom, aNow, aActions);
      }
      continue;
    }
    // The receiver will not start it, so this entry takes it back.
    aState.mNextHandover = aNow.mTime + kHandoverRetryDelay;
    aState.mHandedOverTo.erase(id);
    if (waiters.empty()) {
      Dispatch(aState, dispatch::Submit{ 0, std::move(job) }, aNow, aActions);
      continue;
    }
    for (const auto& waiter : waiters) {
      const auto request = AddWaiter(aState, waiter);
      Dispatch(aState, dispatch::Submit{ request, job }, aNow, aActions);
    }
  }
}

void FailHandoversTo(State& aState, Incarnation aPeer, const Now& /*aNow*/, Actions& aActions)
{
  for (auto it = aState.mHandovers.begin(); it != aState.mHandovers.end();) {
    if (it->second.mTo != aPeer) {
      ++it;
      continue;
    }
    FailHandover(aState, it->second, aActions);
    it = aState.mHandovers.erase(it);
  }
}

void TickHandover(State& aState, const Now& aNow, Actions& aActions)
{
  if (!aState.mDrainStarted || aState.mStopped) {
    return;
  }
  for (auto it = aState.mHandovers.begin(); it != aState.mHandovers.end();) {
    if (aNow.mTime < it->second.mUntil) {
      ++it;
      continue;
    }
    FailHandover(aState, it->second, aActions);
    it = aState.mHandovers.erase(it);
  }
  const auto elapsed = aNow.mTime - *aState.mDrainStarted;
  if (elapsed >= kHandoverDelay) {
    HandOverJobs(aState, aNow, aActions);
  }
  const auto load = dispatch::LoadOf(*aState.mDispatch);
  const bool idle = elapsed >= kHandoverDelay * 3 && load.mQueuedTasks == 0 &&
                    load.mRunningTasks == 0 && aState.mHandovers.empty() &&
                    aState.mWaiters.empty() && aState.mForwards.empty();
  const auto* view = ownership::CurrentView(aState.mViews);
  const bool hasLeftView = view == nullptr ||
                           !ownership::Contains(view->mMembers, aState.mOptions.mIncarnation) ||
                           ReadyPeers(aState).empty() || elapsed >= kViewLeaveTimeout;
  if (idle && hasLeftView && !aState.mKnownHandedOver) {
    HandOverKnownSubmissions(aState, aActions);
    return; // Stops with a later tick, so that the messages are sent first.
  }
  const bool journalled = (aState.mJournalBatch.empty() && aState.mJournalBuffer.empty()) ||
                          aState.mJournalAppend.mFailures > 0;
  if ((idle && hasLeftView && journalled) || elapsed >= aState.mOptions.mDrainLimit) {
    aState.mStopped = true;
    aActions.emplace_back(Report{ elapsed >= aState.mOptions.mDrainLimit,
                                  "stopped",
                                  { { "queued_tasks", std::to_string(load.mQueuedTasks) },
                                    { "running_tasks", std::to_string(load.mRunningTasks) } } });
    aActions.emplace_back(Stopped{});
  }
}

} // namespace pollenwall::node

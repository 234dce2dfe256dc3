#include <algorithm>

#include "state.h"

// The planned stop: not ready at once, queued jobs and known submissions to the peers, then exit.

namespace pollenwall::node {
namespace {

using membership::MemberState;

/// The balancer still sends callers for a while; their jobs are handed over too.
constexpr std::chrono::milliseconds kHandoverAfter{ 500 };
constexpr std::chrono::milliseconds kHandoverTime{ 3000 };
/// Time for the view to leave this entry out before it exits, so that its ranges move sooner.
constexpr std::chrono::milliseconds kViewTime{ 3000 };
/// After a receiver did not take jobs, before they are offered again.
constexpr std::chrono::milliseconds kOfferAgain{ 300 };
constexpr std::size_t kJobsPerMessage = 32;
/// A message is sent when its payloads reach this, which leaves room in a frame for one more job.
constexpr std::size_t kMessageBytes = 256 * 1024;
constexpr std::size_t kKnownPerMessage = 1000;
constexpr std::size_t kMessagesAtOnce = 4;

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

/// The owner by the view in force for a caller-chosen id, so that resubmissions find the job; the
/// peer with the shortest queue otherwise.
Incarnation ReceiverOf(const State& aState,
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

/// Takes jobs of which no task was sent out of the queue and sends them to peers. From here on they
/// are the receiver's: this entry starts them again only when the receiver says that it did not
/// take them.
void HandOverJobs(State& aState, const Now& aNow, Actions& aActions)
{
  const auto peers = ReadyPeers(aState);
  if (peers.empty() || aState.mHandovers.size() >= kMessagesAtOnce ||
      aNow.mTime < aState.mHandoverAt) {
    return;
  }
  std::map<Incarnation, PendingHandover> batches;
  const auto flush = [&](Incarnation aTo, PendingHandover& aBatch) {
    const auto number = ++aState.mNextNumber;
    Send(aState, aTo, message::Handover{ number, aBatch.mJobs, {} }, aActions);
    aState.mHandovers[number] = std::move(aBatch);
    aBatch = {};
  };
  for (const auto& id : dispatch::UnstartedJobs(*aState.mDispatch, kJobsPerMessage)) {
    auto withdrawn = dispatch::Withdraw(*aState.mDispatch, id, aNow);
    if (!withdrawn) {
      continue;
    }
    const auto to = ReceiverOf(aState, id, peers);
    auto& batch = batches[to];
    batch.mTo = to;
    batch.mUntil = aNow.mTime + kHandoverTime;
    for (const auto request : withdrawn->mRequests) {
      if (auto waiter = TakeWaiter(aState, request)) {
        waiter->mId = id;
        if (waiter->mOrigin.mCaller != 0) {
          aState.mCallers[waiter->mOrigin.mCaller] = {};
        }
        batch.mWaiters[id].push_back(std::move(*waiter));
      }
    }
    aState.mOpen.erase(id);
    aState.mMoved[id] = to;
    ++aState.mCounters.mHandedOver;
    for (const auto& task : withdrawn->mJob.mTasks) {
      batch.mBytes += task.mPayload.size();
    }
    batch.mJobs.push_back(std::move(withdrawn->mJob));
    if (batch.mBytes >= kMessageBytes) {
      flush(to, batch);
    }
  }
  for (auto& [to, batch] : batches) {
    if (!batch.mJobs.empty()) {
      flush(to, batch);
    }
  }
}

/// Tells the present owners how the caller-chosen submissions of this entry ended.
void HandOverKnown(State& aState, Actions& aActions)
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
  for (const auto& [when, known] : aState.mFinished) {
    const auto owner = ownership::OwnerOf(*view, known.mId);
    if (!ParseCallerId(known.mId) || owner == aState.mOptions.mIncarnation) {
      continue;
    }
    auto& batch = batches[owner];
    batch.push_back(known);
    if (batch.size() == kKnownPerMessage) {
      flush(owner, batch);
    }
  }
  for (auto& [owner, batch] : batches) {
    if (!batch.empty()) {
      flush(owner, batch);
    }
  }
}

/// Ends a handover without the receiver's word: the jobs may run there.
void Abandon(State& aState, PendingHandover& aPending, Actions& aActions)
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
  aState.mHeartbeatAt = aNow.mTime;
  aActions.emplace_back(Report{ false, "stopping", {} });
}

void OnHandover(State& aState,
                Incarnation aFrom,
                const message::Handover& aMessage,
                const Now& aNow,
                Actions& aActions)
{
  for (const auto& known : aMessage.mKnown) {
    NoteKnown(aState, known);
  }
  if (aMessage.mJobs.empty()) {
    return;
  }
  message::HandoverReply reply{ aMessage.mNumber, {} };
  for (const auto& job : aMessage.mJobs) {
    if (aState.mDrainStarted || aState.mAppliedVersion == 0) {
      break;
    }
    // A job that is known here is taken too: the sender must not start it.
    Dispatch(aState, dispatch::Submit{ 0, job }, aNow, aActions);
    if (dispatch::FindKnown(*aState.mDispatch, job.mId)) {
      reply.mTaken.push_back(job.mId);
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
  const std::set<std::string> taken(aMessage.mTaken.begin(), aMessage.mTaken.end());
  for (auto& job : pending.mJobs) {
    const auto id = job.mId;
    const auto& waiters = pending.mWaiters[id];
    if (taken.contains(id)) {
      for (const auto& waiter : waiters) {
        WaitAtPeer(aState, waiter, job.mTeam, aFrom, aNow, aActions);
      }
      continue;
    }
    // The receiver never starts it, so it is this entry's again.
    aState.mHandoverAt = aNow.mTime + kOfferAgain;
    aState.mMoved.erase(id);
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

void FailHandovers(State& aState, Incarnation aPeer, const Now& /*aNow*/, Actions& aActions)
{
  for (auto it = aState.mHandovers.begin(); it != aState.mHandovers.end();) {
    if (it->second.mTo != aPeer) {
      ++it;
      continue;
    }
    Abandon(aState, it->second, aActions);
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
    Abandon(aState, it->second, aActions);
    it = aState.mHandovers.erase(it);
  }
  const auto since = aNow.mTime - *aState.mDrainStarted;
  if (since >= kHandoverAfter) {
    HandOverJobs(aState, aNow, aActions);
  }
  const auto load = dispatch::LoadOf(*aState.mDispatch);
  const bool idle = since >= kHandoverAfter * 3 && load.mQueuedTasks == 0 &&
                    load.mRunningTasks == 0 && aState.mHandovers.empty() &&
                    aState.mWaiters.empty() && aState.mForwards.empty();
  const auto* view = ownership::CurrentView(aState.mViews);
  const bool left = view == nullptr ||
                    !ownership::Contains(view->mMembers, aState.mOptions.mIncarnation) ||
                    ReadyPeers(aState).empty() || since >= kViewTime;
  if (idle && left && !aState.mKnownHandedOver) {
    HandOverKnown(aState, aActions);
    return; // The messages leave before the process does.
  }
  const bool journalled = (aState.mJournalBatch.empty() && aState.mJournalBuffer.empty()) ||
                          aState.mJournalAppend.mFailures > 0;
  if ((idle && left && journalled) || since >= aState.mOptions.mDrainLimit) {
    aState.mStopped = true;
    aActions.emplace_back(Report{ since >= aState.mOptions.mDrainLimit,
                                  "stopped",
                                  { { "queued_tasks", std::to_string(load.mQueuedTasks) },
                                    { "running_tasks", std::to_string(load.mRunningTasks) } } });
    aActions.emplace_back(Stopped{});
  }
}

} // namespace pollenwall::node

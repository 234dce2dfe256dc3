#include <algorithm>
#include <iterator>

#include <pollenwall/admission.h>

#include "state.h"

// The owner's part: jobs of callers that are connected to this entry.

namespace pollenwall::entry {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// A job is refused after this many holders have refused it.
constexpr std::size_t kMaxRefusals = 4;
/// Added to the utilisation of holders in other data centres, as a fraction of their capacity:
/// about a network round trip in units of a short task.
constexpr double kRemotePenalty = 0.05;
/// Assumed round trip to a holder in another data centre, with its handling there.
constexpr milliseconds kRemoteRoundTrip{ 5 };
/// Holders whose expected delays differ by less are equally good: loads are about this old.
constexpr milliseconds kSimilarDelay{ 20 };
/// Delay before a job is offered again while no holder is known or the holder is about to change.
constexpr milliseconds kForwardRetryDelay{ 50 };
/// A job that has waited this long for a holder is refused with a retry-after time.
constexpr milliseconds kMaxHolderWait{ 400 };
constexpr milliseconds kNoHolderRetryAfter{ 500 };
/// Short, since the load balancer sends the retry to another entry.
constexpr milliseconds kStoppingRetryAfter{ 50 };

std::uint64_t MilliCoresOf(const JobSpec& aJob)
{
  std::uint64_t sum = 0;
  for (const auto& task : aJob.mTasks) {
    sum += task.mNeeds.mMilliCores;
  }
  return sum;
}

const message::ServiceLoad* FindLoad(const std::vector<message::ServiceLoad>& aLoads,
                                     std::string_view aService)
{
  const auto it = std::find_if(aLoads.begin(), aLoads.end(), [aService](const auto& aLoad) {
    return aLoad.mService == aService;
  });
  return it == aLoads.end() || it->mMilliCores == 0 ? nullptr : &*it;
}

/// The fraction of a holder's capacity that is in use or requested, including the job. Above 1 the
/// job has to wait.
double Utilisation(const message::ServiceLoad& aLoad, std::uint64_t aSent, std::uint64_t aJob)
{
  const auto used = aLoad.mMilliCores - std::min(aLoad.mMilliCores, aLoad.mFreeMilliCores);
  return static_cast<double>(used + aLoad.mQueuedMilliCores + aSent + aJob) /
         static_cast<double>(aLoad.mMilliCores);
}

bool HasRefused(const Call& aCall, Incarnation aHolder)
{
  return std::find(aCall.mRefusedBy.begin(), aCall.mRefusedBy.end(), aHolder) !=
         aCall.mRefusedBy.end();
}

struct HolderOption
{
  Incarnation mHolder;
  double mUtilisation = 0;    ///< Including the job; above 1 the job has to wait.
  double mFreeMilliCores = 0; ///< Beside the job; 0 if the job has to wait.
  double mMilliCores = 0;     ///< Its capacity.
  /// Tasks of the size of the job's that fit now; nothing if the holder does not tell.
  std::optional<double> mPlaces;
  milliseconds mDelay{ 0 }; ///< Round trip and expected wait; valid with mPlaces.
};

/// Sets what the holder tells about tasks of the job's size. A list that is too long comes from
/// another version and is not used.
void SetPlaces(HolderOption& aOption,
               const message::ServiceLoad& aLoad,
               const Call& aCall,
               std::uint64_t aSent,
               bool aLocal)
{
  std::uint32_t size = 0;
  for (const auto& task : aCall.mJob.mTasks) {
    size = std::max(size, task.mNeeds.mMilliCores);
  }
  const auto n = placement::SizeClassOf(size);
  if (!n || aLoad.mFits.empty() || aLoad.mFits.size() > placement::kSizeScale.size()) {
    return;
  }
  const auto sent = static_cast<double>(aSent) / std::max(size, 1U);
  const double fits = *n < aLoad.mFits.size() ? aLoad.mFits[*n] : 0;
  aOption.mPlaces = std::max(0.0, fits - sent);
  aOption.mDelay = (aLocal ? milliseconds{ 0 } : kRemoteRoundTrip) +
                   milliseconds{ *n < aLoad.mWaitsMs.size() ? aLoad.mWaitsMs[*n] : 0 };
}

/// Whether all tasks of the job can start there at once, as far as this is known.
bool HasPlace(const HolderOption& aOption, std::size_t aTasks)
{
  return aOption.mPlaces ? *aOption.mPlaces >= static_cast<double>(aTasks)
                         : aOption.mUtilisation <= 1;
}

/// The known holders that have not refused the job.
std::vector<HolderOption> FindHolders(const State& aState, const Call& aCall, const Now& aNow)
{
  std::vector<HolderOption> holders;
  const auto consider =
    [&](Incarnation aHolder, const message::ServiceLoad& aLoad, std::uint64_t aSent, bool aLocal) {
      if (HasRefused(aCall, aHolder)) {
        return;
      }
      const auto utilisation =
        Utilisation(aLoad, aSent, aCall.mMilliCores) + (aLocal ? 0 : kRemotePenalty);
      const auto free = std::max(1 - utilisation, 0.0) * static_cast<double>(aLoad.mMilliCores);
      HolderOption option{ aHolder, utilisation, free, static_cast<double>(aLoad.mMilliCores),
                           {},      {} };
      if (aState.mOptions.mDispatch.mShortageShares) {
        SetPlaces(option, aLoad, aCall, aSent, aLocal);
      }
      holders.push_back(option);
    };
  if (!aState.mDraining) {
    const auto loads = LoadsOf(aState);
    if (const auto* load = FindLoad(loads, aCall.mJob.mService)) {
      consider(aState.mOptions.mIncarnation, *load, 0, true);
    }
  }
  for (const auto& [address, peer] : aState.mPeers) {
    const auto* load = FindLoad(peer.mPresence.mLoads, aCall.mJob.mService);
    if (load == nullptr || peer.mPresence.mLeaving || !peer.mCheckedTimeMs ||
        OffersEvacuated(aState, peer) || !IsAlive(aState, peer, aNow)) {
      continue;
    }
    const auto sent = peer.mSentMilliCores.find(aCall.mJob.mService);
    consider(peer.mIncarnation,
             *load,
             sent == peer.mSentMilliCores.end() ? 0 : sent->second,
             peer.mRecord.mDataCentre == aState.mOptions.mDataCentre);
  }
  return holders;
}

/// Chooses among the holders with free capacity at random, in proportion to it. Loads are up to
/// Options::mPresenceInterval old: if all owners chose the least loaded holder, the jobs of one
/// interval would queue there while other holders have room. Without free capacity the holder with
/// the lowest utilisation is chosen. Returns nothing without holders.
std::optional<Incarnation> ChooseHolder(const std::vector<HolderOption>& aHolders,
                                        std::mt19937_64& aRandom)
{
  if (aHolders.empty()) {
    return std::nullopt;
  }
  double sum = 0;
  for (const auto& holder : aHolders) {
    sum += holder.mFreeMilliCores;
  }
  if (sum > 0) {
    auto left = admission::UnitRandom(aRandom) * sum;
    for (const auto& holder : aHolders) {
      if (holder.mFreeMilliCores > left) {
        return holder.mHolder;
      }
      left -= holder.mFreeMilliCores;
    }
  }
  // Also reached if rounding errors have left a rest of the random value.
  return std::min_element(aHolders.begin(),
                          aHolders.end(),
                          [](const auto& aOne, const auto& aOther) {
                            return aOne.mUtilisation < aOther.mUtilisation;
                          })
    ->mHolder;
}

/// Chooses among the given holders at random, in proportion to a weight. There must be some.
template<typename Weight>
Incarnation ChooseByWeight(const std::vector<HolderOption>& aHolders,
                           Weight aWeight,
                           std::mt19937_64& aRandom)
{
  double sum = 0;
  for (const auto& holder : aHolders) {
    sum += aWeight(holder);
  }
  auto left = admission::UnitRandom(aRandom) * sum;
  for (const auto& holder : aHolders) {
    if (aWeight(holder) > left) {
      return holder.mHolder;
    }
    left -= aWeight(holder);
  }
  return aHolders.back().mHolder;
}

/// Chooses a holder where the job's tasks fit. If they fit nowhere, the one where they are expected
/// to end first; holders that hardly differ are chosen from at random, so that not all owners
/// choose the same one. If the usual choice has a place for the job, or does not tell, it stands.
std::optional<Incarnation> ChooseHolderByFit(const std::vector<HolderOption>& aHolders,
                                             std::size_t aTasks,
                                             std::mt19937_64& aRandom)
{
  const auto usual = ChooseHolder(aHolders, aRandom);
  const auto it = std::find_if(aHolders.begin(), aHolders.end(), [&](const auto& aOption) {
    return aOption.mHolder == usual;
  });
  if (it == aHolders.end() || !it->mPlaces || HasPlace(*it, aTasks)) {
    return usual;
  }
  // Holders that have place for all of the tasks, or else for some of them.
  const auto places = [](const auto& aOption) { return aOption.mPlaces.value_or(0); };
  std::vector<HolderOption> suitable;
  for (const double least : { static_cast<double>(aTasks), 1.0 }) {
    std::copy_if(aHolders.begin(),
                 aHolders.end(),
                 std::back_inserter(suitable),
                 [&](const auto& aIt) { return places(aIt) >= least; });
    if (!suitable.empty()) {
      return ChooseByWeight(suitable, places, aRandom);
    }
  }
  auto shortest = milliseconds::max();
  for (const auto& holder : aHolders) {
    shortest = holder.mPlaces ? std::min(shortest, holder.mDelay) : shortest;
  }
  std::copy_if(
    aHolders.begin(), aHolders.end(), std::back_inserter(suitable), [&](const auto& aIt) {
      return aIt.mPlaces && aIt.mDelay <= shortest + kSimilarDelay;
    });
  return ChooseByWeight(
    suitable, [](const auto& aIt) { return aIt.mMilliCores; }, aRandom);
}

void Answer(State& aState,
            CallNumber aNumber,
            std::optional<JobAnswer> aAnswer,
            std::optional<Error> aError,
            Actions& aActions)
{
  const auto it = aState.mCalls.find(aNumber);
  auto& call = it->second;
  if (aError) {
    aError->mVerdict = Combine(aError->mVerdict, call.mVerdict);
    ++aState.mCounts.mRefused;
  } else {
    aAnswer->mVerdict = Combine(aAnswer->mVerdict, call.mVerdict);
  }
  const auto& error = aError ? aError : aAnswer->mError;
  const auto verdict = aAnswer ? aAnswer->mVerdict : aError->mVerdict;
  AddReport(aActions,
            "call_answered",
            { { "job", call.mJob.mId },
              { "request_id", call.mCallerRequestId },
              { "state", aAnswer && aAnswer->mState == JobState::Complete ? "complete" : "failed" },
              { "verdict", std::string(ToString(verdict)) },
              { "code", error ? std::string(ToString(error->mCode)) : "" },
              { "reason", error ? error->mMessage : "" } },
            error.has_value());
  aActions.emplace_back(AnswerCaller{ call.mRequest, std::move(aAnswer), std::move(aError) });
  aState.mCallByRequest.erase(call.mRequest);
  aState.mCalls.erase(it);
}

void Forward(State& aState, CallNumber aNumber, Call& aCall, const Now& aNow, Actions& aActions)
{
  const auto left = duration_cast<milliseconds>(aCall.mDeadline - aNow.mTime);
  auto job = aCall.mJob;
  job.mDeadline = std::max(left, milliseconds{ 1 });
  job.mPriorWait = std::max(aCall.mJob.mDeadline - left, milliseconds{ 0 });
  const auto holder = *aCall.mHolder;
  aCall.mForwardedAt = aNow.mTime;
  if (holder == aState.mOptions.mIncarnation) {
    Origin origin{ std::nullopt, aNumber, job.mId };
    RunJob(aState, std::move(origin), std::move(job), aNow, aActions);
    return;
  }
  const auto* peer = FindPeer(aState, holder);
  // The holder takes the submission as an echo of its timestamp, which is too old after this time
  // of the holder's clock.
  const auto valid = peer->mCheckedTimeMs.value_or(0) + aState.mOptions.mSilentAfter.count();
  aActions.emplace_back(
    SendPeer{ peer->mAddress, message::Submit{ aNumber, true, std::move(job), 1, valid, holder } });
}

bool MayForwardTo(State& aState, Incarnation aHolder, const Now& aNow)
{
  if (aHolder == aState.mOptions.mIncarnation) {
    return true;
  }
  const auto* peer = FindPeer(aState, aHolder);
  return peer != nullptr && peer->mCheckedTimeMs && IsAlive(aState, *peer, aNow);
}

/// Chooses the holder of a call and stores it in the call; without one the call waits until
/// mForwardAt. Calls of one job go to one holder, which runs it once: a caller may submit a job
/// again before this entry has noticed the end of its first connection. Returns whether the choice
/// is bound by another call.
bool FollowOtherCall(State& aState, CallNumber aNumber, Call& aCall, const Now& aNow)
{
  for (const auto& [number, other] : aState.mCalls) {
    if (number == aNumber || other.mJob.mId != aCall.mJob.mId) {
      continue;
    }
    if (!other.mHolder && other.mForwardAt <= aNow.mTime) {
      continue; // It has not been forwarded, or may be submitted again now.
    }
    aCall.mVerdict = Verdict::MayHaveRun;
    if (!other.mHolder) {
      aCall.mForwardAt = other.mForwardAt;
    } else if (!MayForwardTo(aState, *other.mHolder, aNow)) {
      aCall.mForwardAt = aNow.mTime + kForwardRetryDelay;
    } else if (!HasRefused(aCall, *other.mHolder)) {
      aCall.mHolder = other.mHolder;
    }
    return true;
  }
  return false;
}

/// Forwards a call to a holder. Without one the call waits up to kMaxHolderWait, after which it is
/// refused.
void Offer(State& aState, CallNumber aNumber, const Now& aNow, Actions& aActions)
{
  auto& call = aState.mCalls.at(aNumber);
  call.mHolder.reset();
  call.mSentAgain = false;
  const bool isBound = FollowOtherCall(aState, aNumber, call, aNow);
  if (!isBound) {
    const auto holders = FindHolders(aState, call, aNow);
    call.mHolder = ChooseHolderByFit(holders, call.mJob.mTasks.size(), aState.mRandom);
  }
  if (call.mHolder) {
    const bool isSelf = *call.mHolder == aState.mOptions.mIncarnation;
    if (!isSelf) {
      auto* peer = FindPeer(aState, *call.mHolder);
      peer->mSentMilliCores[call.mJob.mService] += call.mMilliCores;
      ++aState.mCounts.mForwarded;
    }
    AddReport(aActions,
              "call_forwarded",
              { { "job", call.mJob.mId },
                { "request_id", call.mCallerRequestId },
                { "holder", isSelf ? "self" : FindPeer(aState, *call.mHolder)->mRecord.mName } });
    Forward(aState, aNumber, call, aNow, aActions);
    return;
  }
  if (call.mRefusal) {
    Answer(aState, aNumber, std::nullopt, std::move(call.mRefusal), aActions);
    return;
  }
  if (isBound) {
    return;
  }
  if (IsEvacuatedEverywhere(aState, call.mJob.mService)) {
    Answer(aState, aNumber, std::nullopt, EvacuatedError(aState), aActions);
    return;
  }
  const auto waited = aNow.mTime - (call.mDeadline - Duration(call.mJob.mDeadline));
  if (waited > kMaxHolderWait) {
    Answer(aState,
           aNumber,
           std::nullopt,
           Error{ ErrorCode::NotReady,
                  Verdict::NotRun,
                  "No entry holds upstreams of the service.",
                  admission::RetryAfter(kNoHolderRetryAfter, aState.mRandom) },
           aActions);
    return;
  }
  call.mForwardAt = aNow.mTime + kForwardRetryDelay;
}

/// The longest wait after which the job still ends within its target or, without one, its deadline,
/// by its declared run time.
Duration SlackOf(const Call& aCall, const Now& aNow)
{
  milliseconds run{ 0 };
  for (const auto& task : aCall.mJob.mTasks) {
    run = std::max(run, task.mDeclaredRunTime);
  }
  const auto left = aCall.mDeadline - aNow.mTime;
  if (aCall.mJob.mTargetStretch <= 0) {
    return left - Duration(run);
  }
  const auto waited = Duration(aCall.mJob.mDeadline) - left;
  const std::chrono::duration<double, std::milli> allowed((aCall.mJob.mTargetStretch - 1) *
                                                          static_cast<double>(run.count()));
  return duration_cast<Duration>(allowed) + Duration(aCall.mJob.mTargetSlack) - waited;
}

/// Whether a task of the job can start at another holder that has not refused it, in time as far as
/// its expected wait tells. Declared run times and waits are rough, so half of the slack is left.
bool HasPlaceElsewhere(const State& aState, const Call& aCall, const Now& aNow)
{
  const auto holders = FindHolders(aState, aCall, aNow);
  const auto longest = std::max(Duration(kSimilarDelay), SlackOf(aCall, aNow) / 2);
  return std::any_of(holders.begin(), holders.end(), [&](const auto& aOption) {
    return HasPlace(aOption, 1) || (aOption.mPlaces && aOption.mDelay <= longest);
  });
}

/// Whether a refusal is of a job that an evacuation has returned. It shows nothing about the room
/// of other holders. Only such a holder refuses a job that it may have run.
bool IsReturned(const State& aState, Incarnation aHolder, const Error& aError)
{
  if (aError.mVerdict == Verdict::MayHaveRun) {
    return true;
  }
  if (aHolder == aState.mOptions.mIncarnation) {
    return IsEvacuated(aState, aState.mOptions.mDataCentre);
  }
  const auto it = aState.mPeerAddresses.find(aHolder);
  const auto peer =
    it == aState.mPeerAddresses.end() ? aState.mPeers.end() : aState.mPeers.find(it->second);
  return peer != aState.mPeers.end() && IsEvacuated(aState, peer->second.mRecord.mDataCentre);
}

/// Offers a refused call to the next holder, or passes the refusal on to the caller.
void OfferAfterRefusal(State& aState,
                       CallNumber aNumber,
                       Incarnation aHolder,
                       Error aError,
                       const Now& aNow,
                       Actions& aActions)
{
  auto& call = aState.mCalls.at(aNumber);
  const bool byLoad =
    !IsReturned(aState, aHolder, aError) &&
    (aError.mCode == ErrorCode::Overloaded || aError.mCode == ErrorCode::DeadlineUnreachable);
  const auto earlier = call.mRefusal ? call.mRefusal->mRetryAfter : std::nullopt;
  call.mRefusal = std::move(aError);
  bool isFinal = call.mRefusedBy.size() >= kMaxRefusals;
  if (byLoad && aState.mOptions.mDispatch.mShortageShares) {
    // Each holder names the time at which it expects room; the first one counts. Offers to holders
    // without room would only delay the refusal and count as demand there.
    if (earlier) {
      call.mRefusal->mRetryAfter =
        std::min(*earlier, call.mRefusal->mRetryAfter.value_or(*earlier));
    }
    isFinal = isFinal || !HasPlaceElsewhere(aState, call, aNow);
  }
  if (isFinal) {
    Answer(aState, aNumber, std::nullopt, std::move(call.mRefusal), aActions);
    return;
  }
  Offer(aState, aNumber, aNow, aActions);
}

/// Schedules the submission of a call to another holder once the runs of its former holder are
/// over. The call gets a new number, so that messages still in flight cannot be taken for answers
/// to the new submission. A call whose deadline is earlier is answered at once: the former holder's
/// answer would be ignored, and the caller should not wait for nothing.
void Resubmit(State& aState,
              CallNumber aNumber,
              std::string_view aReason,
              Time aNotBefore,
              Actions& aActions)
{
  auto node = aState.mCalls.extract(aNumber);
  node.key() = ++aState.mLastCall;
  auto& call = aState.mCalls.insert(std::move(node)).position->second;
  aState.mCallByRequest[call.mRequest] = aState.mLastCall;
  const auto* peer = call.mHolder ? FindPeer(aState, *call.mHolder) : nullptr;
  if (peer != nullptr) {
    aActions.emplace_back(
      SendPeer{ peer->mAddress, message::Cancel{ aNumber, call.mJob.mId, call.mJob.mTeam } });
  }
  if (aNotBefore >= call.mDeadline) {
    Answer(aState,
           aState.mLastCall,
           std::nullopt,
           Error{ ErrorCode::Expired,
                  call.mVerdict,
                  "The holder was lost, and the job's deadline is too near for another (" +
                    std::string(aReason) + ").",
                  {} },
           aActions);
    return;
  }
  ++aState.mCounts.mResubmitted;
  call.mHolder.reset();
  call.mRefusedBy.clear();
  call.mRefusal.reset();
  call.mForwardAt = aNotBefore;
  AddReport(aActions,
            "call_resubmitted",
            { { "job", call.mJob.mId }, { "reason", std::string(aReason) } },
            true);
}

/// Time until a job may be submitted elsewhere. A holder may still be stopping runs of it.
Duration ResubmitDelay(const State& aState, Verdict aVerdict)
{
  return aVerdict == Verdict::NotRun ? kForwardRetryDelay : aState.mOptions.mRunsOverAfter;
}

/// Stops the job of a call at the holder to which it has been forwarded.
void StopAtHolder(State& aState,
                  CallNumber aNumber,
                  const Call& aCall,
                  const Now& aNow,
                  Actions& aActions)
{
  if (aCall.mHolder == aState.mOptions.mIncarnation) {
    for (const auto& [request, origin] : aState.mOrigins) {
      if (!origin.mPeer && origin.mNumber == aNumber) {
        CancelOrigin(aState, request, aNow);
        break;
      }
    }
  } else if (aCall.mHolder) {
    if (const auto* peer = FindPeer(aState, *aCall.mHolder)) {
      aActions.emplace_back(
        SendPeer{ peer->mAddress, message::Cancel{ aNumber, aCall.mJob.mId, aCall.mJob.mTeam } });
    }
  }
}

} // namespace

void SubmitCall(State& aState, const CallerSubmit& aEvent, const Now& aNow, Actions& aActions)
{
  aState.mLastRequest = std::max(aState.mLastRequest, aEvent.mRequest);
  if (aState.mGoneBeforeSubmit.erase(aEvent.mRequest) > 0) {
    return;
  }
  const auto number = ++aState.mLastCall;
  Call call;
  call.mRequest = aEvent.mRequest;
  call.mJob = aEvent.mJob;
  call.mJob.mCallerDataCentre = aState.mOptions.mDataCentre;
  call.mCallerRequestId = aEvent.mCallerRequestId;
  call.mDeadline = aNow.mTime + Duration(aEvent.mJob.mDeadline);
  call.mMilliCores = MilliCoresOf(aEvent.mJob);
  aState.mCalls.emplace(number, std::move(call));
  aState.mCallByRequest.emplace(aEvent.mRequest, number);
  ++aState.mCounts.mCalls;
  if (!aState.mConfiguration) {
    Answer(aState,
           number,
           std::nullopt,
           Error{ ErrorCode::NotReady,
                  Verdict::NotRun,
                  "The entry has no configuration yet.",
                  admission::RetryAfter(kNoHolderRetryAfter, aState.mRandom) },
           aActions);
    return;
  }
  // After Stopped, the process ends before the job would.
  if (aState.mStopped ||
      (aState.mDraining && aNow.mTime - aState.mDrainBegan > aState.mOptions.mDrainAcceptTime)) {
    Answer(aState,
           number,
           std::nullopt,
           Error{ ErrorCode::Stopping,
                  Verdict::NotRun,
                  "The entry is stopping.",
                  admission::RetryAfter(kStoppingRetryAfter, aState.mRandom) },
           aActions);
    return;
  }
  if (MayLackCancels(aState, aNow)) {
    Answer(aState,
           number,
           std::nullopt,
           Error{ ErrorCode::NotReady,
                  Verdict::NotRun,
                  "The entry may lack cancels that were acknowledged elsewhere.",
                  admission::RetryAfter(kNoHolderRetryAfter, aState.mRandom) },
           aActions);
    return;
  }
  if (IsCancelled(aState, aEvent.mJob.mId, aNow)) {
    Answer(aState, number, std::nullopt, CancelledError(), aActions);
    return;
  }
  Offer(aState, number, aNow, aActions);
}

void FailAllCalls(State& aState, Actions& aActions)
{
  while (!aState.mCalls.empty()) {
    const auto& [number, call] = *aState.mCalls.begin();
    Answer(aState,
           number,
           std::nullopt,
           Error{ ErrorCode::Stopping,
                  call.mHolder ? Verdict::MayHaveRun : Verdict::NotRun,
                  "The entry stopped before the job's end.",
                  {} },
           aActions);
  }
}

void CancelCall(State& aState, const CallerDisconnected& aEvent, const Now& aNow, Actions& aActions)
{
  const auto it = aState.mCallByRequest.find(aEvent.mRequest);
  if (it == aState.mCallByRequest.end()) {
    if (aEvent.mRequest > aState.mLastRequest) {
      aState.mGoneBeforeSubmit.insert(aEvent.mRequest);
    }
    return;
  }
  const auto number = it->second;
  const auto& call = aState.mCalls.at(number);
  AddReport(
    aActions, "caller_gone", { { "job", call.mJob.mId }, { "request_id", call.mCallerRequestId } });
  StopAtHolder(aState, number, call, aNow, aActions);
  aState.mCalls.erase(number);
  aState.mCallByRequest.erase(it);
}

bool CancelCallsOf(State& aState, std::string_view aJob, const Now& aNow, Actions& aActions)
{
  std::vector<CallNumber> numbers;
  for (const auto& [number, call] : aState.mCalls) {
    if (call.mJob.mId == aJob) {
      numbers.push_back(number);
    }
  }
  for (const auto number : numbers) {
    StopAtHolder(aState, number, aState.mCalls.at(number), aNow, aActions);
    Answer(aState, number, std::nullopt, CancelledError(), aActions);
  }
  return !numbers.empty();
}

void HandleOutcome(State& aState,
                   CallNumber aNumber,
                   Incarnation aHolder,
                   std::optional<JobAnswer> aAnswer,
                   std::optional<Error> aError,
                   const Now& aNow,
                   Actions& aActions)
{
  const auto it = aState.mCalls.find(aNumber);
  if (it == aState.mCalls.end() || it->second.mHolder != aHolder) {
    return; // The caller is gone, or the job has been submitted elsewhere.
  }
  auto& call = it->second;
  if (aAnswer) {
    const auto code = aAnswer->mError ? aAnswer->mError->mCode : ErrorCode::Internal;
    if (aAnswer->mState == JobState::Failed && aAnswer->mVerdict == Verdict::NotRun &&
        code == ErrorCode::DeadlineUnreachable) {
      call.mRefusedBy.push_back(aHolder);
      if (HasPlaceElsewhere(aState, call, aNow)) {
        OfferAfterRefusal(aState, aNumber, aHolder, std::move(*aAnswer->mError), aNow, aActions);
        return;
      }
    }
    const bool withdrawnByHolder = aAnswer->mState == JobState::Failed &&
                                   (code == ErrorCode::Cancelled || code == ErrorCode::Stopping);
    if (!withdrawnByHolder) {
      Answer(aState, aNumber, std::move(aAnswer), std::nullopt, aActions);
      return;
    }
    call.mVerdict = Combine(call.mVerdict, aAnswer->mVerdict);
    const auto notBefore = aNow.mTime + ResubmitDelay(aState, aAnswer->mVerdict);
    Resubmit(aState, aNumber, ToString(code), notBefore, aActions);
    return;
  }
  call.mVerdict = Combine(call.mVerdict, aError->mVerdict);
  switch (aError->mCode) {
    case ErrorCode::Stopping:
    case ErrorCode::NotReady:
    case ErrorCode::OwnerUnsettled:
    case ErrorCode::OwnerUnreachable: {
      // The refusal of one copy shows nothing about the others. They may run, or have been accepted
      // by a process that ran at the holder's address before.
      const auto verdict = call.mSentAgain ? Verdict::MayHaveRun : aError->mVerdict;
      Resubmit(aState,
               aNumber,
               ToString(aError->mCode),
               aNow.mTime + ResubmitDelay(aState, verdict),
               aActions);
      return;
    }
    case ErrorCode::Cancelled: // By its id; no other holder may run it either.
      RememberCancelled(aState, call.mJob.mId, true, aNow);
      Answer(aState, aNumber, std::nullopt, std::move(aError), aActions);
      return;
    default:
      break;
  }
  call.mRefusedBy.push_back(aHolder);
  OfferAfterRefusal(aState, aNumber, aHolder, std::move(*aError), aNow, aActions);
}

void ResendCalls(State& aState, const Peer& aPeer, const Now& aNow, Actions& aActions)
{
  for (auto& [number, call] : aState.mCalls) {
    if (call.mHolder == aPeer.mIncarnation && aNow.mTime < call.mDeadline) {
      call.mVerdict = Verdict::MayHaveRun; // An answer to the first copy may have been lost.
      call.mSentAgain = true;
      Forward(aState, number, call, aNow, aActions);
    }
  }
}

void ResendMissingCalls(State& aState, const Peer& aPeer, const Now& aNow, Actions& aActions)
{
  const auto& taken = aPeer.mPresence.mAcceptedJobs;
  for (auto& [number, call] : aState.mCalls) {
    // The peer has handled all that was sent before the echoed timestamp.
    if (call.mHolder != aPeer.mIncarnation || !aPeer.mEchoedAt ||
        call.mForwardedAt >= *aPeer.mEchoedAt || aNow.mTime >= call.mDeadline ||
        std::find(taken.begin(), taken.end(), number) != taken.end()) {
      continue;
    }
    AddReport(aActions, "call_sent_again", { { "job", call.mJob.mId } }, true);
    call.mVerdict = Verdict::MayHaveRun;
    call.mSentAgain = true;
    Forward(aState, number, call, aNow, aActions);
  }
}

std::vector<std::uint64_t> OpenCallsAt(const State& aState, Incarnation aPeer)
{
  std::vector<std::uint64_t> open;
  for (const auto& [number, call] : aState.mCalls) {
    if (call.mHolder == aPeer) {
      open.push_back(number);
    }
  }
  return open;
}

void AdvanceCalls(State& aState, const Now& aNow, Actions& aActions)
{
  std::vector<CallNumber> silent;
  std::vector<CallNumber> expired;
  std::vector<CallNumber> due;
  for (auto& [number, call] : aState.mCalls) {
    if (aNow.mTime >= call.mDeadline) {
      expired.push_back(number);
      continue;
    }
    if (!call.mHolder) {
      if (aNow.mTime >= call.mForwardAt) {
        due.push_back(number);
      }
      continue;
    }
    if (*call.mHolder == aState.mOptions.mIncarnation) {
      continue;
    }
    const auto* peer = FindPeer(aState, *call.mHolder);
    if (peer != nullptr && IsAlive(aState, *peer, aNow)) {
      continue;
    }
    call.mVerdict = Verdict::MayHaveRun;
    silent.push_back(number);
  }
  for (const auto number : silent) {
    Resubmit(aState,
             number,
             "holder_silent",
             aNow.mTime + Duration(aState.mOptions.mRunsOverAfter),
             aActions);
  }
  for (const auto number : expired) {
    const auto& call = aState.mCalls.at(number);
    const bool mayHaveRun = call.mHolder.has_value();
    Answer(aState,
           number,
           std::nullopt,
           Error{ ErrorCode::Expired,
                  mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun,
                  "The job's deadline passed.",
                  {} },
           aActions);
  }
  for (const auto number : due) {
    Offer(aState, number, aNow, aActions);
  }
}

} // namespace pollenwall::entry

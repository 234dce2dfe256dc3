#include <algorithm>

#include <absl/strings/ascii.h>
#include <pollenwall/admission.h>

#include "state.h"

// Evacuation of data centres: nothing is started on their upstreams, and jobs that wait there go
// back to their owners. See docs/design/evacuation.md.

namespace pollenwall::entry {
bool IsEvacuated(const State& aState, std::string_view aDataCentre)
{
  return aState.mEvacuation.mDataCentres.contains(aDataCentre);
}

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// After a pause, starts are held for at most this long: an entry that hears neither the store nor
/// any other entry cannot learn of an evacuation, and its data centre goes on by itself.
constexpr milliseconds kMaxHoldAfterPause{ 1000 };
/// After an evacuation, the usable slots of an upstream rise from one to all within the first time,
/// or until the upstream is no longer cold, but within the second one.
constexpr milliseconds kRampTime{ 2000 };
constexpr milliseconds kMaxRampTime{ 10000 };
/// A task that would last longer than this is stopped, and its job offered elsewhere, if the job's
/// deadline leaves the time for stopping it and for a whole run.
constexpr milliseconds kMaxRemainingRun{ 3000 };
constexpr milliseconds kMoveTime{ 500 };
/// Retry-after time of refused jobs. Operators evacuate a data centre for minutes.
constexpr milliseconds kEvacuatedRetryAfter{ 2000 };
/// Bounds of what a peer may send. Larger versions or sets are rejected, since a version that
/// is too high would shadow all later ones.
constexpr std::uint64_t kMaxVersion = std::uint64_t{ 1 } << 53;
constexpr std::size_t kMaxDataCentres = 64;
constexpr std::size_t kMaxNameBytes = 64;

/// Names occur in labels of metrics, so their characters are restricted.
bool IsValidName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMaxNameBytes &&
         std::all_of(aName.begin(), aName.end(), [](char aChar) {
           return absl::ascii_isalnum(static_cast<unsigned char>(aChar)) || aChar == '-' ||
                  aChar == '_' || aChar == '.';
         });
}

bool IsKnown(const State& aState, std::string_view aDataCentre)
{
  return aState.mRankings.contains(aDataCentre) ||
         std::any_of(
           aState.mUpstreams.begin(), aState.mUpstreams.end(), [aDataCentre](const auto& aIt) {
             return aIt.second.mRecord.mDataCentre == aDataCentre;
           });
}

bool MeetsAllNeeds(const UpstreamRecord& aRecord, const JobSpec& aJob)
{
  return aRecord.mService == aJob.mService &&
         std::all_of(aJob.mTasks.begin(), aJob.mTasks.end(), [&aRecord](const auto& aTask) {
           return placement::MeetsNeeds(aRecord.mCapacity, aTask.mNeeds);
         });
}

/// Slots of an upstream that may be used now.
std::uint32_t CreditsOf(const State& aState, const Upstream& aUpstream, const Now& aNow)
{
  const auto& record = aUpstream.mRecord;
  if (!aUpstream.mUsable || IsEvacuated(aState, record.mDataCentre)) {
    return 0;
  }
  const auto revoked = aState.mEvacuation.mRevokedAt.find(record.mDataCentre);
  if (revoked == aState.mEvacuation.mRevokedAt.end() || record.mSlots <= 1) {
    return record.mSlots;
  }
  const auto began = revoked->second;
  const auto end =
    std::clamp(aUpstream.mColdUntil, began + Duration(kRampTime), began + Duration(kMaxRampTime));
  if (aNow.mTime >= end) {
    return record.mSlots;
  }
  const auto more = (record.mSlots - 1) * (aNow.mTime - began).count() / (end - began).count();
  // A record that shows a longer time takes no slots back.
  return std::min(record.mSlots,
                  std::max(aUpstream.mCredits, 1 + static_cast<std::uint32_t>(more)));
}

/// Sends the credits of all upstreams of a data centre.
void SendCreditsOf(State& aState, std::string_view aDataCentre, const Now& aNow)
{
  for (const auto& [key, upstream] : aState.mUpstreams) {
    if (upstream.mRecord.mDataCentre == aDataCentre) {
      SendCredits(aState, key, aNow);
    }
  }
}

/// Counts a name without a data centre; logs each one once.
void IgnoreName(State& aState, const std::string& aName, Actions& aActions)
{
  auto& evacuation = aState.mEvacuation;
  if (!evacuation.mIgnoredNames.contains(aName) &&
      evacuation.mIgnoredNames.size() < kMaxDataCentres) {
    evacuation.mIgnoredNames.insert(aName);
    ++evacuation.mIgnored;
    AddReport(aActions, "evacuation_ignored", { { "data_centre", aName } }, true);
  }
}

void ReportChange(const State& aState,
                  const std::string& aEvent,
                  const std::string& aName,
                  Actions& aActions)
{
  AddReport(
    aActions,
    aEvent,
    { { "data_centre", aName }, { "version", std::to_string(aState.mEvacuation.mVersion) } });
}

void Adopt(State& aState,
           std::uint64_t aVersion,
           const std::vector<std::string>& aDataCentres,
           const Now& aNow,
           Actions& aActions)
{
  auto& evacuation = aState.mEvacuation;
  if (aVersion <= evacuation.mVersion) {
    return;
  }
  evacuation.mVersion = aVersion;
  std::set<std::string, std::less<>> names;
  for (const auto& name : aDataCentres) {
    if (IsValidName(name)) {
      names.insert(name);
    } else {
      IgnoreName(aState, name, aActions);
    }
  }
  names.swap(evacuation.mDataCentres);
  const auto& former = names;
  const auto& present = evacuation.mDataCentres;
  for (const auto& name : present) {
    if (former.contains(name)) {
      continue;
    }
    evacuation.mRevokedAt.erase(name);
    evacuation.mReturnsDue = true;
    SendCreditsOf(aState, name, aNow);
    ReportChange(aState, "evacuation_began", name, aActions);
  }
  for (const auto& name : former) {
    if (present.contains(name)) {
      continue;
    }
    evacuation.mRevokedAt[name] = aNow.mTime;
    evacuation.mIgnoredNames.erase(name);
    for (auto& [key, upstream] : aState.mUpstreams) {
      // The time left may not have run while the upstream was idle.
      if (upstream.mRecord.mDataCentre == name) {
        upstream.mColdUntil = aNow.mTime + Duration(upstream.mRecord.mColdLeft);
      }
    }
    SendCreditsOf(aState, name, aNow);
    ReportChange(aState, "evacuation_ended", name, aActions);
  }
}

/// Whether a task of the job may start on an upstream that this entry holds.
bool MayStartHere(const State& aState, const JobSpec& aJob)
{
  const auto& sessions = aState.mHolding.mSessions;
  return std::any_of(sessions.begin(), sessions.end(), [&](const auto& aSession) {
    const auto it = aState.mUpstreams.find(aSession.first);
    return it != aState.mUpstreams.end() && !IsEvacuated(aState, it->second.mRecord.mDataCentre) &&
           MeetsAllNeeds(it->second.mRecord, aJob);
  });
}

bool HoldsEvacuated(const State& aState)
{
  const auto& sessions = aState.mHolding.mSessions;
  return std::any_of(sessions.begin(), sessions.end(), [&aState](const auto& aSession) {
    const auto it = aState.mUpstreams.find(aSession.first);
    return it != aState.mUpstreams.end() && IsEvacuated(aState, it->second.mRecord.mDataCentre);
  });
}

/// Whether a listed upstream that is not evacuated is large enough for the job.
bool FitsElsewhere(const State& aState, const JobSpec& aJob)
{
  return std::any_of(aState.mUpstreams.begin(), aState.mUpstreams.end(), [&](const auto& aIt) {
    const auto& record = aIt.second.mRecord;
    return !IsEvacuated(aState, record.mDataCentre) && MeetsAllNeeds(record, aJob);
  });
}

/// Why a holder does not run a job. The owner offers it to the next holder.
Error ReturnError(State& aState, const JobSpec& aJob)
{
  if (auto refusal = RefusalOfEvacuated(aState, aJob)) {
    return std::move(*refusal);
  }
  return { ErrorCode::Overloaded,
           Verdict::NotRun,
           "The data centre of the holder's workers is being evacuated.",
           admission::RetryAfter(kEvacuatedRetryAfter, aState.mRandom) };
}

/// Stops a job that has started but cannot end here. Its owner is told once all its runs are over,
/// and can then offer it elsewhere at once.
void StopJob(State& aState, const std::string& aJob, const Now& aNow)
{
  std::vector<RequestId> requests;
  for (const auto& [request, origin] : aState.mOrigins) {
    if (origin.mJob == aJob) {
      requests.push_back(request);
    }
  }
  for (const auto request : requests) {
    dispatch::Handle(
      *aState.mDispatch, dispatch::CancelWait{ request }, aNow, aState.mDispatchActions);
  }
  dispatch::Handle(*aState.mDispatch, dispatch::Cancel{ aJob }, aNow, aState.mDispatchActions);
  aState.mEvacuation.mStoppedJobs[aJob] = std::move(requests);
}

/// Stops the jobs whose runs would last too long in an evacuated data centre.
void StopLongRuns(State& aState, const Now& aNow, Actions& aActions)
{
  for (const auto& run :
       dispatch::FindLongRuns(*aState.mDispatch, Duration(kMaxRemainingRun), aNow)) {
    const auto it =
      aState.mUpstreams.find(dispatch::AddressOf(*aState.mDispatch, run.mUpstream).mKey);
    if (it == aState.mUpstreams.end() || !IsEvacuated(aState, it->second.mRecord.mDataCentre) ||
        run.mWhole + Duration(kMoveTime) >= run.mToDeadline ||
        aState.mEvacuation.mStoppedJobs.contains(run.mJob) || !FitsElsewhere(aState, *run.mSpec)) {
      continue;
    }
    AddReport(aActions, "job_returned", { { "job", run.mJob }, { "reason", "evacuation" } });
    StopJob(aState, run.mJob, aNow);
  }
}

/// Answers the owners of stopped jobs whose runs are over.
void ReturnStoppedJobs(State& aState, const Now& aNow, Actions& aActions)
{
  auto& stopped = aState.mEvacuation.mStoppedJobs;
  for (auto it = stopped.begin(); it != stopped.end();) {
    if (dispatch::OutstandingRuns(*aState.mDispatch, it->first) > 0) {
      ++it;
      continue;
    }
    const auto requests = std::move(it->second);
    it = stopped.erase(it);
    for (const auto request : requests) {
      Reply(aState,
            request,
            std::nullopt,
            Error{ ErrorCode::Overloaded,
                   Verdict::MayHaveRun,
                   "The data centre of the holder's workers is being evacuated.",
                   admission::RetryAfter(kEvacuatedRetryAfter, aState.mRandom) },
            aNow,
            aActions);
    }
  }
}

} // namespace

void ApplyEvacuation(State& aState,
                     const EvacuationListed& aEvent,
                     const Now& aNow,
                     Actions& aActions)
{
  Adopt(aState, aEvent.mVersion, aEvent.mDataCentres, aNow, aActions);
  if (aState.mEvacuation.mPauseEnd && aEvent.mReadBegan >= *aState.mEvacuation.mPauseEnd) {
    aState.mEvacuation.mPauseEnd.reset();
  }
}

void HandleEvacuation(State& aState,
                      const Peer& aPeer,
                      const message::Presence& aPresence,
                      const Now& aNow,
                      Actions& aActions)
{
  auto& evacuation = aState.mEvacuation;
  if (const auto& told = aPresence.mEvacuation) {
    const bool valid =
      told->mVersion <= kMaxVersion && told->mDataCentres.size() <= kMaxDataCentres &&
      std::all_of(told->mDataCentres.begin(), told->mDataCentres.end(), [](const auto& aName) {
        return aName.size() <= kMaxNameBytes;
      });
    if (valid) {
      Adopt(aState, told->mVersion, told->mDataCentres, aNow, aActions);
    } else if (evacuation.mIgnoredFromPeer++ == 0) {
      AddReport(aActions, "evacuation_ignored", { { "peer", aPeer.mRecord.mName } }, true);
    }
  }
  // A presence that waited in a socket during the pause does not count: only one that echoes a
  // timestamp from after the pause was sent after it.
  const auto echoed = EchoIn(aState, aPresence, aNow);
  if (evacuation.mPauseEnd && echoed && aPresence.mConfigurationVersion != 0 &&
      *echoed >= std::chrono::floor<milliseconds>(*evacuation.mPauseEnd)) {
    evacuation.mPauseEnd.reset();
  }
}

std::optional<message::Evacuation> EvacuationFor(const State& aState, const Peer& aPeer)
{
  const auto& evacuation = aState.mEvacuation;
  const auto& told = aPeer.mPresence.mEvacuation;
  if (evacuation.mDataCentres.empty() && (!told || told->mVersion >= evacuation.mVersion)) {
    return std::nullopt;
  }
  return message::Evacuation{ evacuation.mVersion,
                              { evacuation.mDataCentres.begin(), evacuation.mDataCentres.end() } };
}

void HoldAfterPause(State& aState, const Now& aNow)
{
  auto& pauseEnd = aState.mEvacuation.mPauseEnd;
  if (pauseEnd && aNow.mTime - *pauseEnd >= Duration(kMaxHoldAfterPause)) {
    pauseEnd.reset();
  }
  aState.mHolding.mAllStartsWithheld = pauseEnd.has_value();
  if (pauseEnd) {
    // Until just after this event; the next one extends it.
    dispatch::Handle(*aState.mDispatch,
                     dispatch::HoldStarts{ aNow.mTime + Duration{ 1 } },
                     aNow,
                     aState.mDispatchActions);
  }
}

void ReturnEvacuatedJobs(State& aState, const Now& aNow, Actions& aActions)
{
  auto& evacuation = aState.mEvacuation;
  ReturnStoppedJobs(aState, aNow, aActions);
  if (!std::exchange(evacuation.mReturnsDue, false) || evacuation.mDataCentres.empty() ||
      dispatch::QueuedTasks(*aState.mDispatch) == 0 || !HoldsEvacuated(aState)) {
    return;
  }
  for (const auto& job : dispatch::WaitingJobs(*aState.mDispatch)) {
    if (MayStartHere(aState, *job.mSpec)) {
      continue;
    }
    evacuation.mStartsWithheld += job.mTasks;
    AddReport(aActions, "job_returned", { { "job", job.mId }, { "reason", "evacuation" } });
    if (job.mStarted) {
      StopJob(aState, job.mId, aNow);
      continue;
    }
    const auto withdrawn = dispatch::Withdraw(*aState.mDispatch, job.mId, aNow);
    if (!withdrawn) {
      continue; // Its deadline has passed.
    }
    for (const auto request : withdrawn->mRequests) {
      Reply(aState, request, std::nullopt, ReturnError(aState, *job.mSpec), aNow, aActions);
    }
  }
  ReturnStoppedJobs(aState, aNow, aActions);
}

void AdvanceEvacuation(State& aState, const Now& aNow, Actions& aActions)
{
  auto& evacuation = aState.mEvacuation;
  if (!evacuation.mDataCentres.empty() && HoldsEvacuated(aState)) {
    StopLongRuns(aState, aNow, aActions);
  }
  // Tasks of started jobs are queued again after failures, and holds change.
  evacuation.mReturnsDue = !evacuation.mDataCentres.empty();
  for (const auto& name : evacuation.mDataCentres) {
    // Before the list of entries is read, a data centre may not be known yet.
    if (aState.mEntriesRead && !evacuation.mIgnoredNames.contains(name) && !IsKnown(aState, name)) {
      IgnoreName(aState, name, aActions);
    }
  }
  for (auto it = evacuation.mRevokedAt.begin(); it != evacuation.mRevokedAt.end();) {
    const auto name = it->first;
    if (aNow.mTime - it->second >= Duration(kMaxRampTime)) {
      it = evacuation.mRevokedAt.erase(it);
    } else {
      ++it;
    }
    SendCreditsOf(aState, name, aNow);
  }
}

void SendCredits(State& aState, const std::string& aUpstream, const Now& aNow)
{
  auto& upstream = aState.mUpstreams.at(aUpstream);
  const auto credits = CreditsOf(aState, upstream, aNow);
  auto& withheld = aState.mHolding.mStartsWithheld;
  if (IsEvacuated(aState, upstream.mRecord.mDataCentre)) {
    withheld.insert(aUpstream);
  } else {
    withheld.erase(aUpstream);
  }
  if (credits == upstream.mCredits) {
    return;
  }
  upstream.mCredits = credits;
  dispatch::Handle(*aState.mDispatch,
                   dispatch::SetCredits{ aUpstream, credits, 0 },
                   aNow,
                   aState.mDispatchActions);
}

bool OffersEvacuated(const State& aState, const Peer& aPeer)
{
  const auto& told = aPeer.mPresence.mEvacuation;
  return IsEvacuated(aState, aPeer.mRecord.mDataCentre) &&
         (!told || told->mVersion < aState.mEvacuation.mVersion);
}

bool IsEvacuatedEverywhere(const State& aState, std::string_view aService)
{
  const auto& evacuated = aState.mEvacuation.mDataCentres;
  if (evacuated.empty()) {
    return false;
  }
  bool found = false;
  for (const auto& [key, upstream] : aState.mUpstreams) {
    if (upstream.mRecord.mService != aService) {
      continue;
    }
    if (!evacuated.contains(upstream.mRecord.mDataCentre)) {
      return false;
    }
    found = true;
  }
  if (found) {
    return true;
  }
  // Without the list of upstreams, any data centre with entries may have some.
  return aState.mUpstreams.empty() &&
         std::all_of(aState.mRankings.begin(), aState.mRankings.end(), [&](const auto& aIt) {
           return evacuated.contains(aIt.first);
         });
}

Error EvacuatedError(State& aState)
{
  return { ErrorCode::Overloaded,
           Verdict::NotRun,
           "The data centre with the only workers for this job is being evacuated.",
           admission::RetryAfter(kEvacuatedRetryAfter, aState.mRandom) };
}

std::optional<Error> RefusalOfEvacuated(State& aState, const JobSpec& aJob)
{
  if (aState.mEvacuation.mDataCentres.empty()) {
    return std::nullopt;
  }
  const bool fits =
    std::any_of(aState.mUpstreams.begin(), aState.mUpstreams.end(), [&aJob](const auto& aIt) {
      return MeetsAllNeeds(aIt.second.mRecord, aJob);
    });
  return fits && !FitsElsewhere(aState, aJob) ? std::optional(EvacuatedError(aState))
                                              : std::nullopt;
}

} // namespace pollenwall::entry

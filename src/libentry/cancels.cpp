#include <algorithm>

#include <pollenwall/admission.h>

#include "cancels.h"

// Cancels of jobs by their ids: told to all entries in batches (cancel_batches.cpp) and appended to
// the store's topic of cancels (cancel_topic.cpp) before they are acknowledged. See
// docs/design/cancels.md.

namespace pollenwall::entry {
namespace {

using message::LookupResult;
using message::LookupScope;
using std::chrono::milliseconds;

/// Cancels per second of callers of one entry. A peak is 35 a second. With the retention of 30 s,
/// the memory for cancelled jobs bounds the deployment to 333 a second.
constexpr double kCancelsPerSecond = 50;
constexpr double kCancelBurst = 100;
constexpr milliseconds kFullBatchDelay{ 100 };
constexpr milliseconds kTellRetryDelay{ 150 };
constexpr milliseconds kMaxDeadline{ 4000 };
constexpr milliseconds kUnknownRetryAfter{ 500 };
constexpr milliseconds kLimitedRetryAfter{ 1000 };
constexpr milliseconds kWarningInterval{ 1000 };

/// Adds a caller's cancel to the next batch, unless that is full.
void NotifyForCaller(State& aState,
                     RequestId aRequest,
                     CallerCancel& aCaller,
                     const Now& aNow,
                     Actions& aActions)
{
  auto& batch = aState.mCancels.mEverywhere.mNext;
  if (batch.mJobs.size() >= kMaxBatchJobs) {
    aCaller.mTellAt = aNow.mTime + Duration(kFullBatchDelay);
    return;
  }
  aCaller.mTellAt.reset();
  AddToBatch(batch, aCaller.mJob, CancelHere(aState, aCaller.mJob, aNow, aActions));
  batch.mCallers.push_back(aRequest);
}

void AdvanceCallers(State& aState, const Now& aNow, Actions& aActions)
{
  std::vector<RequestId> expired;
  for (auto& [request, caller] : aState.mCancels.mCallers) {
    if (aNow.mTime >= caller.mExpiresAt) {
      expired.push_back(request);
    } else if (caller.mTellAt && aNow.mTime >= *caller.mTellAt) {
      NotifyForCaller(aState, request, caller, aNow, aActions);
    }
  }
  for (const auto request : expired) {
    const bool isTold = aState.mCancels.mCallers.at(request).mResult.has_value();
    AnswerCancel(aState,
                 request,
                 LookupResult::Unknown,
                 isTold ? CancelOutcome::NotStored : CancelOutcome::NotTold,
                 aNow,
                 aActions);
  }
}

} // namespace

void AnswerCancel(State& aState,
                  RequestId aRequest,
                  LookupResult aResult,
                  CancelOutcome aOutcome,
                  const Now& aNow,
                  Actions& aActions)
{
  const auto node = aState.mCancels.mCallers.extract(aRequest);
  const auto began = node.empty() ? aNow.mTime : node.mapped().mBegan;
  ++aState.mCounts.mCancels.at(static_cast<std::size_t>(aOutcome));
  AnswerLookup answer{ aRequest, aResult };
  if (aResult == LookupResult::Unknown) {
    const auto retryAfter =
      aOutcome == CancelOutcome::Limited ? kLimitedRetryAfter : kUnknownRetryAfter;
    answer.mRetryAfter = admission::RetryAfter(retryAfter, aState.mRandom);
    // At most one line a second: the lines of a flood would cost more than its answers.
    if (aNow.mTime >= aState.mCancels.mNextWarning) {
      aState.mCancels.mNextWarning = aNow.mTime + Duration(kWarningInterval);
      AddReport(aActions,
                "cancel_not_acknowledged",
                { { "reason", std::string(ToString(aOutcome)) } },
                true);
    }
  }
  aActions.emplace_back(answer);
  aActions.emplace_back(Measured{ "cancel_seconds", aNow.mTime - began });
}

void HandleNotified(State& aState,
                    RequestId aRequest,
                    LookupResult aResult,
                    bool aSilent,
                    const Now& aNow,
                    Actions& aActions)
{
  auto& cancels = aState.mCancels;
  const auto it = cancels.mCallers.find(aRequest);
  if (it == cancels.mCallers.end()) {
    return; // It has been answered: its time was over.
  }
  auto& caller = it->second;
  if (aResult == LookupResult::Unknown) {
    caller.mTellAt = aNow.mTime + Duration(kTellRetryDelay);
    return;
  }
  if (aResult == LookupResult::NotFound) {
    // A silent entry may have it.
    AnswerCancel(aState,
                 aRequest,
                 aSilent ? LookupResult::Unknown : LookupResult::NotFound,
                 aSilent ? CancelOutcome::NotTold : CancelOutcome::NotFound,
                 aNow,
                 aActions);
    return;
  }
  caller.mResult = aResult;
  cancels.mToStore.insert(caller.mJob);
}

void CancelForCaller(State& aState, const CallerLookup& aEvent, const Now& aNow, Actions& aActions)
{
  ++aState.mCounts.mLookups;
  auto& cancels = aState.mCancels;
  const auto refuse = [&](CancelOutcome aOutcome) {
    AnswerCancel(aState, aEvent.mRequest, LookupResult::Unknown, aOutcome, aNow, aActions);
  };
  if (aState.mStopped || !TakeToken(cancels.mBucket, kCancelsPerSecond, kCancelBurst, aNow)) {
    // Only jobs that are here are remembered: a flood of others would fill the memory.
    const bool owned = CancelCallsOf(aState, aEvent.mJob, aNow, aActions);
    const bool held = CancelPeerJobsOf(aState, aEvent.mJob, aNow, aActions);
    if (owned || held) {
      RememberCancelled(aState, aEvent.mJob, owned, aNow);
    }
    refuse(aState.mStopped ? CancelOutcome::NotTold : CancelOutcome::Limited);
    return;
  }
  if (CancelHere(aState, aEvent.mJob, aNow, aActions) == LookupResult::Unknown) {
    refuse(CancelOutcome::Limited);
    return;
  }
  CallerCancel caller;
  caller.mJob = aEvent.mJob;
  caller.mBegan = aNow.mTime;
  caller.mExpiresAt = aNow.mTime + Duration(std::min(aEvent.mDeadline, kMaxDeadline));
  auto& added = cancels.mCallers.emplace(aEvent.mRequest, std::move(caller)).first->second;
  NotifyForCaller(aState, aEvent.mRequest, added, aNow, aActions);
  SendBatch(aState, cancels.mEverywhere, LookupScope::Everywhere, aNow, aActions);
}

void AdvanceCancels(State& aState, const Now& aNow, Actions& aActions)
{
  auto& cancels = aState.mCancels;
  UpdateReachability(aState, aNow, aActions);
  FollowCancels(aState, aNow, aActions);
  EndLateBatches(aState, aNow, aActions);
  AdvanceCallers(aState, aNow, aActions);
  SendBatch(aState, cancels.mEverywhere, LookupScope::Everywhere, aNow, aActions);
  SendBatch(aState, cancels.mDataCentre, LookupScope::DataCentre, aNow, aActions);
  StoreCancels(aState, aNow, aActions);
}

void EndAllCancels(State& aState, const Now& aNow, Actions& aActions)
{
  while (!aState.mCancels.mCallers.empty()) {
    AnswerCancel(aState,
                 aState.mCancels.mCallers.begin()->first,
                 LookupResult::Unknown,
                 CancelOutcome::NotTold,
                 aNow,
                 aActions);
  }
}

std::string_view ToString(CancelOutcome aOutcome)
{
  switch (aOutcome) {
    case CancelOutcome::Acknowledged:
      return "acknowledged";
    case CancelOutcome::NotFound:
      return "not_found";
    case CancelOutcome::NotTold:
      return "not_told";
    case CancelOutcome::NotStored:
      return "not_stored";
    case CancelOutcome::Limited:
      break;
  }
  return "limited";
}

} // namespace pollenwall::entry

#include <pollenwall/node.h>

#include <algorithm>

#include <boost/json.hpp>

#include "state.h"

namespace pollenwall::node {
namespace {

constexpr std::chrono::milliseconds kLongPoll{ 2000 };
constexpr std::chrono::milliseconds kFirstBackoff{ 100 };
constexpr int kMaxBackoffDoublings = 5;

Error MakeError(ErrorCode aCode, Verdict aVerdict, std::string aMessage)
{
  return Error{ aCode, aVerdict, std::move(aMessage), std::nullopt };
}

void AnswerOrigin(const Origin& aOrigin, JobAnswer aAnswer, Actions& aActions)
{
  aActions.emplace_back(AnswerCaller{ aOrigin.mCaller, std::move(aAnswer), std::nullopt });
}

void AnswerOrigin(const Origin& aOrigin, Error aError, Actions& aActions)
{
  aActions.emplace_back(AnswerCaller{ aOrigin.mCaller, std::nullopt, std::move(aError) });
}

/// Removes the waiter of a request to dispatch.
std::optional<Waiter> TakeWaiter(State& aState, RequestId aRequest)
{
  const auto it = aState.mWaiters.find(aRequest);
  if (it == aState.mWaiters.end()) {
    return std::nullopt;
  }
  const auto waiter = it->second;
  aState.mWaiters.erase(it);
  aState.mCallers.erase(waiter.mOrigin.mCaller);
  return waiter;
}

RequestId AddWaiter(State& aState, const Waiter& aWaiter)
{
  const auto request = ++aState.mNextRequest;
  aState.mWaiters.emplace(request, aWaiter);
  if (aWaiter.mOrigin.mCaller != 0) {
    aState.mCallers[aWaiter.mOrigin.mCaller] = request;
  }
  return request;
}

void Carry(State& aState, dispatch::Accepted& aAction, Actions& aActions)
{
  const auto it = aState.mWaiters.find(aAction.mRequest);
  if (it == aState.mWaiters.end() || !it->second.mUntilAccepted) {
    return;
  }
  const auto waiter = TakeWaiter(aState, aAction.mRequest);
  JobAnswer answer;
  answer.mId = std::move(aAction.mId);
  AnswerOrigin(waiter->mOrigin, std::move(answer), aActions);
}

void Carry(State& aState, dispatch::Answer& aAction, Actions& aActions)
{
  if (const auto waiter = TakeWaiter(aState, aAction.mRequest)) {
    AnswerOrigin(waiter->mOrigin, std::move(aAction.mAnswer), aActions);
  }
}

void Carry(State& aState, dispatch::Refuse& aAction, Actions& aActions)
{
  if (const auto waiter = TakeWaiter(aState, aAction.mRequest)) {
    AnswerOrigin(waiter->mOrigin, std::move(aAction.mError), aActions);
  }
}

void Carry(State&, dispatch::StartTask& aAction, Actions& aActions)
{
  aActions.emplace_back(std::move(aAction));
}

void Carry(State&, dispatch::StopTask& aAction, Actions& aActions)
{
  aActions.emplace_back(std::move(aAction));
}

void Carry(State&, dispatch::Finished&, Actions&) {}

/// Hands an event to dispatch and carries out what it asks for.
void Dispatch(State& aState, const dispatch::Event& aEvent, const Now& aNow, Actions& aActions)
{
  auto actions = std::move(aState.mDispatchActions);
  actions.clear();
  dispatch::Handle(*aState.mDispatch, aEvent, aNow, actions);
  for (auto& it : actions) {
    std::visit([&](auto& aAction) { Carry(aState, aAction, aActions); }, it);
  }
  aState.mDispatchActions = std::move(actions);
}

void Read(State& aState, const std::string& aStream, const Now& aNow, Actions& aActions)
{
  auto& stream = aState.mStreams[aStream];
  if (stream.mReading || aNow.mTime < stream.mRetryAt) {
    return;
  }
  stream.mReading = true;
  aActions.emplace_back(ReadLog{ aStream, stream.mNext, kLongPoll });
}

/// Hands the configuration in force to dispatch, with all slots of this data centre's upstreams.
void ApplyConfiguration(State& aState, const Now& aNow, Actions& aActions)
{
  const auto current = aState.mConfiguration.mConfiguration;
  if (current->mVersion == aState.mAppliedVersion) {
    return;
  }
  aState.mAppliedVersion = current->mVersion;
  Dispatch(aState, dispatch::ConfigurationApplied{ current }, aNow, aActions);
  for (const auto& [key, upstream] : current->mUpstreams) {
    const auto worker = current->mWorkers.find(upstream.mWorker);
    const bool here = worker != current->mWorkers.end() &&
                      worker->second.mDataCentre == aState.mOptions.mDataCentre;
    Dispatch(aState, dispatch::SetCredits{ key, here ? upstream.mSlots : 0 }, aNow, aActions);
  }
  aActions.emplace_back(
    Report{ false, "configuration_applied", { { "version", std::to_string(current->mVersion) } } });
}

void Apply(State& aState, const CallerSubmit& aEvent, const Now& aNow, Actions& aActions)
{
  const Origin origin{ aEvent.mRequest };
  if (!IsReady(aState)) {
    const auto code = aState.mDraining ? ErrorCode::Stopping : ErrorCode::NotReady;
    return AnswerOrigin(
      origin, MakeError(code, Verdict::NotRun, "This entry takes no jobs now."), aActions);
  }
  dispatch::Submit submit{ 0, aEvent.mJob };
  if (submit.mJob.mId.empty()) {
    submit.mJob.mId = ToString(MintedId{
      aState.mOptions.mDataCentre, aState.mOptions.mIncarnation, ++aState.mNextSequence });
  }
  submit.mRequest = AddWaiter(aState, { origin, !aEvent.mWait });
  Dispatch(aState, submit, aNow, aActions);
}

bool IsKnownTo(const State& aState, std::string_view aId, std::string_view aTeam)
{
  const auto known = dispatch::FindKnown(*aState.mDispatch, aId);
  return known && known->mTeam == aTeam;
}

Error UnknownJob()
{
  return MakeError(ErrorCode::UnknownJob, Verdict::MayHaveRun, "The job is not known.");
}

void Apply(State& aState, const CallerStatus& aEvent, const Now& aNow, Actions& aActions)
{
  const Origin origin{ aEvent.mRequest };
  if (!IsKnownTo(aState, aEvent.mId, aEvent.mTeam)) {
    return AnswerOrigin(origin, UnknownJob(), aActions);
  }
  if (aEvent.mWait.count() == 0) {
    return AnswerOrigin(origin, *dispatch::Find(*aState.mDispatch, aEvent.mId), aActions);
  }
  const auto request = AddWaiter(aState, { origin });
  Dispatch(aState, dispatch::Wait{ request, aEvent.mId }, aNow, aActions);
}

void Apply(State& aState, const CallerCancel& aEvent, const Now& aNow, Actions& aActions)
{
  const Origin origin{ aEvent.mRequest };
  if (!IsKnownTo(aState, aEvent.mId, aEvent.mTeam)) {
    return AnswerOrigin(origin, UnknownJob(), aActions);
  }
  Dispatch(aState, dispatch::Cancel{ aEvent.mId }, aNow, aActions);
  AnswerOrigin(origin, *dispatch::Find(*aState.mDispatch, aEvent.mId), aActions);
}

void Apply(State& aState, const CallerGone& aEvent, const Now& aNow, Actions& aActions)
{
  const auto it = aState.mCallers.find(aEvent.mRequest);
  if (it == aState.mCallers.end()) {
    return;
  }
  const auto request = it->second;
  TakeWaiter(aState, request);
  Dispatch(aState, dispatch::Unwait{ request }, aNow, aActions);
}

void Apply(State& aState, const UpstreamAnswered& aEvent, const Now& aNow, Actions& aActions)
{
  Dispatch(aState,
           dispatch::TaskEnded{ aEvent.mTask, aEvent.mAttempt, aEvent.mUpstream, aEvent.mOutcome },
           aNow,
           aActions);
}

void Apply(State&, const SlotsAnswered&, const Now&, Actions&) {}
void Apply(State&, const PeerUp&, const Now&, Actions&) {}
void Apply(State&, const PeerDown&, const Now&, Actions&) {}
void Apply(State&, const PeerMessage&, const Now&, Actions&) {}

void Apply(State& aState, const LogRead& aEvent, const Now& aNow, Actions& aActions)
{
  auto& stream = aState.mStreams[aEvent.mStream];
  stream.mReading = false;
  if (!aEvent.mOk) {
    const auto doublings = std::min(stream.mFailures++, kMaxBackoffDoublings);
    const auto most = kFirstBackoff.count() << doublings;
    std::uniform_int_distribution<std::int64_t> jitter(most / 2, most);
    stream.mRetryAt = aNow.mTime + std::chrono::milliseconds(jitter(aState.mRandom));
    return;
  }
  stream.mFailures = 0;
  configuration::NoteFirst(aState.mConfiguration, aEvent.mFirst);
  for (const auto& record : aEvent.mRecords) {
    const auto outcome =
      configuration::ApplyRecord(aState.mConfiguration, record.mOffset, record.mAtMs, record.mData);
    if (outcome.mKind == configuration::OutcomeKind::Invalid) {
      aActions.emplace_back(
        Report{ true, "configuration_record_invalid", { { "id", outcome.mId } } });
    }
  }
  stream.mNext = std::max(aEvent.mNext, aState.mConfiguration.mNext);
  ApplyConfiguration(aState, aNow, aActions);
  Read(aState, aEvent.mStream, aNow, aActions);
}

void Apply(State&, const LogAppended&, const Now&, Actions&) {}
void Apply(State&, const VmList&, const Now&, Actions&) {}

void Apply(State& aState, const Drain&, const Now& aNow, Actions& aActions)
{
  aState.mDraining = true;
  Dispatch(aState, dispatch::StopAccepting{}, aNow, aActions);
}

void Apply(State& aState, const Tick&, const Now& aNow, Actions& aActions)
{
  Read(aState, std::string(configuration::kStream), aNow, aActions);
  Dispatch(aState, dispatch::Tick{}, aNow, aActions);
  const auto load = dispatch::LoadOf(*aState.mDispatch);
  if (aState.mDraining && load.mQueuedTasks == 0 && load.mRunningTasks == 0) {
    aActions.emplace_back(Stopped{});
  }
}

} // namespace

std::unique_ptr<State, void (*)(State*)> MakeState(const Options& aOptions, const Now& /*aNow*/)
{
  auto options = aOptions.mDispatch;
  options.mDataCentre = aOptions.mDataCentre;
  auto* state = new State{ .mOptions = aOptions,
                           .mRandom = std::mt19937_64(aOptions.mSeed),
                           .mDispatch = dispatch::MakeState(options, aOptions.mSeed + 1) };
  return { state, [](State* aState) { delete aState; } };
}

void Handle(State& aState, const Event& aEvent, const Now& aNow, Actions& aActions)
{
  std::visit([&](const auto& aKind) { Apply(aState, aKind, aNow, aActions); }, aEvent);
}

bool IsReady(const State& aState)
{
  return aState.mAppliedVersion != 0 && !aState.mDraining;
}

dispatch::UpstreamAddress AddressOf(const State& aState, dispatch::UpstreamIndex aUpstream)
{
  return dispatch::AddressOf(*aState.mDispatch, aUpstream);
}

std::string StatusText(const State& aState, const Now& /*aNow*/)
{
  return boost::json::serialize(
    boost::json::object{ { "incarnation", ToString(aState.mOptions.mIncarnation) },
                         { "ready", IsReady(aState) },
                         { "configuration_version", aState.mAppliedVersion } });
}

std::string Dump(const State& aState, const Now& aNow)
{
  return R"({"status":)" + StatusText(aState, aNow) + R"(,"dispatch":)" +
         dispatch::Dump(*aState.mDispatch, aNow) + "}";
}

std::vector<std::pair<std::string, std::uint64_t>> Counters(const State& aState)
{
  return dispatch::Counters(*aState.mDispatch);
}

std::vector<std::pair<std::string, double>> Gauges(const State& aState)
{
  const auto load = dispatch::LoadOf(*aState.mDispatch);
  return { { "queued_tasks", static_cast<double>(load.mQueuedTasks) },
           { "running_tasks", static_cast<double>(load.mRunningTasks) },
           { "idle_credits", static_cast<double>(load.mIdleCredits) } };
}

} // namespace pollenwall::node

#pragma once

#include <map>
#include <random>
#include <unordered_map>

#include <pollenwall/configuration_log.h>
#include <pollenwall/node.h>

/// The node's state, shared by the files of this library.
namespace pollenwall::node {

/// Who waits for an answer: a caller of this entry, or a peer that forwarded a message.
struct Origin
{
  RequestId mCaller = 0; ///< Set for a caller.
  Incarnation mPeer;     ///< Set for a peer, with the number of its message.
  std::uint64_t mNumber = 0;
};

/// A request that dispatch holds, by the number that this node gave it.
struct Waiter
{
  Origin mOrigin;
  bool mUntilAccepted = false; ///< Answered when the job is accepted, not when it ends.
};

/// The read position and pace of one stream.
struct Stream
{
  bool mReading = false;
  std::uint64_t mNext = 0;
  Time mRetryAt{};
  int mFailures = 0; ///< Reads failed in a row.
};

struct State
{
  Options mOptions;
  std::mt19937_64 mRandom;
  std::unique_ptr<dispatch::State, void (*)(dispatch::State*)> mDispatch;
  dispatch::Actions mDispatchActions; ///< Reused between events.

  configuration::ConfigurationLog mConfiguration;
  configuration::Version mAppliedVersion = 0; ///< Last one handed to dispatch.
  std::map<std::string, Stream, std::less<>> mStreams;

  std::uint64_t mNextSequence = 0; ///< Of minted ids.
  RequestId mNextRequest = 0;      ///< Of requests to dispatch.
  std::unordered_map<RequestId, Waiter> mWaiters;
  std::unordered_map<RequestId, RequestId> mCallers; ///< Caller's request to that of dispatch.

  bool mDraining = false;
  std::map<std::string, std::uint64_t, std::less<>> mCounters;
};

} // namespace pollenwall::node

#pragma once

#include "state.h"

/// Functions that cancels.cpp, cancel_batches.cpp and cancel_topic.cpp share.
namespace pollenwall::entry {

/// How long the store keeps a cancel, and entries remember it.
inline constexpr std::chrono::milliseconds kStoredRetention{ 30000 };
inline constexpr std::size_t kMaxBatchJobs = 1000;
/// After its start or its selection, a peer has sent a presence within this time.
inline constexpr std::chrono::milliseconds kFirstContact{ 2000 };

// cancels.cpp

/// Answers the cancel of a caller.
void AnswerCancel(State& aState,
                  RequestId aRequest,
                  message::LookupResult aResult,
                  CancelOutcome aOutcome,
                  const Now& aNow,
                  Actions& aActions);

/// Continues the cancel of a caller when other entries have been told.
void HandleNotified(State& aState,
                    RequestId aRequest,
                    message::LookupResult aResult,
                    bool aSilent,
                    const Now& aNow,
                    Actions& aActions);

// cancel_batches.cpp

void AddToBatch(CancelBatch& aBatch, const std::string& aJob, message::LookupResult aResult);

/// Sends the next batch of a queue if it is due.
void SendBatch(State& aState,
               CancelQueue& aQueue,
               message::LookupScope aScope,
               const Now& aNow,
               Actions& aActions);

/// Ends batches whose replies are late. Some entries may not know their cancels.
void EndLateBatches(State& aState, const Now& aNow, Actions& aActions);

// cancel_topic.cpp

/// Appends what is to be stored and removed, in one call. One append is open at a time.
void StoreCancels(State& aState, const Now& aNow, Actions& aActions);

/// Updates what is known about the reach of this entry.
void UpdateReachability(State& aState, const Now& aNow, Actions& aActions);

} // namespace pollenwall::entry

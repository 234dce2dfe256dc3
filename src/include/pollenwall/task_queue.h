#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

#include <pollenwall/indexed_heap.h>
#include <pollenwall/time.h>

/// The queued tasks of one service. No I/O and no clock. Nothing here is thread safe.
///
/// Tasks of the same class (short or long by run time) that can run on the same upstreams share a
/// *lane*. A job has one *slice* for each lane in which it has queued tasks. In a lane, teams take
/// turns by start-time fair queueing (Goyal, Vin and Cheng 1996); a team has one virtual time for
/// all lanes. Within a team the slice of the job with the least remaining work goes first. A job
/// that would otherwise miss its deadline goes before other teams' jobs. Its work is charged to its
/// team, which is then served later.
namespace pollenwall::queue {

using TeamIndex = std::uint32_t;
using LaneIndex = std::uint32_t;
using SliceIndex = std::uint32_t;
using JobIndex = std::uint32_t;

/// Orders the jobs of a team. The smallest key goes first.
struct JobKey
{
  bool mOrdinary = true;  ///< False for the last tasks of a nearly complete job.
  std::int64_t mWork = 0; ///< Remaining work in microseconds plus a term that grows with the
                          ///< arrival time, which favours older jobs without updating keys.
  std::uint64_t mSequence = 0;
  /// False for a job that has to start now to meet its deadline. It goes before all others of the
  /// same priority and lateness.
  bool mCanWait = true;
  std::uint32_t mPriority = 0; ///< 0 goes first.
  /// 0: the job's target, the time allowed until its answer, can still be met; 1: it cannot; 2: it
  /// is long past. Under overload, jobs that are late already would otherwise make all other jobs
  /// late as well.
  std::uint32_t mLateness = 0;

  friend bool operator<(const JobKey& aOne, const JobKey& aOther)
  {
    const auto rank = [](const JobKey& aKey) {
      return std::tie(
        aKey.mPriority, aKey.mLateness, aKey.mCanWait, aKey.mOrdinary, aKey.mWork, aKey.mSequence);
    };
    return rank(aOne) < rank(aOther);
  }
};

struct TeamKey
{
  double mVirtualTime = 0;
  TeamIndex mTeam = 0;
  bool mCanWait = true; ///< That of the team's first job.

  friend bool operator<(const TeamKey& aOne, const TeamKey& aOther)
  {
    return std::tie(aOne.mCanWait, aOne.mVirtualTime, aOne.mTeam) <
           std::tie(aOther.mCanWait, aOther.mVirtualTime, aOther.mTeam);
  }
};

struct Slice
{
  JobIndex mJob = 0;
  TeamIndex mTeam = 0;
  LaneIndex mLane = 0;
  std::vector<std::uint32_t> mTasks; ///< The last one is taken next.
  std::uint32_t mPosition = heap::kNotInHeap;
};

/// One team's slices in one lane.
struct TeamQueue
{
  heap::Heap<JobKey> mSlices;
  std::uint32_t mPosition = heap::kNotInHeap; ///< In the lane's heap of teams.
};

struct Lane
{
  std::vector<TeamQueue> mTeams;
  heap::Heap<TeamKey> mActive; ///< Teams with slices.
  std::size_t mTasks = 0;
};

/// Queued work in microseconds: of the short class, then of the long class.
using WorkByClass = std::array<std::int64_t, 2>;

struct Team
{
  double mWeight = 1;
  double mVirtualTime = 0;
  std::size_t mTasks = 0;
  WorkByClass mWork{};
};

struct Queue
{
  std::vector<Lane> mLanes;
  std::vector<Team> mTeams;
  std::vector<Slice> mSlices;
  std::vector<SliceIndex> mFreeSlices;
  double mVirtualTime = 0;  ///< The highest virtual time at which a team was served.
  double mActiveWeight = 0; ///< Sum of the weights of the teams with queued tasks.
  std::size_t mTasks = 0;
  WorkByClass mWork{};
};

/// Sets a team's weight; adds the team if it is new.
void SetWeight(Queue& aQueue, TeamIndex aTeam, double aWeight);

/// Adds a job's tasks of one lane. The last element is served first.
SliceIndex AddSlice(Queue& aQueue,
                    LaneIndex aLane,
                    TeamIndex aTeam,
                    JobIndex aJob,
                    const JobKey& aKey,
                    std::vector<std::uint32_t> aTasks);

/// Adds a task to a slice. It is the slice's next one.
void AddTask(Queue& aQueue, SliceIndex aSlice, const JobKey& aKey, std::uint32_t aTask);

/// The slice that goes first in a lane.
std::optional<SliceIndex> Head(const Queue& aQueue, LaneIndex aLane);

/// Whether the head of one lane goes before that of another: by team, and within a team by job.
/// Neither lane may be empty.
bool GoesBefore(const Queue& aQueue, LaneIndex aOne, LaneIndex aOther);

/// Removes and returns a slice's next task. The slice must not be empty. It stays valid when it
/// becomes empty, until DropSlice.
std::uint32_t TakeTask(Queue& aQueue, SliceIndex aSlice);

void SetKey(Queue& aQueue, SliceIndex aSlice, const JobKey& aKey);

/// Removes a slice with all its tasks, in a time that does not depend on their number.
void DropSlice(Queue& aQueue, SliceIndex aSlice);

/// Charges work to a team; a negative amount refunds it.
void Charge(Queue& aQueue, TeamIndex aTeam, double aMicroseconds);

/// Advances the queue's virtual time to that of the team about to be served. Called before the
/// team's work is charged.
void AdvanceVirtualTime(Queue& aQueue, TeamIndex aTeam);

/// Adds to a team's queued work; a negative number subtracts. Tasks of the long class wait only for
/// their class's share of the slots and not for short tasks, so the classes are counted apart.
void CountWork(Queue& aQueue, TeamIndex aTeam, bool aLong, std::int64_t aMicroseconds);

/// The number of heap element moves of all operations so far.
std::uint64_t HeapMoves(const Queue& aQueue);

} // namespace pollenwall::queue

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
/// Tasks that suit the same upstreams and are of the same class wait in the same *lane*. A job has
/// one *slice* for each lane in which it has queued tasks. In a lane, teams take turns by
/// start-time fair queueing (Goyal, Vin and Cheng 1996) with one virtual time a team over all
/// lanes; within a team the slice of the job with least remaining work goes first.
/// A job that would otherwise miss its deadline goes before other teams' jobs; its work is charged
/// to its team, which then waits for the others.
namespace pollenwall::queue {

using TeamIndex = std::uint32_t;
using LaneIndex = std::uint32_t;
using SliceIndex = std::uint32_t;
using JobIndex = std::uint32_t;

/// A job's place within its team. The least goes first.
struct JobKey
{
  bool mOrdinary = true;  ///< False for the last tasks of a nearly complete job.
  std::int64_t mWork = 0; ///< Remaining work in microseconds plus a term that grows with the
                          ///< arrival time, so that older jobs gain without being reordered.
  std::uint64_t mSequence = 0;
  bool mCalm = true; ///< False for a job that has to start now to meet its deadline; it goes before
                     ///< all others of its priority.
  std::uint32_t mPriority = 0; ///< 0 goes first.
  /// 0: can still keep its target; 1: cannot; 2: is far past it. While more work comes than can be
  /// done, work that is late already would otherwise make all other work late as well.
  std::uint32_t mLateness = 0;

  friend bool operator<(const JobKey& aOne, const JobKey& aOther)
  {
    const auto rank = [](const JobKey& aKey) {
      return std::tie(
        aKey.mPriority, aKey.mLateness, aKey.mCalm, aKey.mOrdinary, aKey.mWork, aKey.mSequence);
    };
    return rank(aOne) < rank(aOther);
  }
};

struct TeamKey
{
  double mVirtualTime = 0;
  TeamIndex mTeam = 0;
  bool mCalm = true; ///< Of the team's first job.

  friend bool operator<(const TeamKey& aOne, const TeamKey& aOther)
  {
    return std::tie(aOne.mCalm, aOne.mVirtualTime, aOne.mTeam) <
           std::tie(aOther.mCalm, aOther.mVirtualTime, aOther.mTeam);
  }
};

struct Slice
{
  JobIndex mJob = 0;
  TeamIndex mTeam = 0;
  LaneIndex mLane = 0;
  std::vector<std::uint32_t> mTasks; ///< The next one is last.
  std::uint32_t mPosition = heap::kNotInHeap;
};

/// One team's slices in one lane.
struct TeamLine
{
  heap::Heap<JobKey> mSlices;
  std::uint32_t mPosition = heap::kNotInHeap; ///< In the lane's heap of teams.
};

struct Lane
{
  std::vector<TeamLine> mTeams;
  heap::Heap<TeamKey> mActive; ///< Teams with slices.
  std::size_t mTasks = 0;
};

/// Queued work in microseconds of the short class and of the long one.
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
  double mVirtualTime = 0;  ///< Of the team served last.
  double mActiveWeight = 0; ///< Of the teams with queued tasks.
  std::size_t mTasks = 0;
  WorkByClass mWork{};
};

/// Adds the team when it is new.
void SetWeight(Queue& aQueue, TeamIndex aTeam, double aWeight);

/// Puts a job's tasks of one lane into the queue. The last element is served first.
SliceIndex AddSlice(Queue& aQueue,
                    LaneIndex aLane,
                    TeamIndex aTeam,
                    JobIndex aJob,
                    const JobKey& aKey,
                    std::vector<std::uint32_t> aTasks);

/// Puts one more task into a slice; it is served next.
void AddTask(Queue& aQueue, SliceIndex aSlice, const JobKey& aKey, std::uint32_t aTask);

/// The next slice of a lane.
std::optional<SliceIndex> Head(const Queue& aQueue, LaneIndex aLane);

/// Whether the head of one lane goes before that of another: by team, and within a team by job.
/// Neither lane may be empty.
bool GoesBefore(const Queue& aQueue, LaneIndex aOne, LaneIndex aOther);

/// Takes a slice's next task out. The slice must not be empty; an empty one stays known.
std::uint32_t TakeTask(Queue& aQueue, SliceIndex aSlice);

void SetKey(Queue& aQueue, SliceIndex aSlice, const JobKey& aKey);

/// Drops a slice with all its tasks, in a time that does not depend on their number.
void DropSlice(Queue& aQueue, SliceIndex aSlice);

/// Charges work to a team; negative work is given back.
void Charge(Queue& aQueue, TeamIndex aTeam, double aMicroseconds);

/// Notes that a team is being served.
void Serve(Queue& aQueue, TeamIndex aTeam);

/// Counts queued work of a team; a negative number takes it out of the count. Tasks of the long
/// class wait for their class's share of the slots and not for the short ones, so their work is
/// counted apart.
void CountWork(Queue& aQueue, TeamIndex aTeam, bool aLong, std::int64_t aMicroseconds);

/// Heap elements moved so far by all operations.
std::uint64_t Moves(const Queue& aQueue);

} // namespace pollenwall::queue

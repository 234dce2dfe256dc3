#pragma once

#include <functional>
#include <queue>
#include <random>
#include <set>

#include <pollenwall/entry.h>

/// Entries, workers and callers in virtual time, with a network that loses and delays. The workers
/// judge room, double runs and fences; nothing here looks into an entry.
namespace pollenwall::entry::test {

struct WorkerRun
{
  Needs mNeeds;
  Time mBegan{};
  Time mEnds{};
  holding::RunEnd mHow = holding::RunEnd::Done;
};

struct Worker
{
  UpstreamRecord mRecord;
  bool mAlive = true;
  bool mHangs = false;  ///< Its tasks stand still.
  double mSlowness = 1; ///< Run times are multiplied by this.
  bool mFailsAll = false;
  UnixMs mBornMs = 0;
  std::uint64_t mToken = 0;
  std::int64_t mLeaseEndMs = 0;
  std::map<holding::Run, WorkerRun> mRunning;
  std::map<TaskId, std::uint32_t> mOver; ///< The highest run that ended or was stopped here.
  std::vector<holding::ListedEnd> mEnds;
  std::uint64_t mLastEnd = 0;
};

struct Node
{
  Options mOptions;
  std::unique_ptr<State, void (*)(State*)> mState{ nullptr, nullptr };
  std::uint64_t mLife = 0; ///< Rises with each start and kill; what was under way is then lost.
  bool mAlive = false;
  bool mFrozen = false;
  Duration mSlowBy{ 0 };      ///< Handles each event so much later.
  std::vector<Event> mHeldUp; ///< Arrived while frozen.
};

/// One job of a caller.
struct CallRecord
{
  JobSpec mJob;
  std::size_t mNode = 0;
  Time mSubmitted{};
  std::optional<Time> mAnswered;
  std::size_t mAnswers = 0;
  bool mComplete = false;
  std::optional<Error> mError;
  bool mGone = false; ///< The caller has left, or its entry has died.
};

struct WorldOptions
{
  std::size_t mDataCentres = 3;
  std::size_t mNodesEach = 2;
  std::size_t mWorkersEach = 8;
  double mLostAnswers = 0;  ///< Of orders to workers: carried out, but the answer is lost.
  double mLateOrders = 0;   ///< Of orders: no answer, carried out seconds later.
  double mFailingTasks = 0; ///< Of runs.
  std::uint32_t mMostFailures = 3;
  double mTargetStretch = 0; ///< Of jobs; see JobSpec.
  std::chrono::milliseconds mTargetSlack{ 60 };
  std::uint64_t mSeed = 1;
};

struct World
{
  WorldOptions mOptions;
  std::mt19937_64 mRandom;
  Now mNow{ Time{ std::chrono::seconds(1000) }, 1'700'000'000'000 };
  std::vector<Node> mNodes;
  std::map<std::string, Worker> mWorkers; ///< By id.
  configuration::Configuration mConfiguration;
  std::map<RequestId, CallRecord> mCalls;
  RequestId mLastRequest = 0;
  std::map<TaskId, std::set<std::string>> mRunningAt; ///< Workers that run a task.
  std::map<TaskId, std::uint32_t> mDone;
  std::set<std::pair<std::size_t, std::size_t>> mCutNodes;       ///< One way.
  std::set<std::pair<std::size_t, std::string>> mCutFromWorkers; ///< Node and worker.
  std::set<std::string> mUnlisted;                               ///< Workers that the list lacks.
  std::vector<std::string> mBroken;                              ///< Promises that were broken.
  std::uint64_t mStarts = 0;

  struct Due
  {
    Time mAt{};
    std::uint64_t mOrder = 0;
    std::function<void()> mAct;

    friend bool operator>(const Due& aOne, const Due& aOther)
    {
      return std::tie(aOne.mAt, aOne.mOrder) > std::tie(aOther.mAt, aOther.mOrder);
    }
  };
  std::priority_queue<Due, std::vector<Due>, std::greater<>> mDue;
  std::uint64_t mLastOrder = 0;
  std::map<std::pair<std::size_t, std::size_t>, Time> mLastArrival; ///< Peers' links keep order.
};

std::unique_ptr<World> MakeWorld(const WorldOptions& aOptions);

/// Runs everything that is due up to a time from now.
void RunFor(World& aWorld, Duration aTime);

/// Does something at a time from now.
void After(World& aWorld, Duration aTime, std::function<void()> aAct);

/// Submits a job of equal tasks through an entry.
RequestId SubmitJob(World& aWorld,
                    std::size_t aNode,
                    std::uint32_t aTasks,
                    std::chrono::milliseconds aRun,
                    std::chrono::milliseconds aDeadline = std::chrono::seconds(3));

/// Submits jobs at a rate for a time, through random living entries.
void Load(World& aWorld, double aJobsPerSecond, Duration aTime, std::chrono::milliseconds aRun);

void Kill(World& aWorld, std::size_t aNode);
void Restart(World& aWorld, std::size_t aNode);
void Freeze(World& aWorld, std::size_t aNode);
void Thaw(World& aWorld, std::size_t aNode);
void CrashWorker(World& aWorld, const std::string& aId);
void BeginDrain(World& aWorld, std::size_t aNode);

/// Cuts an entry off from all other entries, or joins it again.
void CutNode(World& aWorld, std::size_t aNode, bool aCut);

/// Tells all living entries which workers there are.
void ListWorkers(World& aWorld);

std::size_t Answered(const World& aWorld);
std::size_t Complete(const World& aWorld);

double Unit(World& aWorld);

} // namespace pollenwall::entry::test

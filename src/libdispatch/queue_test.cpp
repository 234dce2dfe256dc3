#include "dispatch_test.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>

#include <rapidcheck.h>

#include <pollenwall/run_times.h>
#include <pollenwall/task_queue.h>

using namespace pollenwall;

namespace pollenwall::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards against a heap that loses elements, misorders them or records wrong positions. With aSkip
/// changes of keys are not applied to the heap, which the check has to detect.
bool HeapMatchesAnOrderedMap(bool aSkip)
{
  return rc::check("an indexed heap agrees with an ordered map", [aSkip] {
    heap::Heap<int> heap;
    std::map<std::uint32_t, int> keys;
    std::map<std::uint32_t, std::uint32_t> positions;
    const auto place = [&](std::uint32_t aId, std::uint32_t aPosition) {
      positions[aId] = aPosition;
    };
    const auto steps = *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(
      rc::gen::pair(rc::gen::inRange(0, 1000), rc::gen::inRange(0U, 30U)));
    for (const auto& [key, id] : steps) {
      if (!keys.contains(id)) {
        heap::Push(heap, key, id, place);
        keys[id] = key;
      } else if (key % 3 == 0) {
        heap::Remove(heap, positions[id], place);
        RC_ASSERT(positions[id] == heap::kNotInHeap);
        keys.erase(id);
      } else {
        if (!aSkip) {
          heap::UpdateKey(heap, positions[id], key, place);
        }
        keys[id] = key;
      }
      RC_ASSERT(heap.mItems.size() == keys.size());
      int least = 1000;
      for (const auto& [knownId, value] : keys) {
        RC_ASSERT(heap.mItems[positions[knownId]].mId == knownId);
        RC_ASSERT(heap.mItems[positions[knownId]].mKey == value);
        least = std::min(least, value);
      }
      RC_ASSERT(keys.empty() || heap.mItems.front().mKey == least);
    }
  });
}

/// Guards against tasks that are lost or served twice, and against sums that drift, with which the
/// queue limit would refuse all jobs or none.
bool QueueServesEachTaskOnce()
{
  return rc::check("a queue serves each task once and its sums are exact", [] {
    queue::Queue queue;
    for (queue::TeamIndex n = 0; n < 3; ++n) {
      queue::SetWeight(queue, n, 1 + n);
    }
    std::set<std::pair<std::uint32_t, std::uint32_t>> waiting; // Job and task.
    std::map<std::uint32_t, queue::SliceIndex> slices;
    std::uint32_t jobs = 0;
    const auto steps = *rc::gen::scale(
      3, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 100000U)));
    for (const auto step : steps) {
      const auto lane = step / 10 % 4;
      if (step % 10 < 3) {
        std::vector<std::uint32_t> tasks;
        for (std::uint32_t n = 0; n < 1 + step % 7; ++n) {
          tasks.push_back(n);
          waiting.emplace(jobs, n);
        }
        slices[jobs] = queue::AddSlice(
          queue, lane, step / 100 % 3, jobs, { true, step, jobs }, std::move(tasks));
        ++jobs;
      } else if (step % 10 < 8) {
        if (lane >= queue.mLanes.size()) {
          continue;
        }
        if (const auto slice = queue::Head(queue, lane)) {
          const auto job = queue.mSlices[*slice].mJob;
          queue::AdvanceVirtualTime(queue, queue.mSlices[*slice].mTeam);
          const auto task = queue::TakeTask(queue, *slice);
          RC_ASSERT(waiting.erase({ job, task }) == 1U);
          queue::Charge(queue, queue.mSlices[*slice].mTeam, 1000);
        }
      } else if (!slices.empty()) {
        const auto it = std::next(slices.begin(), step % std::ssize(slices));
        queue::DropSlice(queue, it->second);
        std::erase_if(waiting, [&](const auto& aTask) { return aTask.first == it->first; });
        slices.erase(it);
      }
      std::size_t tasks = 0;
      double weight = 0;
      for (const auto& team : queue.mTeams) {
        tasks += team.mTasks;
        weight += team.mTasks > 0 ? team.mWeight : 0;
      }
      RC_ASSERT(tasks == waiting.size());
      RC_ASSERT(queue.mTasks == waiting.size());
      RC_ASSERT(std::abs(queue.mActiveWeight - weight) < 1e-9);
      for (std::uint32_t n = 0; n < queue.mLanes.size(); ++n) {
        RC_ASSERT((queue.mLanes[n].mTasks > 0) == queue::Head(queue, n).has_value());
      }
    }
  });
}

/// Guards against an idle team that accumulates credit and then starves the others.
bool IdleTeamsAccumulateNoCredit()
{
  queue::Queue queue;
  queue::SetWeight(queue, 0, 1);
  queue::SetWeight(queue, 1, 1);
  const std::vector<std::uint32_t> many(1000);
  queue::AddSlice(queue, 0, 0, 0, {}, many);
  const auto serve = [&] {
    const auto slice = *queue::Head(queue, 0);
    const auto team = queue.mSlices[slice].mTeam;
    queue::AdvanceVirtualTime(queue, team);
    queue::TakeTask(queue, slice);
    queue::Charge(queue, team, 1000);
    return team;
  };
  for (int n = 0; n < 500; ++n) {
    serve();
  }
  queue::AddSlice(queue, 0, 1, 1, {}, many);
  int second = 0;
  for (int n = 0; n < 100; ++n) {
    second += serve() == 1 ? 1 : 0;
  }
  return Expect(second >= 49 && second <= 51, "a team that was idle gets its share and no more");
}

/// Guards against an accepted job that misses its deadline behind jobs of teams that had nothing
/// queued when it was accepted, and against an urgent job that is not charged to its team.
bool UrgentJobsGoBeforeOtherTeams()
{
  queue::Queue queue;
  queue::SetWeight(queue, 0, 1);
  queue::SetWeight(queue, 1, 1);
  queue::Charge(queue, 0, 1000);
  const auto late = queue::AddSlice(queue, 0, 0, 0, { true, 5000, 0 }, { 0, 1 });
  const auto other = queue::AddSlice(queue, 0, 1, 1, { true, 1, 1 }, { 0, 1 });
  bool passed = Expect(queue::Head(queue, 0) == other, "the team served least goes first");
  queue::SetKey(queue, late, { true, 5000, 0, false });
  passed &= Expect(queue::Head(queue, 0) == late, "an urgent job goes before another team's");
  queue::TakeTask(queue, late);
  queue::Charge(queue, 0, 1000);
  passed &=
    Expect(queue::Head(queue, 0) == late, "it goes first even after its team has been charged");
  queue::TakeTask(queue, late);
  passed &= Expect(queue::Head(queue, 0) == other, "the other team goes next");
  const auto next = queue::AddSlice(queue, 0, 0, 2, { true, 1, 2 }, { 0 });
  passed &= Expect(queue::Head(queue, 0) == other && next != other, "its team waits for its share");
  return passed;
}

/// Guards against a wait estimate for a short task that includes the work of long ones.
bool WorkIsCountedByClass()
{
  queue::Queue queue;
  queue::SetWeight(queue, 0, 1);
  queue::CountWork(queue, 0, false, 1000);
  queue::CountWork(queue, 0, true, 1000000);
  const queue::WorkByClass both{ 1000, 1000000 };
  bool passed = Expect(queue.mTeams[0].mWork == both, "each class is counted apart");
  passed &= Expect(queue.mWork == both, "so are the sums over teams");
  queue::CountWork(queue, 0, false, -1000);
  queue::CountWork(queue, 0, true, -1000000);
  passed &= Expect(queue.mWork == queue::WorkByClass{}, "nothing is left");
  return passed;
}

/// Guards against quantiles that are wrong by more than a bucket's width, and against estimates
/// that follow outliers.
bool SketchQuantilesAreNearTheExactOnes()
{
  return rc::check("a sketch's quantiles are within a tenth of the exact ones", [] {
    auto values = *rc::gen::container<std::vector<std::int64_t>>(
      100, rc::gen::inRange<std::int64_t>(2000, 60000000));
    run_times::Sketch sketch;
    for (const auto value : values) {
      run_times::Observe(sketch, Duration{ value });
    }
    std::sort(values.begin(), values.end());
    for (const double quantile : { 0.1, 0.5, 0.75, 0.9 }) {
      const auto exact = static_cast<double>(values[std::llround(quantile * 100) - 1]);
      const auto found = static_cast<double>(run_times::Quantile(sketch, quantile).count());
      RC_ASSERT(std::abs(found / exact - 1) < 0.1);
    }
  });
}

/// Guards against estimates that do not follow a lasting change of run times.
bool EstimatesFollowAChange()
{
  run_times::Kinds kinds;
  auto& kind = run_times::FindOrAddKind(kinds, "quote");
  const auto estimate = [&] {
    return run_times::EstimateOf(kind, milliseconds(100), milliseconds(500), seconds(2));
  };
  bool passed = Expect(estimate().mMedian == milliseconds(100) && !estimate().mLearned,
                       "the declared time is the initial estimate");
  for (int n = 0; n < 1000; ++n) {
    run_times::Observe(kind, milliseconds(100), milliseconds(300));
  }
  passed &= Expect(estimate().mLearned && estimate().mMedian > milliseconds(270) &&
                     estimate().mMedian < milliseconds(330),
                   "outcomes replace the declared time");
  for (int n = 0; n < 600; ++n) {
    run_times::Observe(kind, milliseconds(100), seconds(3));
  }
  passed &= Expect(estimate().mMedian > milliseconds(2700) && estimate().mLong,
                   "a lasting change is learned");
  passed &= Expect(run_times::EstimateOf(kind, seconds(50), milliseconds(500), seconds(2)).mMean ==
                     seconds(50),
                   "a different declared time is estimated apart");
  return passed;
}

/// Guards against unbounded memory when callers send ever new kinds.
bool KindsAreBounded()
{
  run_times::Kinds kinds;
  for (int n = 0; n < 1000; ++n) {
    run_times::FindOrAddKind(kinds, "kind" + std::to_string(n));
  }
  return Expect(kinds.mByName.size() == run_times::Kinds::kMaxKinds,
                "only 64 kinds are kept apart");
}

} // namespace

bool QueueTests()
{
  bool passed = HeapMatchesAnOrderedMap(false);
  passed &= Expect(Fails([] { return HeapMatchesAnOrderedMap(true); }),
                   "the check detects a skipped key change");
  passed &= QueueServesEachTaskOnce();
  passed &= IdleTeamsAccumulateNoCredit();
  passed &= UrgentJobsGoBeforeOtherTeams();
  passed &= WorkIsCountedByClass();
  passed &= SketchQuantilesAreNearTheExactOnes();
  passed &= EstimatesFollowAChange();
  passed &= KindsAreBounded();
  return passed;
}

} // namespace pollenwall::test

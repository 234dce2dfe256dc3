#include <algorithm>
#include <iostream>

#include "world_test.h"

// Tasks that crash each worker that starts them.

namespace {

using namespace pollenwall;
using namespace pollenwall::entry;
using namespace pollenwall::entry::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::unique_ptr<World> MakeStartedWorld(const WorldOptions& aOptions)
{
  auto world = MakeWorld(aOptions);
  RunFor(*world, seconds(4));
  return world;
}

/// Submits a job to an entry; its first task is deadly.
RequestId SubmitDeadlyJob(World& aWorld, std::size_t aNode, std::uint32_t aTasks)
{
  aWorld.mDeadlyTasks.insert({ JobName(aWorld.mLastRequestId + 1), 0 });
  return SubmitJob(aWorld, aNode, aTasks, milliseconds(100), seconds(10));
}

/// Whether the caller was told that the job has failed by its own fault.
bool HasFailed(const World& aWorld, RequestId aRequest)
{
  const auto& call = aWorld.mCalls.at(aRequest);
  return call.mAnswered && !call.mComplete && call.mError &&
         call.mError->mCode == ErrorCode::TaskFailed;
}

/// Guards against a task that crashes worker after worker until its caller's deadline passes.
bool DeadlyTaskIsGivenUp()
{
  WorldOptions options;
  options.mDataCentres = 1;
  auto world = MakeStartedWorld(options);
  const auto request = SubmitDeadlyJob(*world, 0, 4);
  RunFor(*world, seconds(10));
  bool ok = NoViolations(*world);
  ok &= Expect(HasFailed(*world, request), "the job of a deadly task is answered as failed");
  return Expect(world->mCalls.at(request).mAnswered <=
                  world->mCalls.at(request).mSubmitted + Duration(seconds(2)),
                "the answer comes when the second worker has crashed") &&
         ok;
}

} // namespace

int main()
{
  bool ok = DeadlyTaskIsGivenUp();
  std::cout << (ok ? "passed" : "failed") << "\n";
  return ok ? 0 : 1;
}

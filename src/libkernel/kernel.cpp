#include <pollenwall/kernel.h>

#include <algorithm>

#include <boost/leaf/error.hpp>

namespace pollenwall::kernel {
namespace {

enum class Mark
{
  New,
  Open, ///< On the current path from the root of the search.
  Done,
};

struct Search
{
  const Kernel& mKernel;
  std::map<std::string, Mark, std::less<>> mMarks;
  std::vector<std::string> mPath;
  std::vector<std::string> mOrder;
  std::vector<std::string> mProblems;
  bool mCycleFound = false;
};

/// Depth-first topological sort (Tarjan 1976).
void Visit(Search& aSearch, const Service& aService)
{
  auto& mark = aSearch.mMarks[aService.mName];
  if (mark == Mark::Done) {
    return;
  }
  if (mark == Mark::Open) {
    if (!aSearch.mCycleFound) {
      std::string text = "services form a dependency cycle: ";
      auto it = std::find(aSearch.mPath.begin(), aSearch.mPath.end(), aService.mName);
      for (; it != aSearch.mPath.end(); ++it) {
        text += *it + " -> ";
      }
      aSearch.mProblems.push_back(text + aService.mName);
      aSearch.mCycleFound = true;
    }
    return;
  }
  mark = Mark::Open;
  aSearch.mPath.push_back(aService.mName);
  for (const auto& dependency : aService.mDependencies) {
    const auto it = aSearch.mKernel.mServices.find(dependency);
    if (it == aSearch.mKernel.mServices.end()) {
      aSearch.mProblems.push_back("service " + aService.mName + " needs " + dependency +
                                  ", which does not exist");
      continue;
    }
    Visit(aSearch, it->second);
  }
  aSearch.mPath.pop_back();
  aSearch.mMarks[aService.mName] = Mark::Done;
  aSearch.mOrder.push_back(aService.mName);
}

} // namespace

void Register(Kernel& aKernel, Service aService)
{
  const auto name = aService.mName;
  if (!aKernel.mServices.emplace(name, std::move(aService)).second) {
    aKernel.mProblems.push_back("service " + name + " is registered twice");
  }
}

Result<std::vector<std::string>> StartOrder(const Kernel& aKernel)
{
  Search search{ aKernel, {}, {}, {}, aKernel.mProblems };
  for (const auto& [name, service] : aKernel.mServices) {
    Visit(search, service);
  }
  if (search.mProblems.empty()) {
    return std::move(search.mOrder);
  }
  std::string message;
  for (const auto& problem : search.mProblems) {
    message += (message.empty() ? "" : "; ") + problem;
  }
  return boost::leaf::new_error(Error{ ErrorCode::Internal, Verdict::NotRun, message, {} });
}

Result<void> Start(Kernel& aKernel)
{
  BOOST_LEAF_AUTO(order, StartOrder(aKernel));
  for (const auto& name : order) {
    auto& service = aKernel.mServices.find(name)->second;
    if (service.mStart) {
      auto started = service.mStart();
      if (!started) {
        Stop(aKernel);
        return started.error();
      }
    }
    aKernel.mStarted.push_back(name);
  }
  return {};
}

void Stop(Kernel& aKernel)
{
  while (!aKernel.mStarted.empty()) {
    const auto name = std::move(aKernel.mStarted.back());
    aKernel.mStarted.pop_back();
    const auto& service = aKernel.mServices.find(name)->second;
    if (service.mStop) {
      service.mStop();
    }
  }
}

} // namespace pollenwall::kernel

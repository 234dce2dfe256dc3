#pragma once

#include <any>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <pollenwall/verdict.h>

/// A micro-kernel: a program is a set of services that find each other by name. The order of start
/// and stop follows from what each service declares to need. Not thread safe.
namespace pollenwall::kernel {

struct Service
{
  std::string mName;
  std::vector<std::string> mNeeds; ///< Started before this service, stopped after it.
  std::function<Result<void>()> mStart;
  std::function<void()> mStop;
  std::any mObject; ///< What Find returns to other services, usually a pointer.
};

struct Kernel
{
  std::map<std::string, Service, std::less<>> mServices;
  std::vector<std::string> mStarted;  ///< In the order of start.
  std::vector<std::string> mProblems; ///< Found while registering.
};

/// A second service of the same name is reported by StartOrder.
void Register(Kernel& aKernel, Service aService);

/// The order of start: needs first, otherwise by name. The error lists every missing service, every
/// duplicate name and one cycle.
Result<std::vector<std::string>> StartOrder(const Kernel& aKernel);

/// Starts all services in order. When one fails, those that were started are stopped again in
/// reverse order and its error is returned.
Result<void> Start(Kernel& aKernel);

/// Stops the started services in reverse order.
void Stop(Kernel& aKernel);

/// The object of a service, or null when there is no such service or its object has another type.
template<typename T>
T* Find(const Kernel& aKernel, std::string_view aName)
{
  const auto it = aKernel.mServices.find(aName);
  if (it == aKernel.mServices.end()) {
    return nullptr;
  }
  const auto* object = std::any_cast<T*>(&it->second.mObject);
  return object == nullptr ? nullptr : *object;
}

} // namespace pollenwall::kernel

#pragma once

#include <any>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <pollenwall/verdict.h>

/// A registry of the services that make up a program. Services find each other by name and are
/// started and stopped in the order of their declared dependencies. Not thread safe.
namespace pollenwall::kernel {

struct Service
{
  std::string mName;
  std::vector<std::string> mDependencies; ///< Started before this service, stopped after it.
  std::function<Result<void>()> mStart;
  std::function<void()> mStop;
  std::any mObject; ///< What Find returns to other services, usually a pointer.
};

struct Kernel
{
  std::map<std::string, Service, std::less<>> mServices;
  std::vector<std::string> mStarted;  ///< In start order.
  std::vector<std::string> mProblems; ///< Found during registration.
};

/// Adds a service. A duplicate name is reported by StartOrder.
void Register(Kernel& aKernel, Service aService);

/// Returns the start order: dependencies first, otherwise by name. The error lists every missing
/// service, every duplicate name and one cycle.
Result<std::vector<std::string>> StartOrder(const Kernel& aKernel);

/// Starts all services in order. If one fails, stops the started ones in reverse order and returns
/// its error.
Result<void> Start(Kernel& aKernel);

/// Stops the started services in reverse order.
void Stop(Kernel& aKernel);

/// Returns the object of a service, or null if there is no such service or its object has another
/// type.
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

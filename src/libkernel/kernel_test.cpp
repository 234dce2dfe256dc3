#include <pollenwall/kernel.h>

#include <algorithm>
#include <cstdio>
#include <set>

#include <boost/leaf/handle_errors.hpp>
#include <rapidcheck.h>

using namespace pollenwall;

namespace {

bool Expect(bool aCondition, const char* aWhat)
{
  if (!aCondition) {
    std::fprintf(stderr, "failed: %s\n", aWhat);
  }
  return aCondition;
}

kernel::Service MakeService(std::string aName, std::vector<std::string> aDependencies)
{
  return { std::move(aName), std::move(aDependencies), {}, {}, {} };
}

std::string MessageOf(const std::function<Result<void>()>& aFunction)
{
  return boost::leaf::try_handle_all(
    [&aFunction]() -> Result<std::string> {
      BOOST_LEAF_CHECK(aFunction());
      return std::string();
    },
    [](const Error& aError) { return aError.mMessage; },
    [] { return std::string("unknown error"); });
}

/// Guards against a service that starts before, or stops after, one of its dependencies.
bool DependenciesStartFirst()
{
  return rc::check("services start after their dependencies and stop before them", [] {
    const int n = *rc::gen::inRange(1, 12);
    kernel::Kernel kernel;
    std::vector<std::string> started;
    std::vector<std::string> stopped;
    std::map<std::string, std::vector<std::string>> dependenciesOf;
    for (int it = 0; it < n; ++it) {
      // Names don't follow the order of registration; dependencies are only on earlier services.
      const auto name = std::to_string((it * 7 + 3) % 101) + "-" + std::to_string(it);
      std::vector<std::string> dependencies;
      for (const auto& [other, unused] : dependenciesOf) {
        if (*rc::gen::inRange(0, 3) == 0) {
          dependencies.push_back(other);
        }
      }
      dependenciesOf[name] = dependencies;
      kernel::Register(kernel,
                       { name,
                         dependencies,
                         [&started, name]() -> Result<void> {
                           started.push_back(name);
                           return {};
                         },
                         [&stopped, name] { stopped.push_back(name); },
                         {} });
    }
    RC_ASSERT(MessageOf([&kernel] { return kernel::Start(kernel); }).empty());
    RC_ASSERT(started.size() == static_cast<std::size_t>(n));
    for (const auto& [name, dependencies] : dependenciesOf) {
      const auto position = std::find(started.begin(), started.end(), name);
      for (const auto& dependency : dependencies) {
        RC_ASSERT(std::find(started.begin(), started.end(), dependency) < position);
      }
    }
    kernel::Stop(kernel);
    std::reverse(stopped.begin(), stopped.end());
    RC_ASSERT(stopped == started);
  });
}

/// Guards against a start that hangs or recurses endlessly on a dependency cycle.
bool CyclesAndMissingServicesAreReported()
{
  kernel::Kernel kernel;
  kernel::Register(kernel, MakeService("a", { "b" }));
  kernel::Register(kernel, MakeService("b", { "c", "nowhere" }));
  kernel::Register(kernel, MakeService("c", { "a" }));
  kernel::Register(kernel, MakeService("c", {}));
  const auto message = MessageOf([&kernel] { return kernel::Start(kernel); });
  bool passed = Expect(message.find("a -> b -> c -> a") != std::string::npos, "the cycle is named");
  passed &= Expect(message.find("service b needs nowhere") != std::string::npos,
                   "the missing service is named");
  passed &=
    Expect(message.find("c is registered twice") != std::string::npos, "the duplicate is named");
  return passed;
}

/// Guards against services that keep running after the start of another one has failed.
bool FailedStartStopsStartedServices()
{
  kernel::Kernel kernel;
  std::vector<std::string> stopped;
  const auto stop = [&stopped](const std::string& aName) {
    return [&stopped, aName] { stopped.push_back(aName); };
  };
  kernel::Register(kernel, { "a", {}, {}, stop("a"), {} });
  kernel::Register(kernel, { "b", { "a" }, {}, stop("b"), {} });
  kernel::Register(
    kernel,
    { "c",
      { "b" },
      []() -> Result<void> {
        return boost::leaf::new_error(Error{ ErrorCode::Internal, Verdict::NotRun, "no port", {} });
      },
      stop("c"),
      {} });
  const auto message = MessageOf([&kernel] { return kernel::Start(kernel); });
  bool passed = Expect(message == "no port", "the error of the failed start is returned");
  passed &= Expect(stopped == std::vector<std::string>{ "b", "a" },
                   "started services are stopped in reverse order");
  return passed;
}

/// Guards against a lookup that returns an object as another type.
bool ObjectsAreFoundByNameAndType()
{
  kernel::Kernel kernel;
  int object = 7;
  kernel::Register(kernel, { "n", {}, {}, {}, &object });
  bool passed = Expect(kernel::Find<int>(kernel, "n") == &object, "found");
  passed &= Expect(kernel::Find<double>(kernel, "n") == nullptr, "another type");
  passed &= Expect(kernel::Find<int>(kernel, "m") == nullptr, "another name");
  return passed;
}

} // namespace

int main()
{
  bool passed = DependenciesStartFirst();
  passed &= CyclesAndMissingServicesAreReported();
  passed &= FailedStartStopsStartedServices();
  passed &= ObjectsAreFoundByNameAndType();
  return passed ? 0 : 1;
}

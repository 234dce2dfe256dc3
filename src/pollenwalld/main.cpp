#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <boost/leaf/handle_errors.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <pollenwall/log.h>
#include <pollenwall/net/fiber.h>

#include <platform/services.h>

#include "callers.h"
#include "entry_links.h"
#include "entry_loop.h"
#include "log_client.h"
#include "operators.h"
#include "peers.h"
#include "resource_limits.h"
#include "signals.h"
#include "upstreams.h"
#include "vm_list.h"

ABSL_FLAG(std::string, settings, "", "YAML file with the settings of this entry");
ABSL_FLAG(bool, check_settings, false, "check the settings file and exit: 0 when valid, 2 if not");
ABSL_FLAG(std::int64_t,
          clock_offset_ms,
          0,
          "added to the time of day, to test clock differences between machines");

namespace {

using namespace pollenwall;
using namespace pollenwall::daemon;

constexpr const char* kUsage =
  R"(Entry daemon of pollenwall: accepts jobs from callers and dispatches
their tasks to upstreams.

  pollenwalld --settings=FILE                    run this entry
  pollenwalld --settings=FILE --check_settings   report every problem in the settings, exit code 2

Examples:
  pollenwalld --settings=examples/entry.yaml
  curl -s http://127.0.0.1:8080/readyz           check whether it is ready for callers

Signals: SIGTERM and SIGINT begin a graceful stop, a second one logs what is still running;
SIGUSR1 logs a dump of the state; SIGHUP reloads the TLS files.

Exit codes: 0 after a graceful stop, 1 when a service cannot start or the
core has failed, 2 for invalid settings.)";

constexpr int kExitFailure = 1;
constexpr int kExitInvalidSettings = 2;

/// Reads and checks the settings. Prints every problem to standard error and returns nothing if
/// there are any.
std::optional<settings::Settings> ReadSettingsFile(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) {
    std::cerr << aFile << ": cannot be read; allowed: a readable, non-empty YAML file\n";
    return std::nullopt;
  }
  auto result = settings::ReadSettings(aFile, text.str());
  for (const auto& problem : result.mReport.mProblems) {
    std::cerr << yaml::ToString(problem) << "\n";
  }
  if (!result.mReport.mProblems.empty()) {
    return std::nullopt;
  }
  return std::move(result.mSettings);
}

/// Loads the TLS files; the pointer is null if TLS is off. Returns nothing if they cannot be
/// loaded.
std::optional<std::shared_ptr<net::TlsKeys>> ReadTls(const settings::Tls& aTls)
{
  if (!aTls.mEnabled) {
    return std::shared_ptr<net::TlsKeys>();
  }
  using Loaded = std::optional<std::shared_ptr<net::TlsKeys>>;
  return boost::leaf::try_handle_all(
    [&aTls]() -> Result<Loaded> {
      BOOST_LEAF_AUTO(keys,
                      net::LoadTls({ aTls.mCertificateFile, aTls.mKeyFile, aTls.mAuthorityFile }));
      return Loaded(std::move(keys));
    },
    [](const Error& aError) {
      std::cerr << aError.mMessage << "\n";
      return Loaded();
    },
    [] { return Loaded(); });
}

/// Raises the soft limit, which is often 1024: each connection takes a descriptor.
void RaiseDescriptorLimit()
{
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    (void)::setrlimit(RLIMIT_NOFILE, &limit);
  }
}

node::Options MakeNodeOptions(const settings::Settings& aSettings)
{
  auto options = aSettings.mNode;
  SetMemoryLimits(options, aSettings.mHttp.mMemoryMb);
  std::random_device random;
  options.mIncarnation = MakeIncarnation(ReadClocks().mUnixMs, random());
  options.mSeed = (std::uint64_t{ random() } << 32) | random();
  return options;
}

/// Returns whether all services have started.
bool StartServices(DaemonContext& aDaemon)
{
  return boost::leaf::try_handle_all(
    [&aDaemon]() -> Result<bool> {
      BOOST_LEAF_CHECK(kernel::Start(aDaemon.mKernel));
      return true;
    },
    [](const Error& aError) {
      log::LogError("start_failed", { { "message", aError.mMessage } });
      return false;
    },
    [] {
      log::LogError("start_failed");
      return false;
    });
}

entry::Options MakeEntryOptions(const settings::Settings& aSettings)
{
  auto options = aSettings.mPlatform->mEntry;
  SetMemoryLimits(options.mDispatch, aSettings.mHttp.mMemoryMb);
  std::random_device random;
  options.mIncarnation = MakeIncarnation(ReadClocks().mUnixMs, random());
  options.mSeed = (std::uint64_t{ random() } << 32) | random();
  return options;
}

/// Runs an entry whose settings have a section `platform` until a graceful stop is complete or the
/// core has failed. Returns the exit code.
int RunOnPlatform(DaemonContext& aDaemon)
{
  const auto options = MakeEntryOptions(aDaemon.mSettings);
  RegisterEntryLoop(aDaemon, options);
  RegisterEntryLinks(aDaemon);
  platform::RegisterStore(aDaemon);
  platform::RegisterCancels(aDaemon);
  platform::RegisterWorkers(aDaemon);
  platform::RegisterCallers(aDaemon);
  auto& loop = *kernel::Find<EntryLoop>(aDaemon.mKernel, "entry");
  if (!StartServices(aDaemon)) {
    return kExitFailure;
  }
  HandleEntrySignals(aDaemon);
  log::Info("started",
            { { "name", options.mName },
              { "data_centre", options.mDataCentre },
              { "incarnation", ToString(options.mIncarnation) },
              { "version", std::string(POLLENWALL_VERSION) } });
  const bool complete = loop.mStopped.Wait();
  log::Info("stopping_services");
  kernel::Stop(aDaemon.mKernel);
  log::Info("stopped");
  return complete ? 0 : kExitFailure;
}

/// Runs the entry until a graceful stop is complete. Returns the exit code.
int Run(settings::Settings aSettings, std::shared_ptr<net::TlsKeys> aTls)
{
  ReturnLargeBlocks();
  RaiseDescriptorLimit();
  // Writes to a connection closed by the other side then return an error instead of raising
  // SIGPIPE.
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(1);
  DaemonContext daemonContext(context);
  daemonContext.mSettings = std::move(aSettings);
  SetResourceLimits(daemonContext);
  net::UseScheduler(daemonContext.mContext);
  if (daemonContext.mSettings.mPlatform) {
    return RunOnPlatform(daemonContext);
  }
  const auto options = MakeNodeOptions(daemonContext.mSettings);
  RegisterNodeLoop(daemonContext, options);
  RegisterUpstreams(daemonContext);
  RegisterPeers(daemonContext, options, aTls);
  RegisterLogClient(daemonContext);
  RegisterVmList(daemonContext);
  RegisterCallers(daemonContext);
  RegisterOperators(daemonContext, aTls);
  auto& loop = *kernel::Find<NodeLoop>(daemonContext.mKernel, "node");
  if (!StartServices(daemonContext)) {
    return kExitFailure;
  }
  HandleSignals(daemonContext, std::move(aTls));
  log::Info("started",
            { { "name", options.mName },
              { "data_centre", options.mDataCentre },
              { "incarnation", ToString(options.mIncarnation) },
              { "version", std::string(POLLENWALL_VERSION) } });
  const bool inTime = loop.mStopped.Wait();
  if (!inTime && !loop.mFailed) {
    log::LogError("drain_limit_exceeded");
  }
  log::Info("stopping_services");
  kernel::Stop(daemonContext.mKernel);
  log::Info("stopped");
  return inTime ? 0 : kExitFailure;
}

} // namespace

int main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage(kUsage);
  absl::FlagsUsageConfig usage;
  usage.version_string = [] { return std::string("pollenwalld ") + POLLENWALL_VERSION + "\n"; };
  // Without this, --help shows only flags of a file named like the program.
  usage.contains_help_flags = [](absl::string_view aFile) {
    return aFile.find("pollenwalld/main.cpp") != absl::string_view::npos;
  };
  absl::SetFlagsUsageConfig(usage);
  absl::ParseCommandLine(aCount, aArguments);
  const auto file = absl::GetFlag(FLAGS_settings);
  if (file.empty()) {
    std::cerr << "--settings is missing; see --help\n";
    return kExitInvalidSettings;
  }
  auto settings = ReadSettingsFile(file);
  if (!settings) {
    return kExitInvalidSettings;
  }
  auto tls = ReadTls(settings->mTls);
  if (!tls) {
    return kExitInvalidSettings;
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    std::cout << file << ": valid\n";
    return 0;
  }
  log::Init("pollenwalld", log::Output::StandardOutput);
  log::SetRateLimits(settings->mLogLimits);
  SetClockOffset(std::chrono::milliseconds(absl::GetFlag(FLAGS_clock_offset_ms)));
  const int code = Run(std::move(*settings), std::move(*tls));
  // The scheduler's destructor would wait forever for fibers that are blocked on sockets. It can be
  // skipped because all services have stopped.
  std::cout.flush();
  std::cerr.flush();
  ::_exit(code);
}

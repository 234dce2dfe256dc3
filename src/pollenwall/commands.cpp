#include "commands.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

#include <pollenwall/configuration_yaml.h>

#include "entries.h"
#include "files.h"
#include "log_client.h"

namespace pollenwall::tool {
namespace {

constexpr std::chrono::milliseconds kPollInterval{ 100 };

/// Prints the configuration in force as YAML, with its version in a leading comment.
int PrintInForce(const configuration::ConfigurationLog& aLog, const std::string& aSource)
{
  const auto version = configuration::VersionOf(aLog);
  if (version == 0) {
    PrintFailure(aSource + " holds no configuration");
    return kFailed;
  }
  std::cout << "# version " << version << "\n"
            << configuration::PrintDocument(*aLog.mConfiguration);
  return kSuccess;
}

/// Calls every entry and prints one line of JSON for each. Returns kFailed if a call failed.
int ForEachEntry(const Arguments& aArguments,
                 const std::function<Result<boost::json::value>(const settings::Endpoint&)>& aCall)
{
  int code = kSuccess;
  for (const auto& entry : aArguments.mEntries) {
    boost::json::object line{ { "entry", settings::ToString(entry) } };
    const auto value = Try<boost::json::value>([&] { return aCall(entry); },
                                               [&](const Error& aError) {
                                                 line["error"] = aError.mMessage;
                                                 code = kFailed;
                                               });
    if (value) {
      line["status"] = *value;
    }
    std::cout << boost::json::serialize(line) << "\n";
  }
  return code;
}

} // namespace

std::optional<std::string> ReadFile(const std::string& aName)
{
  std::ifstream file(aName, std::ios::binary);
  std::string text{ std::istreambuf_iterator<char>(file), {} };
  if (!file) {
    PrintFailure(aName + ": the file cannot be read");
    return std::nullopt;
  }
  return text;
}

bool PrintProblems(const yaml::Report& aReport)
{
  for (const auto& problem : aReport.mProblems) {
    std::cerr << yaml::ToString(problem) << "\n";
  }
  return !aReport.mProblems.empty();
}

int Check(const Arguments& aArguments)
{
  const auto text = ReadFile(aArguments.mFile);
  if (!text) {
    return kInvalidInput;
  }
  if (aArguments.mSettings) {
    const auto result = settings::ReadSettings(aArguments.mFile, *text);
    if (PrintProblems(result.mReport)) {
      return kInvalidInput;
    }
    std::cout << aArguments.mFile << ": settings of entry " << result.mSettings.mNode.mName
              << ", no problems\n";
    return kSuccess;
  }
  yaml::Report report{ aArguments.mFile, {} };
  const auto parsed = configuration::ParseDocument(report, *text);
  if (PrintProblems(report)) {
    return kInvalidInput;
  }
  std::cout << aArguments.mFile << ": " << parsed.mDataCentres.size() << " data centres, "
            << parsed.mWorkers.size() << " workers, " << parsed.mServices.size() << " services, "
            << parsed.mUpstreams.size() << " upstreams, " << parsed.mTeams.size()
            << " teams, no problems\n";
  return kSuccess;
}

int Show(const Arguments& aArguments)
{
  if (aArguments.mLog) {
    LogClient client;
    client.mServer = *aArguments.mLog;
    client.mTimeout = aArguments.mTimeout;
    const auto read = Try<bool>(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(CatchUp(client));
        return true;
      },
      [](const Error& aError) { PrintFailure(aError.mMessage); });
    return read ? PrintInForce(client.mLog, "the log") : kFailed;
  }
  const auto& entry = aArguments.mEntries.front();
  const auto snapshot =
    Try<std::string>([&] { return GetSnapshot(aArguments, entry); },
                     [](const Error& aError) { PrintFailure(aError.mMessage); });
  if (!snapshot) {
    return kFailed;
  }
  configuration::ConfigurationLog log;
  const auto outcome = configuration::AdoptSnapshot(log, *snapshot);
  if (PrintProblems({ settings::ToString(entry), outcome.mProblems })) {
    return kFailed;
  }
  return PrintInForce(log, settings::ToString(entry));
}

int Status(const Arguments& aArguments)
{
  return ForEachEntry(aArguments,
                      [&](const settings::Endpoint& aEntry) -> Result<boost::json::value> {
                        BOOST_LEAF_AUTO(status, GetStatus(aArguments, aEntry));
                        return status.mDocument;
                      });
}

int Dump(const Arguments& aArguments)
{
  int code = kSuccess;
  for (const auto& entry : aArguments.mEntries) {
    const auto body =
      Try<std::string>([&] { return Send(MakeEntryCall(aArguments, entry, "GET", "/dump")); },
                       [&code](const Error& aError) {
                         PrintFailure(aError.mMessage);
                         code = kFailed;
                       });
    if (body) {
      std::cout << *body << "\n";
    }
  }
  return code;
}

int Drain(const Arguments& aArguments)
{
  const auto& entry = aArguments.mEntries.front();
  const auto name = settings::ToString(entry);
  const auto answer =
    Try<std::string>([&] { return Send(MakeEntryCall(aArguments, entry, "POST", "/v1/drain")); },
                     [](const Error& aError) { PrintFailure(aError.mMessage); });
  if (!answer) {
    return kFailed;
  }
  std::cout << name << ": draining\n";
  const auto deadline = std::chrono::steady_clock::now() + aArguments.mTimeout;
  while (aArguments.mWait && std::chrono::steady_clock::now() < deadline) {
    bool stopped = false;
    Try<EntryStatus>(
      [&] { return GetStatus(aArguments, entry); },
      // NotRun is taken to mean that nothing listens on the port any more.
      [&stopped](const Error& aError) { stopped = aError.mVerdict == Verdict::NotRun; });
    if (stopped) {
      std::cout << name << ": stopped\n";
      return kSuccess;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  if (aArguments.mWait) {
    PrintFailure(name + ": still running at the end of --timeout");
    return kFailed;
  }
  return kSuccess;
}

} // namespace pollenwall::tool

#include <iostream>
#include <map>
#include <random>
#include <set>
#include <thread>

#include <pollenwall/configuration_yaml.h>

#include "commands.h"
#include "entries.h"
#include "files.h"
#include "log_client.h"

namespace pollenwall::tool {
namespace {

using Clock = std::chrono::steady_clock;
using configuration::OutcomeKind;
using configuration::Version;

constexpr std::chrono::milliseconds kRetryInterval{ 250 };
constexpr std::chrono::milliseconds kPollInterval{ 100 };

/// Generates a unique change id from the current time and 64 random bits.
std::string MakeId()
{
  std::random_device device;
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  char buf[64];
  std::snprintf(buf,
                sizeof buf,
                "publish-%lld-%08x%08x",
                static_cast<long long>(now.count()),
                device(),
                device());
  return buf;
}

/// Reads the log until a read succeeds or the deadline passes. Reports the first failure.
bool CatchUpUntil(LogClient& aClient, Clock::time_point aDeadline)
{
  for (bool reported = false;; reported = true) {
    std::string failure;
    const auto read = Try<bool>(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(CatchUp(aClient));
        return true;
      },
      [&failure](const Error& aError) { failure = aError.mMessage; });
    if (read) {
      return true;
    }
    if (!reported) {
      PrintFailure("the log service does not answer, waiting: " + failure);
    }
    if (Clock::now() + kRetryInterval > aDeadline) {
      return false;
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
}

/// The result of appending a record.
struct AppendResult
{
  std::optional<configuration::Outcome> mOutcome; ///< As every reader of the log computes it.
  bool mRefused = false;       ///< The log service refused the record as a bad request.
  bool mMayTakeEffect = false; ///< An append failed, but the record may be in the log.
};

/// Repeats the append until the record's outcome has been read from the log, the log service
/// refuses the record as a bad request or the deadline passes. All appends have the same id, so
/// that the record takes effect at most once.
AppendResult AppendUntilConfirmed(LogClient& aClient,
                                  const std::string& aId,
                                  const std::string& aRecord,
                                  Clock::time_point aDeadline)
{
  AppendResult result;
  for (;;) {
    Try<std::uint64_t>([&] { return Append(aClient, aRecord); },
                       [&](const Error& aError) {
                         const bool notRun = aError.mVerdict == Verdict::NotRun;
                         result.mRefused = notRun && aError.mCode == ErrorCode::BadRequest;
                         result.mMayTakeEffect |= !notRun;
                         PrintFailure(std::string(result.mRefused
                                                    ? "the append was refused: "
                                                    : "the append was not confirmed: ") +
                                      aError.mMessage);
                       });
    if (result.mRefused || !CatchUpUntil(aClient, aDeadline)) {
      return result;
    }
    if (const auto it = aClient.mOutcomes.find(aId); it != aClient.mOutcomes.end()) {
      result.mOutcome = it->second;
      return result;
    }
    if (Clock::now() + kRetryInterval > aDeadline) {
      return result;
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
}

/// Adopts the entries' snapshots, for a log that no longer holds a snapshot to start from.
void AdoptFromEntries(const Arguments& aArguments, LogClient& aClient, Clock::time_point aDeadline)
{
  for (const auto& entry : aArguments.mEntries) {
    const auto snapshot =
      Try<std::string>([&] { return GetSnapshot(aArguments, entry); },
                       [](const Error& aError) { PrintFailure(aError.mMessage); });
    if (snapshot) {
      configuration::AdoptSnapshot(aClient.mLog, *snapshot);
    }
  }
  CatchUpUntil(aClient, aDeadline);
}

/// Prints the items that a change puts and deletes, one per line.
void PrintChange(const configuration::Change& aChange)
{
  for (const auto& [key, text] : aChange.mPuts) {
    std::cout << "put " << key << " " << text << "\n";
  }
  for (const auto& key : aChange.mDeletes) {
    std::cout << "delete " << key << "\n";
  }
}

/// Which entries have a version in force, as of one round of status requests.
struct Progress
{
  std::string mBehind;   ///< One line for each entry that still has to report the version.
  std::string mNotReady; ///< One line for each entry that is not ready, which doesn't delay --wait.
  std::size_t mInForce = 0;
};

/// Queries the status of the entries in --entries. An entry that can't be reached may be ready, so
/// it counts as behind. The versions of other ready entries come from the heartbeats that the
/// queried entries received.
Progress QueryEntries(const Arguments& aArguments, Version aVersion)
{
  Progress progress;
  std::set<std::string> queried;
  std::map<std::string, PeerStatus> peers;
  for (const auto& entry : aArguments.mEntries) {
    const auto name = settings::ToString(entry);
    const auto status = Try<EntryStatus>(
      [&] { return GetStatus(aArguments, entry); },
      [&](const Error& aError) {
        progress.mBehind.append("pollenwall: ").append(aError.mMessage).append("\n");
      });
    if (!status) {
      continue;
    }
    queried.insert(status->mIncarnation);
    for (const auto& peer : status->mPeers) {
      auto& last = peers.emplace(peer.mIncarnation, peer).first->second;
      last.mVersion = std::max(last.mVersion, peer.mVersion);
    }
    if (status->mVersion >= aVersion && status->mReady) {
      ++progress.mInForce;
      continue;
    }
    (status->mReady ? progress.mBehind : progress.mNotReady)
      .append("pollenwall: " + name + " is " + (status->mReady ? "" : "not ") +
              "ready and has version " + std::to_string(status->mVersion) + "\n");
  }
  for (const auto& [incarnation, peer] : peers) {
    if (!peer.mReady || queried.contains(incarnation)) {
      continue;
    }
    if (peer.mVersion >= aVersion) {
      ++progress.mInForce;
      continue;
    }
    progress.mBehind.append("pollenwall: entry " + peer.mName +
                            ", by its heartbeats, has version " + std::to_string(peer.mVersion) +
                            "\n");
  }
  return progress;
}

/// Waits until at least one entry and all ready entries report the version.
int WaitUntilInForce(const Arguments& aArguments, Version aVersion, Clock::time_point aDeadline)
{
  for (;;) {
    const auto progress = QueryEntries(aArguments, aVersion);
    if (progress.mBehind.empty() && progress.mInForce > 0) {
      std::cerr << progress.mNotReady;
      std::cout << "version " << aVersion << " is in force, entries: " << progress.mInForce << "\n";
      return kSuccess;
    }
    if (Clock::now() + kPollInterval > aDeadline) {
      std::cerr << progress.mBehind << progress.mNotReady;
      PrintFailure("version " + std::to_string(aVersion) +
                   " is accepted but not in force everywhere at the end of --timeout");
      return kNotInForce;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

int ReportAppendResult(const Arguments& aArguments,
                       const AppendResult& aResult,
                       const std::string& aId,
                       Clock::time_point aDeadline)
{
  if (!aResult.mOutcome) {
    PrintFailure(aResult.mMayTakeEffect
                   ? "it is not known whether change " + aId +
                       " takes effect; run the same command with --id=" + aId + " to find out"
                   : "nothing was appended");
    return kFailed;
  }
  const auto version = aResult.mOutcome->mVersion;
  switch (aResult.mOutcome->mKind) {
    case OutcomeKind::Accepted:
    case OutcomeKind::Duplicate:
      std::cout << "version " << version << " accepted, change " << aId << "\n";
      return aArguments.mWait ? WaitUntilInForce(aArguments, version, aDeadline) : kSuccess;
    case OutcomeKind::LostRace:
      PrintFailure("change " + aId + " lost the race against version " + std::to_string(version) +
                   "; nothing was changed. Look at it with 'pollenwall show' and publish again");
      return kLostRace;
    default:
      PrintProblems({ aId, aResult.mOutcome->mProblems });
      PrintFailure("change " + aId + " is invalid; nothing was changed");
      return kInvalidInput;
  }
}

/// Appends the whole configuration as a restore record, for a log without a snapshot to start from.
int Restore(const Arguments& aArguments,
            LogClient& aClient,
            const configuration::Configuration& aWanted,
            const std::string& aId,
            Clock::time_point aDeadline)
{
  if (aClient.mLog.mHistoryComplete) {
    PrintFailure("the log holds version " + std::to_string(configuration::VersionOf(aClient.mLog)) +
                 "; publish without --restore");
    return kInvalidInput;
  }
  const auto record = configuration::RestoreRecord(aWanted, aId, aClient.mLog.mNext);
  return ReportAppendResult(
    aArguments, AppendUntilConfirmed(aClient, aId, record, aDeadline), aId, aDeadline);
}

} // namespace

int Publish(const Arguments& aArguments)
{
  const auto deadline = Clock::now() + aArguments.mTimeout;
  const auto text = ReadFile(aArguments.mFile);
  if (!text) {
    return kInvalidInput;
  }
  yaml::Report report{ aArguments.mFile, {} };
  const auto document = configuration::ParseDocument(report, *text);
  if (PrintProblems(report)) {
    return kInvalidInput;
  }
  LogClient client;
  client.mServer = *aArguments.mLog;
  client.mTimeout = std::min(client.mTimeout, aArguments.mTimeout);
  if (!CatchUpUntil(client, deadline)) {
    PrintFailure("the log service does not answer; nothing was appended");
    return kFailed;
  }
  if (!client.mLog.mHistoryComplete) {
    AdoptFromEntries(aArguments, client, deadline);
  }
  const auto id = aArguments.mId.empty() ? MakeId() : aArguments.mId;
  // An earlier run with this --id may have appended the change without receiving the answer.
  if (const auto it = client.mOutcomes.find(id); it != client.mOutcomes.end()) {
    std::cout << "change " << id << " was appended before\n";
    return ReportAppendResult(aArguments, { it->second }, id, deadline);
  }
  if (aArguments.mRestore) {
    return Restore(aArguments, client, document, id, deadline);
  }
  if (!client.mLog.mHistoryComplete) {
    PrintFailure("the log no longer holds a snapshot to start from; name --entries that hold the "
                 "configuration, or use --restore when none does");
    return kFailed;
  }
  const auto change = configuration::MakeChange(*client.mLog.mConfiguration, document, id);
  if (aArguments.mDryRun) {
    PrintChange(change);
    return kSuccess;
  }
  if (change.mPuts.empty() && change.mDeletes.empty()) {
    const auto version = configuration::VersionOf(client.mLog);
    std::cout << "version " << version << " already holds this configuration\n";
    return aArguments.mWait ? WaitUntilInForce(aArguments, version, deadline) : kSuccess;
  }
  const auto record = configuration::ChangeRecord(change);
  return ReportAppendResult(
    aArguments, AppendUntilConfirmed(client, id, record, deadline), id, deadline);
}

} // namespace pollenwall::tool

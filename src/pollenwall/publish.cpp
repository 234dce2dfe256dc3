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

constexpr std::chrono::milliseconds kRepeatInterval{ 250 };
constexpr std::chrono::milliseconds kPollInterval{ 100 };

/// An id that no other change has: the time and 64 random bits.
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

/// Reads the log until it succeeds or the time is up. Says once that it waits.
bool CatchUpUntil(LogClient& aClient, Clock::time_point aUntil)
{
  for (bool told = false;; told = true) {
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
    if (!told) {
      PrintFailure("the log service does not answer, waiting: " + failure);
    }
    if (Clock::now() + kRepeatInterval > aUntil) {
      return false;
    }
    std::this_thread::sleep_for(kRepeatInterval);
  }
}

/// What became of a record.
struct Fate
{
  std::optional<configuration::Outcome> mOutcome; ///< As every reader of the log judges it.
  bool mRefused = false;                          ///< The log service will not take the record.
  bool mMayTakeEffect = false; ///< An append without an answer; its outcome is not known yet.
};

/// Appends the record until its outcome has been read from the log. A repeated record has the same
/// id, so that it takes effect at most once.
Fate AppendUntilKnown(LogClient& aClient,
                      const std::string& aId,
                      const std::string& aRecord,
                      Clock::time_point aUntil)
{
  Fate fate;
  for (;;) {
    Try<std::uint64_t>([&] { return Append(aClient, aRecord); },
                       [&](const Error& aError) {
                         const bool notRun = aError.mVerdict == Verdict::NotRun;
                         fate.mRefused = notRun && aError.mCode == ErrorCode::BadRequest;
                         fate.mMayTakeEffect |= !notRun;
                         PrintFailure(std::string(fate.mRefused
                                                    ? "the append was refused: "
                                                    : "the append was not confirmed: ") +
                                      aError.mMessage);
                       });
    if (fate.mRefused || !CatchUpUntil(aClient, aUntil)) {
      return fate;
    }
    if (const auto it = aClient.mOutcomes.find(aId); it != aClient.mOutcomes.end()) {
      fate.mOutcome = it->second;
      return fate;
    }
    if (Clock::now() + kRepeatInterval > aUntil) {
      return fate;
    }
    std::this_thread::sleep_for(kRepeatInterval);
  }
}

/// Takes a snapshot from an entry when the log has dropped the records to start from.
void AdoptFromEntries(const Arguments& aArguments, LogClient& aClient, Clock::time_point aUntil)
{
  for (const auto& entry : aArguments.mEntries) {
    const auto snapshot =
      Try<std::string>([&] { return GetSnapshot(aArguments, entry); },
                       [](const Error& aError) { PrintFailure(aError.mMessage); });
    if (snapshot) {
      configuration::AdoptSnapshot(aClient.mLog, *snapshot);
    }
  }
  CatchUpUntil(aClient, aUntil);
}

/// Lists what a change does, one line an item.
void PrintChange(const configuration::Change& aChange)
{
  for (const auto& [key, text] : aChange.mPuts) {
    std::cout << "put " << key << " " << text << "\n";
  }
  for (const auto& key : aChange.mDeletes) {
    std::cout << "delete " << key << "\n";
  }
}

/// What the entries say about a version at one moment.
struct Progress
{
  std::string mBehind;   ///< One line for each entry to wait for.
  std::string mNotReady; ///< One line for each entry that is not ready and so not waited for.
  std::size_t mInForce = 0;
};

/// Asks the entries. An entry that cannot be reached may be ready, so it is waited for. Ready
/// entries that were not asked are judged by the heartbeats that those asked received.
Progress AskEntries(const Arguments& aArguments, Version aVersion)
{
  Progress progress;
  std::set<std::string> asked;
  std::map<std::string, PeerStatus> heard;
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
    asked.insert(status->mIncarnation);
    for (const auto& peer : status->mPeers) {
      auto& last = heard.emplace(peer.mIncarnation, peer).first->second;
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
  for (const auto& [incarnation, peer] : heard) {
    if (!peer.mReady || asked.contains(incarnation)) {
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

/// Waits until every ready entry, and at least one, reports the version.
int WaitUntilInForce(const Arguments& aArguments, Version aVersion, Clock::time_point aUntil)
{
  for (;;) {
    const auto progress = AskEntries(aArguments, aVersion);
    if (progress.mBehind.empty() && progress.mInForce > 0) {
      std::cerr << progress.mNotReady;
      std::cout << "version " << aVersion << " is in force, entries: " << progress.mInForce << "\n";
      return kDone;
    }
    if (Clock::now() + kPollInterval > aUntil) {
      std::cerr << progress.mBehind << progress.mNotReady;
      PrintFailure("version " + std::to_string(aVersion) +
                   " is accepted but not in force everywhere at the end of --timeout");
      return kNotInForce;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

int ReportFate(const Arguments& aArguments,
               const Fate& aFate,
               const std::string& aId,
               Clock::time_point aUntil)
{
  if (!aFate.mOutcome) {
    PrintFailure(aFate.mMayTakeEffect
                   ? "it is not known whether change " + aId +
                       " takes effect; run the same command with --id=" + aId + " to find out"
                   : "nothing was appended");
    return kFailed;
  }
  const auto version = aFate.mOutcome->mVersion;
  switch (aFate.mOutcome->mKind) {
    case OutcomeKind::Accepted:
    case OutcomeKind::Duplicate:
      std::cout << "version " << version << " accepted, change " << aId << "\n";
      return aArguments.mWait ? WaitUntilInForce(aArguments, version, aUntil) : kDone;
    case OutcomeKind::LostRace:
      PrintFailure("change " + aId + " lost the race against version " + std::to_string(version) +
                   "; nothing was changed. Look at it with 'pollenwall show' and publish again");
      return kLostRace;
    default:
      PrintProblems({ aId, aFate.mOutcome->mProblems });
      PrintFailure("change " + aId + " is invalid; nothing was changed");
      return kFault;
  }
}

/// Appends the whole configuration as a restore record, when the log has none to start from.
int Restore(const Arguments& aArguments,
            LogClient& aClient,
            const configuration::Configuration& aWanted,
            const std::string& aId,
            Clock::time_point aUntil)
{
  if (aClient.mLog.mExact) {
    PrintFailure("the log holds version " + std::to_string(configuration::VersionOf(aClient.mLog)) +
                 "; publish without --restore");
    return kFault;
  }
  const auto record = configuration::RestoreRecord(aWanted, aId, aClient.mLog.mNext);
  return ReportFate(aArguments, AppendUntilKnown(aClient, aId, record, aUntil), aId, aUntil);
}

} // namespace

int Publish(const Arguments& aArguments)
{
  const auto until = Clock::now() + aArguments.mTimeout;
  const auto text = ReadFile(aArguments.mFile);
  if (!text) {
    return kFault;
  }
  yaml::Report report{ aArguments.mFile, {} };
  const auto wanted = configuration::ParseDocument(report, *text);
  if (PrintProblems(report)) {
    return kFault;
  }
  LogClient client;
  client.mServer = *aArguments.mLog;
  client.mTimeout = std::min(client.mTimeout, aArguments.mTimeout);
  if (!CatchUpUntil(client, until)) {
    PrintFailure("the log service does not answer; nothing was appended");
    return kFailed;
  }
  if (!client.mLog.mExact) {
    AdoptFromEntries(aArguments, client, until);
  }
  const auto id = aArguments.mId.empty() ? MakeId() : aArguments.mId;
  // A run that ended without an answer may have appended the change.
  if (const auto it = client.mOutcomes.find(id); it != client.mOutcomes.end()) {
    std::cout << "change " << id << " was appended before\n";
    return ReportFate(aArguments, { it->second }, id, until);
  }
  if (aArguments.mRestore) {
    return Restore(aArguments, client, wanted, id, until);
  }
  if (!client.mLog.mExact) {
    PrintFailure("the log no longer holds a snapshot to start from; name --entries that hold the "
                 "configuration, or use --restore when none does");
    return kFailed;
  }
  const auto change = configuration::MakeChange(*client.mLog.mConfiguration, wanted, id);
  if (aArguments.mDryRun) {
    PrintChange(change);
    return kDone;
  }
  if (change.mPuts.empty() && change.mDeletes.empty()) {
    const auto version = configuration::VersionOf(client.mLog);
    std::cout << "version " << version << " already holds this configuration\n";
    return aArguments.mWait ? WaitUntilInForce(aArguments, version, until) : kDone;
  }
  const auto record = configuration::ChangeRecord(change);
  return ReportFate(aArguments, AppendUntilKnown(client, id, record, until), id, until);
}

} // namespace pollenwall::tool

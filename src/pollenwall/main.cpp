#include <iostream>
#include <string_view>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage_config.h>
#include <absl/time/time.h>

#include "commands.h"

ABSL_FLAG(std::string, log, "", "log service, IP:PORT");
ABSL_FLAG(std::vector<std::string>, entries, {}, "operators' addresses of entries, IP:PORT,...");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(30), "time for the whole command");
ABSL_FLAG(bool, wait, false, "publish: wait until in force; drain: wait until stopped");
ABSL_FLAG(bool, restore, false, "publish: write the whole file although the log holds no snapshot");
ABSL_FLAG(bool, dry_run, false, "publish: print the change and append nothing");
ABSL_FLAG(bool, settings, false, "check: the file holds settings of an entry");
ABSL_FLAG(std::string, id, "", "publish: id of the change; generated when empty");
ABSL_FLAG(std::string, certificate, "", "PEM file shown to entries");
ABSL_FLAG(std::string, key, "", "PEM file of the certificate's key");
ABSL_FLAG(std::string, authority, "", "PEM file of the authority that signs certificates");

namespace {

using namespace pollenwall;
using namespace pollenwall::tool;

constexpr std::string_view kHelp = R"(Usage: pollenwall COMMAND [ARGUMENT] [--FLAG=VALUE ...]

Commands, each with an example:
  check FILE      report every fault of a configuration, or of an entry's settings
                    pollenwall check examples/ngata-whitcombe.yaml
                    pollenwall check examples/entry.yaml --settings
  show            print the configuration in force and its version
                    pollenwall show --log=127.0.0.1:9001
                    pollenwall show --entries=127.0.0.1:8081
  publish FILE    append the difference between the file and the version in force as one change
                    pollenwall publish wind.yaml --log=127.0.0.1:9001
                    pollenwall publish wind.yaml --log=127.0.0.1:9001 --dry_run
                    pollenwall publish wind.yaml --log=127.0.0.1:9001 --wait
                      --entries=127.0.0.1:8081,127.0.0.1:8181 --timeout=10s
  status          print the status of entries, one line of JSON each
                    pollenwall status --entries=127.0.0.1:8081,127.0.0.1:8181
  dump            print the whole state of entries as JSON
                    pollenwall dump --entries=127.0.0.1:8081
  drain ENTRY     let an entry finish its work and stop
                    pollenwall drain 127.0.0.1:8081 --wait

Flags:
  --log=IP:PORT            log service
  --entries=IP:PORT,...    operators' addresses of entries
  --timeout=30s            time for the whole command
  --wait                   publish: return when every ready entry reports the version, or say which
                           ones do not; drain: return when the entry has stopped
  --dry_run                publish: print the change and append nothing
  --id=ID                  publish: id of the change; repeat a command under its id to learn what
                           became of an append whose answer was lost
  --restore                publish: write the whole file when the log has dropped every record from
                           which a reader could start and no entry holds the configuration
  --settings               check: the file holds settings of an entry
  --certificate=FILE --key=FILE --authority=FILE
                           TLS to entries; without them connections are plain
  --help, --version

Exit codes: 0 done; 1 a service did not answer or refused; 2 a fault in a file or an argument;
3 lost the race against another change, nothing was changed; 4 accepted, but not in force in time.
)";

struct Command
{
  std::string_view mName;
  int (*mRun)(const Arguments&);
  bool mTakesArgument;
  bool mNeedsLog;
  bool mNeedsEntry;
};

constexpr Command kCommands[] = {
  { "check", Check, true, false, false },    { "show", Show, false, false, false },
  { "publish", Publish, true, true, false }, { "status", Status, false, false, true },
  { "dump", Dump, false, false, true },      { "drain", Drain, true, false, false },
};

int PrintUsageError(const std::string& aMessage)
{
  std::cerr << "pollenwall: " << aMessage << "\nTry 'pollenwall --help'.\n";
  return kInvalidInput;
}

/// Parses an endpoint and adds it. Prints a usage error and returns false if the text is malformed.
bool AddEndpoint(std::string_view aArgumentName,
                 const std::string& aText,
                 std::vector<settings::Endpoint>& aEndpoints)
{
  const auto endpoint = settings::ParseEndpoint(aText);
  if (!endpoint) {
    PrintUsageError(std::string(aArgumentName) + ": found '" + aText +
                    "'; allowed: IP:PORT with an IP number and a port from 1 to 65535");
    return false;
  }
  aEndpoints.push_back(*endpoint);
  return true;
}

bool ReadFlags(Arguments& aArguments)
{
  std::vector<settings::Endpoint> logs;
  if (const auto log = absl::GetFlag(FLAGS_log); !log.empty() && !AddEndpoint("--log", log, logs)) {
    return false;
  }
  if (!logs.empty()) {
    aArguments.mLog = logs.front();
  }
  for (const auto& entry : absl::GetFlag(FLAGS_entries)) {
    if (!AddEndpoint("--entries", entry, aArguments.mEntries)) {
      return false;
    }
  }
  aArguments.mTls.mCertificateFile = absl::GetFlag(FLAGS_certificate);
  aArguments.mTls.mKeyFile = absl::GetFlag(FLAGS_key);
  aArguments.mTls.mAuthorityFile = absl::GetFlag(FLAGS_authority);
  const auto files = static_cast<int>(!aArguments.mTls.mCertificateFile.empty()) +
                     static_cast<int>(!aArguments.mTls.mKeyFile.empty()) +
                     static_cast<int>(!aArguments.mTls.mAuthorityFile.empty());
  aArguments.mTls.mEnabled = files > 0;
  if (files != 0 && files != 3) {
    PrintUsageError("--certificate, --key and --authority are given together or not at all");
    return false;
  }
  aArguments.mTimeout = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_timeout));
  if (aArguments.mTimeout < std::chrono::milliseconds(1) ||
      aArguments.mTimeout > std::chrono::hours(24)) {
    PrintUsageError("--timeout: found " + absl::FormatDuration(absl::GetFlag(FLAGS_timeout)) +
                    "; allowed: 1ms to 24h");
    return false;
  }
  aArguments.mId = absl::GetFlag(FLAGS_id);
  aArguments.mWait = absl::GetFlag(FLAGS_wait);
  aArguments.mRestore = absl::GetFlag(FLAGS_restore);
  aArguments.mDryRun = absl::GetFlag(FLAGS_dry_run);
  aArguments.mSettings = absl::GetFlag(FLAGS_settings);
  return true;
}

int Run(const Command& aCommand, const std::vector<char*>& aPositional)
{
  Arguments arguments;
  if (!ReadFlags(arguments)) {
    return kInvalidInput;
  }
  const std::string name(aCommand.mName);
  const std::size_t expectedCount = aCommand.mTakesArgument ? 3 : 2;
  if (aPositional.size() != expectedCount) {
    return PrintUsageError(
      name + (aCommand.mTakesArgument ? " takes one argument" : " takes no argument"));
  }
  if (aCommand.mRun == Drain) {
    arguments.mEntries.clear();
    if (!AddEndpoint("drain", aPositional[2], arguments.mEntries)) {
      return kInvalidInput;
    }
  } else if (aCommand.mTakesArgument) {
    arguments.mFile = aPositional[2];
  }
  if (aCommand.mNeedsLog && !arguments.mLog) {
    return PrintUsageError(name + " needs --log");
  }
  if (aCommand.mNeedsEntry && arguments.mEntries.empty()) {
    return PrintUsageError(name + " needs --entries");
  }
  if (aCommand.mRun == Show && !arguments.mLog && arguments.mEntries.empty()) {
    return PrintUsageError("show needs --log or --entries");
  }
  if (aCommand.mRun == Publish && arguments.mWait && arguments.mEntries.empty()) {
    return PrintUsageError("publish --wait needs --entries");
  }
  return aCommand.mRun(arguments);
}

} // namespace

int main(int aCount, char** aArguments)
{
  // Abseil's own --help exits with code 1 and lists only the flags.
  for (int n = 1; n < aCount; ++n) {
    const std::string_view argument(aArguments[n]);
    if (argument == "--help" || argument == "-h" || argument == "-help") {
      std::cout << kHelp;
      return kSuccess;
    }
  }
  absl::FlagsUsageConfig usage;
  usage.version_string = [] { return std::string("pollenwall " POLLENWALL_VERSION "\n"); };
  absl::SetFlagsUsageConfig(usage);
  const auto positional = absl::ParseCommandLine(aCount, aArguments);
  if (positional.size() < 2) {
    return PrintUsageError("a command is missing");
  }
  std::string commandNames;
  for (const auto& command : kCommands) {
    if (command.mName == positional[1]) {
      return Run(command, positional);
    }
    commandNames.append(commandNames.empty() ? "" : ", ").append(command.mName);
  }
  return PrintUsageError(std::string("unknown command '") + positional[1] +
                         "'; allowed: " + commandNames);
}

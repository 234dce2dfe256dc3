#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <pollenwall/settings.h>

/// Subcommands of the operators' tool. Results go to standard output, errors to standard error.
namespace pollenwall::tool {

// Exit codes, as documented by --help.
inline constexpr int kSuccess = 0;
inline constexpr int kFailed = 1;       ///< A service could not be reached, or refused the request.
inline constexpr int kInvalidInput = 2; ///< An error in the input or the arguments.
inline constexpr int kLostRace = 3;     ///< Another change was accepted first; nothing was changed.
inline constexpr int kNotInForce = 4;   ///< The change was accepted, but --wait ran out of time.

struct Arguments
{
  std::string mFile;
  std::optional<settings::Endpoint> mLog;
  std::vector<settings::Endpoint> mEntries; ///< Operators' addresses.
  settings::Tls mTls;                       ///< For connections to entries.
  std::chrono::milliseconds mTimeout{ 30000 };
  std::string mId; ///< Id of the change; empty to generate one.
  bool mWait = false;
  bool mRestore = false;
  bool mDryRun = false;
  bool mSettings = false;
};

int Check(const Arguments& aArguments);
int Show(const Arguments& aArguments);
int Publish(const Arguments& aArguments);
int Status(const Arguments& aArguments);
int Dump(const Arguments& aArguments);
int Drain(const Arguments& aArguments);

} // namespace pollenwall::tool

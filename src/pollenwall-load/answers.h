#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <pollenwall/verdict.h>

/// Checks of answers: their format, the echoed key of each task, and their verdicts against the
/// workers' counts.
namespace pollenwall::load {

enum class Outcome
{
  Complete,
  Failed,    ///< A failed job with a verdict for each task.
  Refused,   ///< An error without task verdicts.
  Malformed, ///< Not a valid answer of the caller API.
};

struct ParsedAnswer
{
  Outcome mOutcome = Outcome::Malformed;
  Verdict mVerdict = Verdict::MayHaveRun;
  std::string mCode; ///< Empty when the job is complete.
  std::string mId;
  std::vector<Verdict> mTasks; ///< Empty for a refusal.
  bool mWrongResult = false;   ///< A result is missing, unexpected or not the echo of its own task.
  std::int64_t mRetryAfterMs = 0;
};

/// Parses and checks the answer to job aJob of run aRun, which was submitted with aTasks tasks.
ParsedAnswer CheckAnswer(unsigned aStatus,
                         std::string_view aBody,
                         std::uint64_t aRun,
                         std::uint64_t aJob,
                         std::size_t aTasks);

/// What the answers to one job reported about its tasks; several copies may have been answered.
struct Claims
{
  std::uint64_t mJob = 0;
  bool mComplete = false;
  bool mNotRun = false; ///< An answer reported that no task of the job started.
  bool mRan = false;    ///< An answer reported that a task of the job started.
  std::uint32_t mSize = 0;
  std::vector<std::uint8_t> mTasks; ///< Bits kClaimedNotRun and kClaimedRan per task, or empty.
};

constexpr std::uint8_t kClaimedNotRun = 1;
constexpr std::uint8_t kClaimedRan = 2;

/// Adds the claims of one answer.
void AddClaims(Claims& aClaims, const ParsedAnswer& aAnswer);

/// Counts the claims that contradict the starts of each task, as counted by the workers.
std::uint64_t CountWrongClaims(const Claims& aClaims, const std::vector<std::uint32_t>& aStarts);

} // namespace pollenwall::load

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <pollenwall/verdict.h>

/// Checks of answers: their form, the echo of each task, and verdicts against the workers' counts.
namespace pollenwall::load {

enum class Outcome
{
  Complete,
  Failed,    ///< A failed job with a verdict per task.
  Refused,   ///< An error without tasks.
  Malformed, ///< No answer of the caller API.
};

struct ReadAnswer
{
  Outcome mOutcome = Outcome::Malformed;
  Verdict mVerdict = Verdict::MayHaveRun;
  std::string mCode; ///< Empty when the job is complete.
  std::string mId;
  std::vector<Verdict> mTasks; ///< Empty for a refusal.
  bool mWrongResult = false;   ///< A result is not the echo of its own task, or one is missing.
  std::int64_t mRetryAfterMs = 0;
};

/// Reads the answer to the job of that number and run, submitted with that many tasks.
ReadAnswer CheckAnswer(unsigned aStatus,
                       std::string_view aBody,
                       std::uint64_t aRun,
                       std::uint64_t aJob,
                       std::size_t aTasks);

/// What answers of one job claimed about its tasks; several copies may have been answered.
struct Claims
{
  std::uint64_t mJob = 0;
  bool mComplete = false;
  bool mNotRun = false; ///< The whole job: no task started.
  bool mRan = false;    ///< The whole job: a task started.
  std::uint32_t mSize = 0;
  std::vector<std::uint8_t> mTasks; ///< Bits of kClaimedNotRun and kClaimedRan.
};

constexpr std::uint8_t kClaimedNotRun = 1;
constexpr std::uint8_t kClaimedRan = 2;

/// Adds what one answer claims.
void AddClaims(Claims& aClaims, const ReadAnswer& aAnswer);

/// Counts the claims that the starts of each task, as counted by the workers, show to be wrong.
std::uint64_t WrongClaims(const Claims& aClaims, const std::vector<std::uint32_t>& aStarts);

} // namespace pollenwall::load

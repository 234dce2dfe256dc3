#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <pollenwall/time.h>

namespace pollenwall {

/// Identifies one run of an entry process; a restart on the same address has a new incarnation. The
/// upper 44 bits are the start time in Unix milliseconds, the lower 20 bits are random, so a later
/// start sorts higher.
struct Incarnation
{
  std::uint64_t mValue = 0;

  friend auto operator<=>(const Incarnation&, const Incarnation&) = default;
};

/// Makes an incarnation from the start time and 20 random bits.
Incarnation MakeIncarnation(UnixMs aStart, std::uint32_t aRandom);

/// Returns the start time in an incarnation.
UnixMs StartOf(Incarnation aIncarnation);

/// Returns sixteen lower-case hexadecimal digits.
std::string ToString(Incarnation aIncarnation);
std::optional<Incarnation> ParseIncarnation(std::string_view aText);

/// The parts of a job id minted by an entry: "pw-DC-INCARNATION-SEQUENCE".
struct MintedId
{
  std::string mDataCentre;
  Incarnation mIncarnation;
  std::uint64_t mSequence = 0;

  friend auto operator<=>(const MintedId&, const MintedId&) = default;
};

/// The parts of a job id chosen by a caller: "HOME:KEY". HOME is a data centre; KEY has 1 to 128
/// characters of [A-Za-z0-9._-].
struct CallerId
{
  std::string mHome;
  std::string mKey;

  friend auto operator<=>(const CallerId&, const CallerId&) = default;
};

std::string ToString(const MintedId& aId);
std::string ToString(const CallerId& aId);

/// Return nullopt when the text is not an id of that form.
std::optional<MintedId> ParseMintedId(std::string_view aText);
std::optional<CallerId> ParseCallerId(std::string_view aText);

/// One task of a job: the job's id and the task's index in the job, from 0.
struct TaskId
{
  std::string mJob;
  std::uint32_t mIndex = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

/// Returns "JOB/INDEX".
std::string ToString(const TaskId& aId);
std::optional<TaskId> ParseTaskId(std::string_view aText);

} // namespace pollenwall

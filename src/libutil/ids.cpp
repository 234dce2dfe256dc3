#include <pollenwall/ids.h>

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace pollenwall {
namespace {

constexpr int kIncarnationRandomBits = 20;
constexpr std::string_view kMintedPrefix = "pw-";
constexpr std::size_t kMaxKeyLength = 128;
constexpr std::size_t kIncarnationDigits = 16;

bool IsKeyCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '.' || aCharacter == '_' ||
         aCharacter == '-';
}

bool IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxKeyLength &&
         std::all_of(aText.begin(), aText.end(), IsKeyCharacter);
}

template<typename Number>
std::optional<Number> ParseNumber(std::string_view aText, int aBase)
{
  Number n = 0;
  const auto [end, ec] = std::from_chars(aText.data(), aText.data() + aText.size(), n, aBase);
  if (ec != std::errc() || end != aText.data() + aText.size() || aText.empty()) {
    return std::nullopt;
  }
  return n;
}

} // namespace

Incarnation MakeIncarnation(UnixMs aStart, std::uint32_t aRandom)
{
  const auto start = static_cast<std::uint64_t>(aStart) << kIncarnationRandomBits;
  return Incarnation{ start | (aRandom & ((1U << kIncarnationRandomBits) - 1)) };
}

UnixMs StartOf(Incarnation aIncarnation)
{
  return static_cast<UnixMs>(aIncarnation.mValue >> kIncarnationRandomBits);
}

std::string ToString(Incarnation aIncarnation)
{
  char buf[kIncarnationDigits + 1];
  std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(aIncarnation.mValue));
  return buf;
}

std::optional<Incarnation> ParseIncarnation(std::string_view aText)
{
  if (aText.size() != kIncarnationDigits) {
    return std::nullopt;
  }
  const auto n = ParseNumber<std::uint64_t>(aText, 16);
  return n ? std::optional(Incarnation{ *n }) : std::nullopt;
}

std::string ToString(const MintedId& aId)
{
  return std::string(kMintedPrefix) + aId.mDataCentre + "-" + ToString(aId.mIncarnation) + "-" +
         std::to_string(aId.mSequence);
}

std::string ToString(const CallerId& aId)
{
  return aId.mHome + ":" + aId.mKey;
}

std::optional<MintedId> ParseMintedId(std::string_view aText)
{
  if (!aText.starts_with(kMintedPrefix)) {
    return std::nullopt;
  }
  aText.remove_prefix(kMintedPrefix.size());
  // The name of a data centre may contain hyphens, so the text is split from its end.
  const auto sequenceHyphen = aText.rfind('-');
  if (sequenceHyphen == std::string_view::npos || sequenceHyphen == 0) {
    return std::nullopt;
  }
  const auto incarnationHyphen = aText.rfind('-', sequenceHyphen - 1);
  if (incarnationHyphen == std::string_view::npos) {
    return std::nullopt;
  }
  const auto dataCentre = aText.substr(0, incarnationHyphen);
  const auto incarnation =
    ParseIncarnation(aText.substr(incarnationHyphen + 1, sequenceHyphen - incarnationHyphen - 1));
  const auto sequence = ParseNumber<std::uint64_t>(aText.substr(sequenceHyphen + 1), 10);
  if (!IsName(dataCentre) || !incarnation || !sequence) {
    return std::nullopt;
  }
  return MintedId{ std::string(dataCentre), *incarnation, *sequence };
}

std::optional<CallerId> ParseCallerId(std::string_view aText)
{
  const auto colon = aText.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto home = aText.substr(0, colon);
  const auto key = aText.substr(colon + 1);
  if (!IsName(home) || !IsName(key)) {
    return std::nullopt;
  }
  return CallerId{ std::string(home), std::string(key) };
}

std::string ToString(const TaskId& aId)
{
  return aId.mJob + "/" + std::to_string(aId.mIndex);
}

std::optional<TaskId> ParseTaskId(std::string_view aText)
{
  const auto slash = aText.rfind('/');
  if (slash == std::string_view::npos || slash == 0) {
    return std::nullopt;
  }
  const auto index = ParseNumber<std::uint32_t>(aText.substr(slash + 1), 10);
  if (!index) {
    return std::nullopt;
  }
  return TaskId{ std::string(aText.substr(0, slash)), *index };
}

} // namespace pollenwall

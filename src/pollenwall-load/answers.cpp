#include "answers.h"

#include <algorithm>

#include <boost/json.hpp>

#include "plan.h"

namespace pollenwall::load {
namespace {

namespace json = boost::json;

std::string_view TextOf(const json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  return value != nullptr && value->is_string() ? std::string_view(value->get_string())
                                                : std::string_view();
}

} // namespace

ParsedAnswer CheckAnswer(unsigned aStatus,
                         std::string_view aBody,
                         std::uint64_t aRun,
                         std::uint64_t aJob,
                         std::size_t aTasks)
{
  ParsedAnswer answer;
  unsigned char buf[8192];
  json::monotonic_resource memory(buf, sizeof buf);
  boost::system::error_code ec;
  const auto value = json::parse(aBody, ec, &memory);
  if (ec || !value.is_object()) {
    return answer;
  }
  const auto& object = value.get_object();
  const auto verdict = ParseVerdict(TextOf(object, "verdict"));
  if (!verdict) {
    return answer;
  }
  answer.mVerdict = *verdict;
  answer.mCode = TextOf(object, "code");
  answer.mId = TextOf(object, "id");
  if (const auto* wait = object.if_contains("retry_after_ms");
      wait != nullptr && wait->is_int64()) {
    answer.mRetryAfterMs = wait->get_int64();
  }
  const auto state = TextOf(object, "state");
  const auto* tasks = object.if_contains("tasks");
  if (state.empty()) {
    const bool refused = aStatus >= 400 && ParseErrorCode(answer.mCode).has_value();
    answer.mOutcome = refused ? Outcome::Refused : Outcome::Malformed;
    return answer;
  }
  if (tasks == nullptr || !tasks->is_array() || tasks->get_array().size() != aTasks ||
      (state != "complete" && state != "failed")) {
    return answer;
  }
  const bool complete = state == "complete";
  std::size_t index = 0;
  for (const auto& element : tasks->get_array()) {
    if (!element.is_object()) {
      return answer;
    }
    const auto& task = element.get_object();
    const auto taskVerdict = ParseVerdict(TextOf(task, "verdict"));
    const auto* position = task.if_contains("index");
    if (!taskVerdict || position == nullptr || !position->is_number() ||
        position->to_number<std::size_t>(ec) != index) {
      return answer;
    }
    answer.mTasks.push_back(*taskVerdict);
    const auto echo = "{\"echo\":\"" + TaskKey(aRun, aJob, index) + "\"}";
    const auto result = TextOf(task, "result");
    // The answer to a failed job must hold no results.
    if (complete ? result != echo : task.contains("result")) {
      answer.mWrongResult = true;
    }
    ++index;
  }
  if (aStatus != 200) {
    return answer;
  }
  answer.mOutcome = complete ? Outcome::Complete : Outcome::Failed;
  return answer;
}

void AddClaims(Claims& aClaims, const ParsedAnswer& aAnswer)
{
  aClaims.mComplete |= aAnswer.mOutcome == Outcome::Complete;
  aClaims.mNotRun |= aAnswer.mVerdict == Verdict::NotRun;
  aClaims.mRan |= aAnswer.mVerdict == Verdict::Ran;
  const auto& tasks = aAnswer.mTasks;
  if (tasks.size() != aClaims.mSize) {
    return;
  }
  // mComplete covers all tasks, so that most jobs need no list per task.
  if (aClaims.mComplete &&
      std::all_of(tasks.begin(), tasks.end(), [](Verdict aIt) { return aIt == Verdict::Ran; })) {
    return;
  }
  aClaims.mTasks.resize(aClaims.mSize);
  for (std::size_t n = 0; n < aClaims.mSize; ++n) {
    const auto verdict = aAnswer.mTasks[n];
    aClaims.mTasks[n] |= verdict == Verdict::NotRun ? kClaimedNotRun
                         : verdict == Verdict::Ran  ? kClaimedRan
                                                    : 0;
  }
}

std::uint64_t CountWrongClaims(const Claims& aClaims, const std::vector<std::uint32_t>& aStarts)
{
  std::uint64_t wrong = 0;
  bool anyStarted = false;
  for (std::size_t n = 0; n < aStarts.size(); ++n) {
    const bool ran = aStarts[n] > 0;
    anyStarted |= ran;
    const auto claimed = n < aClaims.mTasks.size() ? aClaims.mTasks[n] : 0;
    const bool wrongNotRun = ran && (claimed & kClaimedNotRun) != 0;
    const bool wrongRan = !ran && (aClaims.mComplete || (claimed & kClaimedRan) != 0);
    wrong += wrongNotRun || wrongRan ? 1 : 0;
  }
  if (wrong == 0 && ((aClaims.mNotRun && anyStarted) || (aClaims.mRan && !anyStarted))) {
    ++wrong;
  }
  return wrong;
}

} // namespace pollenwall::load

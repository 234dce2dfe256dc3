#include "caller_json.h"

#include <array>
#include <optional>

#include <boost/json.hpp>
#include <boost/leaf/error.hpp>

#include <pollenwall/hash.h>

namespace pollenwall::daemon {
namespace {

namespace json = boost::json;

/// One day. Longer declared run times and deadlines are most likely in the wrong unit.
constexpr std::int64_t kMaxDurationMs = 86'400'000;
constexpr std::int64_t kMaxUnixMs = 253'402'300'799'999; ///< The last millisecond of year 9999.
constexpr std::int64_t kMaxCores = 1 << 16;
constexpr std::int64_t kMaxMemoryBytes = std::int64_t{ 1 } << 50;

/// Reads the members of one JSON object and keeps the first error.
struct ObjectReader
{
  const json::object& mObject;
  std::string mPath; ///< Prefix of names in messages, for example "tasks[3].".
  std::optional<Error>& mError;
  std::size_t mReadCount = 0; ///< Number of requested members that were present.

  void Fail(ErrorCode aCode, std::string aMessage)
  {
    if (!mError) {
      mError = Error{ aCode, Verdict::NotRun, std::move(aMessage), {} };
    }
  }

  const json::value* Get(std::string_view aKey, bool aRequired)
  {
    const auto* value = mObject.if_contains(aKey);
    if (value != nullptr) {
      ++mReadCount;
    } else if (aRequired) {
      Fail(ErrorCode::BadRequest, mPath + std::string(aKey) + " is missing");
    }
    return value;
  }

  std::string Text(std::string_view aKey, bool aRequired, std::size_t aMaxBytes)
  {
    const auto* value = Get(aKey, aRequired);
    if (value == nullptr) {
      return "";
    }
    const auto* text = value->if_string();
    if (text == nullptr) {
      Fail(ErrorCode::BadRequest, mPath + std::string(aKey) + " is not a string");
      return "";
    }
    if (text->size() > aMaxBytes) {
      Fail(ErrorCode::TooLarge,
           mPath + std::string(aKey) + " exceeds " + std::to_string(aMaxBytes) + " bytes");
      return "";
    }
    return std::string(text->data(), text->size());
  }

  bool Bool(std::string_view aKey, std::optional<bool> aDefault)
  {
    const auto* value = Get(aKey, !aDefault);
    if (value == nullptr) {
      return aDefault.value_or(false);
    }
    if (!value->is_bool()) {
      Fail(ErrorCode::BadRequest, mPath + std::string(aKey) + " is neither true nor false");
      return false;
    }
    return value->get_bool();
  }

  std::int64_t Integer(std::string_view aKey,
                       std::int64_t aMin,
                       std::int64_t aMax,
                       std::optional<std::int64_t> aDefault)
  {
    const auto* value = Get(aKey, !aDefault);
    if (value == nullptr) {
      return aDefault.value_or(aMin);
    }
    boost::system::error_code ec;
    const auto n = value->is_number() ? value->to_number<std::int64_t>(ec) : 0;
    if (!value->is_number() || ec || n < aMin || n > aMax) {
      Fail(ErrorCode::BadRequest,
           mPath + std::string(aKey) + " is not an integer from " + std::to_string(aMin) + " to " +
             std::to_string(aMax));
      return aMin;
    }
    return n;
  }

  void RefuseUnknownKeys(std::initializer_list<std::string_view> aKnown)
  {
    if (mReadCount == mObject.size()) {
      return;
    }
    for (const auto& member : mObject) {
      const std::string_view key(member.key().data(), member.key().size());
      if (std::find(aKnown.begin(), aKnown.end(), key) == aKnown.end()) {
        Fail(ErrorCode::BadRequest, mPath + std::string(key.substr(0, 64)) + " is not a known key");
      }
    }
  }
};

TaskSpec ReadTask(const json::value& aValue, std::size_t aIndex, std::optional<Error>& aError)
{
  TaskSpec task;
  const auto path = "tasks[" + std::to_string(aIndex) + "]";
  const auto* object = aValue.if_object();
  if (object == nullptr) {
    if (!aError) {
      aError = Error{ ErrorCode::BadRequest, Verdict::NotRun, path + " is not an object", {} };
    }
    return task;
  }
  ObjectReader reader{ *object, path + ".", aError };
  task.mPayload = reader.Text("payload", true, std::string::npos);
  task.mDeclaredRunTime =
    std::chrono::milliseconds(reader.Integer("declared_run_ms", 0, kMaxDurationMs, std::nullopt));
  task.mNeeds.mMilliCores =
    kMilliCoresPerCore * static_cast<std::uint32_t>(reader.Integer("cores", 0, kMaxCores, 0));
  task.mNeeds.mMemoryBytes =
    static_cast<std::uint64_t>(reader.Integer("memory_bytes", 0, kMaxMemoryBytes, 0));
  task.mNeeds.mAccelerators =
    static_cast<std::uint32_t>(reader.Integer("accelerators", 0, kMaxCores, 0));
  reader.RefuseUnknownKeys(
    { "payload", "declared_run_ms", "cores", "memory_bytes", "accelerators" });
  return task;
}

void HashText(std::uint64_t& aHash, std::string_view aText)
{
  aHash = Hash64(aText, aHash + aText.size());
}

/// Hashes everything that determines what the job does. `wait`, `resubmission` and `born_ms` are
/// left out because they may differ in another copy of the job.
std::uint64_t BodyHash(const JobSpec& aJob)
{
  std::uint64_t hash = 0;
  HashText(hash, aJob.mService);
  HashText(hash, aJob.mTeam);
  HashText(hash, aJob.mKind);
  const auto add = [&hash](const auto& aNumbers) {
    HashText(
      hash,
      { reinterpret_cast<const char*>(aNumbers.data()), aNumbers.size() * sizeof(std::uint64_t) });
  };
  add(std::array<std::uint64_t, 3>{ aJob.mIdempotent ? 1U : 0U,
                                    static_cast<std::uint64_t>(aJob.mDeadline.count()),
                                    aJob.mTasks.size() });
  for (const auto& task : aJob.mTasks) {
    HashText(hash, task.mPayload.Text());
    add(std::array<std::uint64_t, 4>{ static_cast<std::uint64_t>(task.mDeclaredRunTime.count()),
                                      task.mNeeds.mMilliCores,
                                      task.mNeeds.mMemoryBytes,
                                      task.mNeeds.mAccelerators });
  }
  return hash;
}

Submission ReadSubmission(const json::object& aObject,
                          const CallerLimits& aLimits,
                          std::optional<Error>& aError)
{
  Submission submission;
  auto& job = submission.mJob;
  ObjectReader reader{ aObject, "", aError };
  job.mService = reader.Text("service", true, aLimits.mMaxNameBytes);
  job.mTeam = reader.Text("team", true, aLimits.mMaxNameBytes);
  job.mKind = reader.Text("kind", true, aLimits.mMaxNameBytes);
  const bool hasId = aObject.if_contains("id") != nullptr;
  // HOME, a colon and a key of up to 128 characters.
  job.mId = reader.Text("id", false, 2 * aLimits.mMaxNameBytes + 1);
  if (hasId && !aError && !ParseCallerId(job.mId)) {
    reader.Fail(ErrorCode::BadRequest, "id is not of the form HOME:KEY");
  }
  job.mBornMs = reader.Integer("born_ms", 0, kMaxUnixMs, 0);
  if (hasId && aObject.if_contains("born_ms") == nullptr) {
    reader.Fail(ErrorCode::BadRequest, "born_ms is missing; it is required together with id");
  }
  job.mResubmission = reader.Bool("resubmission", true);
  job.mIdempotent = reader.Bool("idempotent", std::nullopt);
  job.mDeadline =
    std::chrono::milliseconds(reader.Integer("deadline_ms", 1, kMaxDurationMs, std::nullopt));
  submission.mWait = reader.Bool("wait", std::nullopt);
  const auto* tasks = reader.Get("tasks", true);
  reader.RefuseUnknownKeys({ "service",
                             "team",
                             "kind",
                             "id",
                             "born_ms",
                             "resubmission",
                             "idempotent",
                             "deadline_ms",
                             "wait",
                             "tasks" });
  if (tasks == nullptr) {
    return submission;
  }
  const auto* list = tasks->if_array();
  if (list == nullptr || list->empty()) {
    reader.Fail(ErrorCode::BadRequest, "tasks is not a list of at least one task");
    return submission;
  }
  if (list->size() > aLimits.mMaxTasks) {
    reader.Fail(ErrorCode::TooLarge,
                "tasks has " + std::to_string(list->size()) + " elements; at most " +
                  std::to_string(aLimits.mMaxTasks) + " are allowed");
    return submission;
  }
  job.mTasks.reserve(list->size());
  for (const auto& value : *list) {
    job.mTasks.push_back(ReadTask(value, job.mTasks.size(), aError));
  }
  job.mBodyHash = BodyHash(job);
  return submission;
}

/// Returns the length of the UTF-8 sequence at the start of the text, or 0 if it is invalid.
std::size_t Utf8SequenceLength(std::string_view aText)
{
  const auto at = [aText](std::size_t aIndex) { return static_cast<unsigned char>(aText[aIndex]); };
  const unsigned char lead = at(0);
  if (lead < 0x80) {
    return 1;
  }
  const std::size_t n = lead >= 0xC2 && lead < 0xE0 ? 2 : lead < 0xF0 ? 3 : lead < 0xF5 ? 4 : 0;
  if (lead < 0xC2 || n == 0 || aText.size() < n) {
    return 0;
  }
  for (std::size_t it = 1; it < n; ++it) {
    if ((at(it) & 0xC0) != 0x80) {
      return 0;
    }
  }
  // Reject overlong forms, surrogates and code points beyond U+10FFFF.
  const unsigned char second = at(1);
  if ((lead == 0xE0 && second < 0xA0) || (lead == 0xED && second > 0x9F) ||
      (lead == 0xF0 && second < 0x90) || (lead == 0xF4 && second > 0x8F)) {
    return 0;
  }
  return n;
}

std::string_view ToString(JobState aState)
{
  switch (aState) {
    case JobState::Running:
      return "running";
    case JobState::Complete:
      return "complete";
    case JobState::Failed:
      break;
  }
  return "failed";
}

} // namespace

Result<Submission> DecodeSubmission(std::string_view aBody, const CallerLimits& aLimits)
{
  std::array<unsigned char, 4096> buf;
  json::monotonic_resource memory(buf.data(), buf.size());
  json::parse_options options;
  options.max_depth = aLimits.mMaxNesting;
  boost::system::error_code ec;
  const auto value = json::parse(aBody, ec, &memory, options);
  if (ec) {
    // The body may contain an id, in which case an intact copy of it may have been submitted.
    const bool mayHaveId = aBody.find("\"id\"") != std::string_view::npos;
    return boost::leaf::new_error(Error{ ErrorCode::BadRequest,
                                         mayHaveId ? Verdict::MayHaveRun : Verdict::NotRun,
                                         "the body is not valid JSON: " + ec.message(),
                                         {} });
  }
  const auto* object = value.if_object();
  if (object == nullptr) {
    return boost::leaf::new_error(
      Error{ ErrorCode::BadRequest, Verdict::NotRun, "the body is not a JSON object", {} });
  }
  std::optional<Error> error;
  auto submission = ReadSubmission(*object, aLimits, error);
  if (!error) {
    return submission;
  }
  const auto* resubmission = object->if_contains("resubmission");
  const bool onlyCopy =
    resubmission != nullptr && resubmission->is_bool() && !resubmission->get_bool();
  if (object->if_contains("id") != nullptr && !onlyCopy) {
    error->mVerdict = Verdict::MayHaveRun;
  }
  return boost::leaf::new_error(std::move(*error));
}

void AppendJsonString(std::string& aOut, std::string_view aText)
{
  constexpr char kHex[] = "0123456789abcdef";
  aOut += '"';
  while (!aText.empty()) {
    const auto n = Utf8SequenceLength(aText);
    const auto c = static_cast<unsigned char>(aText[0]);
    if (n == 0) {
      aOut += "\xEF\xBF\xBD";
    } else if (c == '"' || c == '\\') {
      aOut += '\\';
      aOut += aText[0];
    } else if (c < 0x20) {
      aOut += "\\u00";
      aOut += kHex[c >> 4];
      aOut += kHex[c & 15];
    } else {
      aOut += aText.substr(0, n);
    }
    aText.remove_prefix(n == 0 ? 1 : n);
  }
  aOut += '"';
}

std::string EncodeAnswer(const JobAnswer& aAnswer)
{
  std::string out = "{\"id\":";
  AppendJsonString(out, aAnswer.mId);
  out += ",\"state\":\"";
  out += ToString(aAnswer.mState);
  out += "\",\"verdict\":\"";
  out += pollenwall::ToString(aAnswer.mVerdict);
  out += "\",\"tasks\":[";
  std::size_t index = 0;
  for (const auto& task : aAnswer.mTasks) {
    out += index == 0 ? "{\"index\":" : ",{\"index\":";
    out += std::to_string(index++);
    out += ",\"verdict\":\"";
    out += pollenwall::ToString(task.mVerdict);
    out += '"';
    if (task.mCode) {
      out += ",\"code\":\"";
      out += pollenwall::ToString(*task.mCode);
      out += '"';
    }
    if (aAnswer.mState == JobState::Complete) {
      out += ",\"result\":";
      AppendJsonString(out, task.mResult);
    }
    out += '}';
  }
  out += ']';
  if (aAnswer.mError) {
    out += ",\"code\":\"";
    out += pollenwall::ToString(aAnswer.mError->mCode);
    out += "\",\"message\":";
    AppendJsonString(out, aAnswer.mError->mMessage);
    if (aAnswer.mError->mRetryAfter) {
      out += ",\"retry_after_ms\":" + std::to_string(aAnswer.mError->mRetryAfter->count());
    }
  }
  out += '}';
  return out;
}

} // namespace pollenwall::daemon

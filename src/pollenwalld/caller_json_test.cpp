#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <rapidcheck.h>

#include "caller_json.h"
#include "daemon_test.h"

namespace pollenwall::test {
namespace {

using namespace daemon;
namespace json = boost::json;

struct Decoded
{
  std::optional<Submission> mSubmission;
  Error mError;
};

Decoded Decode(std::string_view aBody, const CallerLimits& aLimits = {})
{
  Decoded decoded;
  decoded.mSubmission = boost::leaf::try_handle_all(
    [&]() -> Result<std::optional<Submission>> {
      BOOST_LEAF_AUTO(submission, DecodeSubmission(aBody, aLimits));
      return std::optional<Submission>(std::move(submission));
    },
    [&decoded](const Error& aError) {
      decoded.mError = aError;
      return std::optional<Submission>();
    },
    [] { return std::optional<Submission>(); });
  return decoded;
}

json::object ValidBody()
{
  return json::parse(R"({"service":"dispatch","team":"t1","kind":"quote","id":"north:k1",
      "born_ms":1700000000000,"resubmission":false,"idempotent":true,"deadline_ms":5000,
      "wait":true,"tasks":[{"payload":"p\u00e4\n","declared_run_ms":20,"cores":2,
      "memory_bytes":1048576,"accelerators":1},{"payload":"","declared_run_ms":0}]})")
    .as_object();
}

/// Guards against a field that is read from the wrong key or dropped.
bool ReadsEveryField()
{
  const auto decoded = Decode(json::serialize(ValidBody()));
  if (!Expect(decoded.mSubmission.has_value(), "a valid body is accepted")) {
    return false;
  }
  const auto& job = decoded.mSubmission->mJob;
  const TaskSpec first{ "p\xC3\xA4\n",
                        std::chrono::milliseconds(20),
                        { 2 * kMilliCoresPerCore, 1048576, 1 } };
  return Expect(decoded.mSubmission->mWait && job.mService == "dispatch" && job.mTeam == "t1" &&
                  job.mKind == "quote" && job.mId == "north:k1" && job.mBornMs == 1700000000000 &&
                  !job.mResubmission && job.mIdempotent &&
                  job.mDeadline == std::chrono::milliseconds(5000) && job.mTasks.size() == 2 &&
                  job.mTasks[0] == first,
                "all fields are read");
}

/// Guards against a body that is accepted with a missing, misspelt or mistyped field, and against
/// a refusal with the verdict NotRun although another copy with the same id may have run.
bool RefusesInvalidBodies()
{
  struct Case
  {
    const char* mKey;
    std::string mValue; ///< JSON text; empty removes the key.
    ErrorCode mCode;
  };
  std::string tooMany = "[{}";
  for (int n = 0; n < 190; ++n) {
    tooMany += ",{}";
  }
  const std::vector<Case> cases{
    { "service", "", ErrorCode::BadRequest },
    { "service", "7", ErrorCode::BadRequest },
    { "service", '"' + std::string(200, 's') + '"', ErrorCode::TooLarge },
    { "team", "", ErrorCode::BadRequest },
    { "kind", "", ErrorCode::BadRequest },
    { "id", R"("no-colon")", ErrorCode::BadRequest },
    { "id", R"("north:with\r\nheader")", ErrorCode::BadRequest },
    { "born_ms", "", ErrorCode::BadRequest },
    { "born_ms", "-1", ErrorCode::BadRequest },
    { "born_ms", "1e300", ErrorCode::BadRequest },
    { "resubmission", R"("false")", ErrorCode::BadRequest },
    { "resubmision", "true", ErrorCode::BadRequest },
    { "idempotent", "", ErrorCode::BadRequest },
    { "deadline_ms", "0", ErrorCode::BadRequest },
    { "deadline_ms", "1.5", ErrorCode::BadRequest },
    { "deadline_ms", "99999999999", ErrorCode::BadRequest },
    { "wait", "", ErrorCode::BadRequest },
    { "tasks", "", ErrorCode::BadRequest },
    { "tasks", "[]", ErrorCode::BadRequest },
    { "tasks", "[1]", ErrorCode::BadRequest },
    { "tasks", tooMany + "]", ErrorCode::TooLarge },
    { "tasks", R"([{"payload":"a"}])", ErrorCode::BadRequest },
    { "tasks", R"([{"payload":{},"declared_run_ms":1}])", ErrorCode::BadRequest },
    { "tasks", R"([{"payload":"","declared_run_ms":1,"core":1}])", ErrorCode::BadRequest },
    { "tasks", R"([{"payload":"","declared_run_ms":1,"cores":-1}])", ErrorCode::BadRequest },
  };
  bool passed = true;
  for (const auto& it : cases) {
    for (const bool onlyCopy : { true, false }) {
      auto body = ValidBody();
      body["resubmission"] = !onlyCopy;
      if (it.mValue.empty()) {
        body.erase(it.mKey);
      } else {
        body[it.mKey] = json::parse(it.mValue);
      }
      const auto decoded = Decode(json::serialize(body));
      const bool declaredOnly = onlyCopy && std::string_view(it.mKey) != "resubmission";
      passed &= Expect(!decoded.mSubmission && decoded.mError.mCode == it.mCode, it.mKey);
      passed &=
        Expect(decoded.mError.mVerdict == (declaredOnly ? Verdict::NotRun : Verdict::MayHaveRun),
               "the verdict of a refused copy");
    }
  }
  passed &= Expect(Decode("[1]").mError.mVerdict == Verdict::NotRun, "a body without an id");
  passed &= Expect(Decode(R"({"id":"north:k1",)").mError.mVerdict == Verdict::MayHaveRun,
                   "a damaged body with an id");
  passed &= Expect(!Decode(std::string(100000, '[')).mSubmission, "deep nesting");
  return passed;
}

/// Guards against copies of one job with different hashes, and against different jobs with the same
/// id and hash.
bool BodyHashDistinguishesJobs()
{
  const auto hash = [](const char* aKey, const json::value& aValue) {
    auto body = ValidBody();
    if (aKey != nullptr) {
      body[aKey] = aValue;
    }
    return Decode(json::serialize(body)).mSubmission->mJob.mBodyHash;
  };
  const auto same = hash(nullptr, nullptr);
  bool passed = Expect(hash("wait", false) == same, "wait");
  passed &= Expect(hash("resubmission", true) == same, "resubmission");
  passed &= Expect(hash("born_ms", 1) == same, "born_ms");
  passed &= Expect(hash("kind", "other") != same, "kind");
  passed &= Expect(hash("idempotent", false) != same, "idempotent");
  passed &= Expect(hash("deadline_ms", 5001) != same, "deadline_ms");
  auto tasks = ValidBody()["tasks"].as_array();
  std::swap(tasks[0], tasks[1]);
  passed &= Expect(hash("tasks", tasks) != same, "the order of tasks");
  return passed;
}

void Mutate(std::string& aText)
{
  const auto at = *rc::gen::inRange<std::size_t>(0, aText.size());
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      aText[at] = *rc::gen::arbitrary<char>();
      break;
    case 1:
      aText.erase(at, *rc::gen::inRange<std::size_t>(1, 20));
      break;
    case 2:
      aText.insert(at,
                   *rc::gen::element<std::string>(
                     "{", "}", "[", "]", "\"", ",", ":", "null", "1e999", "-0", "\\u0000"));
      break;
    case 3:
      aText.insert(at, aText.substr(*rc::gen::inRange<std::size_t>(0, aText.size()), 40));
      break;
    default:
      aText[at] = *rc::gen::element('{', '}', '[', ']', '"', ',', ':', '0', '9', '\\');
  }
}

void CheckDecoded(const std::string& aText)
{
  const CallerLimits limits{ 3, 4, 16 };
  const auto decoded = Decode(aText, limits);
  if (!decoded.mSubmission) {
    RC_ASSERT(!decoded.mError.mMessage.empty());
    RC_ASSERT(decoded.mError.mVerdict != Verdict::Ran);
    return;
  }
  const auto& job = decoded.mSubmission->mJob;
  RC_ASSERT(!job.mTasks.empty() && job.mTasks.size() <= limits.mMaxTasks);
  RC_ASSERT(job.mService.size() <= limits.mMaxNameBytes);
  RC_ASSERT(job.mId.empty() || ParseCallerId(job.mId));
  RC_ASSERT(job.mDeadline.count() > 0);
}

/// Guards against a decoder that crashes, reads past its input or accepts values beyond the limits.
/// RapidCheck prints the seed, with which a failure can be reproduced.
bool FuzzedBodiesAreDecodedOrRefused()
{
  return rc::check("mutated bodies are decoded within the limits or refused", [] {
    // Changes accumulate over 10 mutations, which reaches states that one mutation cannot.
    auto text = json::serialize(ValidBody());
    for (int n = 0; n < 100 && !text.empty(); ++n) {
      Mutate(text);
      CheckDecoded(text);
      if (n % 10 == 9) {
        text = json::serialize(ValidBody());
      }
    }
  });
}

/// Guards against answers that are not valid JSON, for example because a result contains quotes,
/// control characters or bytes that are not UTF-8.
bool AnswersAreValidJson()
{
  return rc::check("answers are valid JSON for all results", [] {
    JobAnswer answer;
    answer.mId = "north:k1";
    answer.mState = *rc::gen::element(JobState::Running, JobState::Complete, JobState::Failed);
    const auto results = *rc::gen::arbitrary<std::vector<std::string>>();
    for (const auto& result : results) {
      answer.mTasks.push_back({ Verdict::Ran, std::nullopt, result });
    }
    if (answer.mState == JobState::Failed) {
      answer.mError = Error{ ErrorCode::TaskFailed, Verdict::Ran, "a \"task\"\n failed", {} };
    }
    const auto value = json::parse(EncodeAnswer(answer));
    const auto& tasks = value.at("tasks").as_array();
    RC_ASSERT(tasks.size() == results.size());
    for (std::size_t n = 0; n < results.size(); ++n) {
      const auto* result = tasks[n].as_object().if_contains("result");
      RC_ASSERT((result != nullptr) == (answer.mState == JobState::Complete));
      const bool ascii = std::all_of(
        results[n].begin(), results[n].end(), [](char aByte) { return (aByte & 0x80) == 0; });
      if (result != nullptr && ascii) {
        RC_ASSERT(result->as_string() == results[n]);
      }
    }
    RC_ASSERT(value.as_object().contains("code") == (answer.mState == JobState::Failed));
  });
}

} // namespace

bool CallerJsonTests()
{
  bool passed = ReadsEveryField();
  passed &= RefusesInvalidBodies();
  passed &= BodyHashDistinguishesJobs();
  passed &= FuzzedBodiesAreDecodedOrRefused();
  passed &= AnswersAreValidJson();
  return passed;
}

} // namespace pollenwall::test

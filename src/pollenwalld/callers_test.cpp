#include "callers.h"

#include <deque>

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "daemon_test.h"

namespace pollenwall::test {
namespace {

using namespace daemon;

/// The service `callers`; the test takes the place of the node's core.
struct Fixture
{
  explicit Fixture(boost::asio::io_context& aContext)
    : mDaemon(aContext)
    , mLoop(mDaemon, {})
    , mCallers(mDaemon, mLoop)
  {
    mDaemon.mSettings.mCallers = { "127.0.0.1", 0 };
    mStarted = boost::leaf::try_handle_all(
      [this]() -> Result<bool> {
        BOOST_LEAF_CHECK(StartCallers(mCallers));
        return true;
      },
      [](const Error&) { return false; },
      [] { return false; });
  }

  Client Connect() { return { mDaemon.mContext, net::LocalEndpoint(*mCallers.mServer) }; }

  /// Waits for the next event posted to the core.
  node::Event TakeEvent()
  {
    while (mLoop.mEvents.empty()) {
      mLoop.mWakeup.Wait();
    }
    auto event = std::move(mLoop.mEvents.front());
    mLoop.mEvents.erase(mLoop.mEvents.begin());
    return event;
  }

  void Answer(node::AnswerCaller aAction) { mLoop.mHandlers.mAnswerCaller(aAction); }

  DaemonContext mDaemon;
  NodeLoop mLoop;
  Callers mCallers;
  bool mStarted = false;
};

/// Fixtures exist until the process ends because fibers that outlive a test use them.
Fixture& MakeFixture(boost::asio::io_context& aContext)
{
  static std::deque<Fixture> fixtures;
  return fixtures.emplace_back(aContext);
}

std::string SubmitRequest(const std::string& aBody, const std::string& aHeaders = "")
{
  return "POST /v1/jobs HTTP/1.1\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string JobBody(bool aWait, const std::string& aPayload = "p")
{
  return R"({"service":"dispatch","team":"t1","kind":"quote","idempotent":true,"deadline_ms":5000,)"
         R"("wait":)" +
         std::string(aWait ? "true" : "false") + R"(,"tasks":[{"payload":")" + aPayload +
         R"(","declared_run_ms":20}]})";
}

std::string RequestText(const std::string& aTarget, const char* aMethod = "GET")
{
  return std::string(aMethod) + " " + aTarget + " HTTP/1.1\r\n\r\n";
}

JobAnswer CompleteAnswer(const std::string& aId, const std::string& aResult)
{
  JobAnswer answer;
  answer.mId = aId;
  answer.mState = JobState::Complete;
  answer.mVerdict = Verdict::Ran;
  answer.mTasks = { { Verdict::Ran, std::nullopt, aResult } };
  return answer;
}

/// Guards against a call that reaches the core with values other than those the caller sent.
bool CallsArePostedAsEvents(boost::asio::io_context& aContext)
{
  auto& fixture = MakeFixture(aContext);
  if (!Expect(fixture.mStarted, "the service starts")) {
    return false;
  }
  auto client = fixture.Connect();
  client.Write(SubmitRequest(JobBody(true), "Pollenwall-Request: r-17\r\n"));
  const auto submit = std::get<node::CallerSubmit>(fixture.TakeEvent());
  bool passed = Expect(submit.mWait && submit.mJob.mTasks.size() == 1, "a submission");
  fixture.Answer({ submit.mRequest, CompleteAnswer("pw-1", "r\"1"), std::nullopt });
  const auto answer = client.ReadResponse();
  passed &=
    Expect(answer && answer->result_int() == 200 && (*answer)["Pollenwall-Verdict"] == "ran" &&
             (*answer)["Pollenwall-Request"] == "r-17",
           "the answer's headers");
  const auto body = boost::json::parse(answer->body());
  passed &= Expect(body.at("tasks").at(0).at("result").as_string() == "r\"1", "the result");

  client.Write(SubmitRequest(JobBody(false)));
  const auto second = std::get<node::CallerSubmit>(fixture.TakeEvent());
  JobAnswer running;
  running.mId = "pw-2";
  fixture.Answer({ second.mRequest, running, std::nullopt });
  const auto accepted = client.ReadResponse();
  passed &= Expect(!second.mWait && accepted && accepted->result_int() == 202 &&
                     accepted->body() == R"({"id":"pw-2"})",
                   "a submission without waiting");

  client.Write(RequestText("/v1/jobs/north:k%2D1?team=t%201&wait_ms=250"));
  const auto status = std::get<node::CallerStatus>(fixture.TakeEvent());
  passed &= Expect(status.mId == "north:k-1" && status.mTeam == "t 1" &&
                     status.mWait == std::chrono::milliseconds(250),
                   "a status call");
  fixture.Answer({ status.mRequest, running, std::nullopt });
  const auto shown = client.ReadResponse();
  passed &= Expect(shown && shown->result_int() == 200 &&
                     shown->body().find("\"running\"") != std::string::npos,
                   "a running job's status");

  client.Write(RequestText("/v1/jobs/pw-2?team=t1", "DELETE"));
  const auto cancel = std::get<node::CallerCancel>(fixture.TakeEvent());
  passed &= Expect(cancel.mId == "pw-2" && cancel.mTeam == "t1", "a cancellation");
  fixture.Answer(
    { cancel.mRequest,
      std::nullopt,
      Error{ ErrorCode::Overloaded, Verdict::NotRun, "busy", std::chrono::milliseconds(1200) } });
  const auto refused = client.ReadResponse();
  passed &= Expect(refused && refused->result_int() == 503 && (*refused)["Retry-After"] == "2" &&
                     (*refused)["Pollenwall-Verdict"] == "not_run" &&
                     boost::json::parse(refused->body()).at("retry_after_ms").as_int64() == 1200,
                   "a refusal");
  return passed;
}

/// Guards against invalid calls that get no status or verdict or reach the core, and against
/// operators' calls that are answered on the callers' port.
bool InvalidCallsAreRefused(boost::asio::io_context& aContext)
{
  auto& fixture = MakeFixture(aContext);
  const std::vector<std::pair<std::string, unsigned>> cases{
    { RequestText("/metrics"), 403 },
    { RequestText("/dump"), 403 },
    { RequestText("/v1/status"), 403 },
    { RequestText("/v1/drain", "POST"), 403 },
    { RequestText("/nowhere"), 404 },
    { RequestText("/v1/jobs"), 405 },
    { RequestText("/v1/jobs/x?team=t", "PUT"), 405 },
    { RequestText("/v1/jobs/?team=t"), 400 },
    { RequestText("/v1/jobs/x"), 400 },
    { RequestText("/v1/jobs/x?team="), 400 },
    { RequestText("/v1/jobs/x?team=t&wait_ms=soon"), 400 },
    { RequestText("/v1/jobs/x?team=t&wait_ms=-1"), 400 },
    { RequestText("/v1/jobs/x?team=t&wait=1"), 400 },
    { RequestText("/v1/jobs/x?team=t&wait_ms=5", "DELETE"), 400 },
    { RequestText("/v1/jobs/%zz?team=t"), 400 },
    { SubmitRequest("{"), 400 },
    { SubmitRequest(R"({"service":1})"), 400 },
  };
  auto client = fixture.Connect();
  bool passed = true;
  for (const auto& [bytes, status] : cases) {
    client.Write(bytes);
    const auto answer = client.ReadResponse();
    passed &= Expect(answer && answer->result_int() == status, bytes.c_str());
    const std::string verdict = answer ? std::string((*answer)["Pollenwall-Verdict"]) : "";
    passed &=
      Expect(verdict == "not_run" || verdict == "may_have_run", "the refusal has a verdict");
  }
  passed &= Expect(fixture.mLoop.mEvents.empty(), "no event is posted to the core");
  client.Write(RequestText("/healthz"));
  const auto alive = client.ReadResponse();
  passed &= Expect(alive && alive->result_int() == 200, "alive");
  fixture.mLoop.mStopping = true;
  client.Write(RequestText("/readyz"));
  const auto ready = client.ReadResponse();
  passed &= Expect(ready && ready->result_int() == 503, "not ready while stopping");
  return passed;
}

/// Guards against answers that go to the wrong caller when they arrive out of order, and against
/// state that is kept for a caller that has disconnected.
bool AnswersReachTheirOwnCaller(boost::asio::io_context& aContext)
{
  constexpr std::size_t kCallers = 50;
  auto& fixture = MakeFixture(aContext);
  std::vector<Client> clients;
  std::vector<dispatch::RequestId> requests;
  for (std::size_t n = 0; n < kCallers; ++n) {
    clients.push_back(fixture.Connect());
    clients.back().Write(SubmitRequest(JobBody(true, std::to_string(n))));
    const auto submit = std::get<node::CallerSubmit>(fixture.TakeEvent());
    requests.push_back(submit.mRequest);
  }
  clients[7].Reset();
  const auto gone = std::get<node::CallerDisconnected>(fixture.TakeEvent());
  bool passed =
    Expect(gone.mRequest == requests[7], "the disconnected caller is reported to the core");
  for (std::size_t n = kCallers; n-- > 0;) {
    fixture.Answer({ requests[n], CompleteAnswer("pw", std::to_string(n)), std::nullopt });
  }
  for (std::size_t n = 0; n < kCallers; ++n) {
    if (n == 7) {
      continue;
    }
    const auto answer = clients[n].ReadResponse();
    passed &= Expect(
      answer && boost::json::parse(answer->body()).at("tasks").at(0).at("result").as_string() ==
                  std::to_string(n),
      "each caller gets its own result");
  }
  passed &= Expect(fixture.mCallers.mWaiting.empty(), "no call is left waiting");
  return passed;
}

} // namespace

bool CallersTests(boost::asio::io_context& aContext)
{
  bool passed = CallsArePostedAsEvents(aContext);
  passed &= InvalidCallsAreRefused(aContext);
  passed &= AnswersReachTheirOwnCaller(aContext);
  return passed;
}

} // namespace pollenwall::test

#include <pollenwall/standin/server.h>
#include <pollenwall/standin/worker.h>

#include <cstdlib>
#include <iostream>
#include <map>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <pollenwall/log.h>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(bool, address_per_port, false, "listen for each further port on the next IP address");
ABSL_FLAG(std::string, ports, "9100-9100", "FIRST-LAST; each port is one upstream");
ABSL_FLAG(std::uint16_t, control_port, 0, "port whose requests are exempt from faults; 0 is none");
ABSL_FLAG(std::uint32_t, slots, 8, "tasks that one upstream runs at once");
ABSL_FLAG(std::uint32_t, connections, 60, "connections that one upstream accepts; 0 is no limit");
ABSL_FLAG(std::uint64_t, remembered_tasks, 2000000, "task ids whose start counts are kept");

namespace {

using namespace pollenwall;
using namespace pollenwall::standin;

struct Run
{
  explicit Run(boost::asio::io_context& aContext)
    : mTimer(aContext)
  {
  }
  boost::asio::steady_timer mTimer;
  Payload mPayload;
  ResponseCallback mRespond;
};

struct Upstream
{
  UpstreamState mState;
  std::unordered_multimap<std::string, std::shared_ptr<Run>> mRuns;
};

struct Worker
{
  boost::asio::io_context mContext{ 1 };
  std::map<std::uint16_t, Upstream> mUpstreams;
  StartCounts mTaskStarts; ///< By the dispatcher's task id.
  StartCounts mKeyStarts;  ///< By the caller's key in the payload, for tasks that have one.
};

void EndRun(Upstream& aUpstream, const std::string& aTask, const std::shared_ptr<Run>& aRun)
{
  const auto [first, last] = aUpstream.mRuns.equal_range(aTask);
  for (auto it = first; it != last; ++it) {
    if (it->second == aRun) {
      aUpstream.mRuns.erase(it);
      break;
    }
  }
  --aUpstream.mState.mBusy;
}

Response Refusal(ErrorCode aCode)
{
  const auto message = aCode == ErrorCode::Expired    ? "the start request is past its not-after"
                       : aCode == ErrorCode::Stopping ? "the worker is leaving"
                                                      : "all slots are busy";
  return ErrorResponse(409, Verdict::NotRun, aCode, message);
}

void HandleRun(Worker& aWorker,
               Upstream& aUpstream,
               const Request& aRequest,
               ResponseCallback aRespond)
{
  const std::string task(aRequest.mFields["Pollenwall-Task"]);
  const std::string notAfter(aRequest.mFields["Pollenwall-Not-After"]);
  char* end = nullptr;
  const UnixMs notAfterMs = std::strtoll(notAfter.c_str(), &end, 10);
  auto payload = ParsePayload(aRequest.mBody);
  if (task.empty() || notAfter.empty() || *end != 0 || !payload) {
    aRespond(ErrorResponse(400,
                           Verdict::NotRun,
                           ErrorCode::BadRequest,
                           "Pollenwall-Task, Pollenwall-Not-After and a JSON object are needed"));
    return;
  }
  auto& state = aUpstream.mState;
  if (aRequest.mFault == FaultKind::Refuse) {
    ++state.mRefusedByFault;
    aRespond(Refusal(ErrorCode::Overloaded));
    return;
  }
  const auto now = ReadClocks().mUnixMs;
  if (const auto code = CheckStart(state, notAfterMs, now); code) {
    aRespond(Refusal(*code));
    return;
  }
  BeginRun(state, aWorker.mTaskStarts, task, now);
  if (!payload->mKey.empty()) {
    CountStart(aWorker.mKeyStarts, payload->mKey);
  }
  if (aRequest.mFault == FaultKind::Fail) {
    --state.mBusy;
    ++state.mFailed;
    aRespond(ErrorResponse(500, Verdict::Ran, ErrorCode::TaskFailed, "the task failed"));
    return;
  }
  if (payload->mRunTime.count() == 0 && !payload->mShouldFail) {
    --state.mBusy;
    ++state.mSucceeded;
    aRespond({ 200, "{\"echo\":" + payload->mEcho + "}", "" });
    return;
  }
  auto run = std::make_shared<Run>(aWorker.mContext);
  run->mPayload = std::move(*payload);
  run->mRespond = std::move(aRespond);
  aUpstream.mRuns.emplace(task, run);
  run->mTimer.expires_after(run->mPayload.mRunTime);
  run->mTimer.async_wait([&aUpstream, run, task](boost::system::error_code aEc) {
    EndRun(aUpstream, task, run);
    if (aEc) {
      ++aUpstream.mState.mStopped;
      run->mRespond(ErrorResponse(500, Verdict::Ran, ErrorCode::Cancelled, "the task was stopped"));
    } else if (run->mPayload.mShouldFail) {
      ++aUpstream.mState.mFailed;
      run->mRespond(ErrorResponse(500, Verdict::Ran, ErrorCode::TaskFailed, "the task failed"));
    } else {
      ++aUpstream.mState.mSucceeded;
      run->mRespond({ 200, "{\"echo\":" + run->mPayload.mEcho + "}", "" });
    }
  });
}

void HandleStop(Upstream& aUpstream, const Request& aRequest, const ResponseCallback& aRespond)
{
  std::string task(aRequest.mFields["Pollenwall-Task"]);
  if (task.empty()) {
    task = aRequest.mBody;
  }
  const auto [first, last] = aUpstream.mRuns.equal_range(task);
  const bool stopped = first != last;
  for (auto it = first; it != last; ++it) {
    it->second->mTimer.cancel();
  }
  aRespond({ 200, stopped ? "{\"stopped\":true}" : "{\"stopped\":false}", "" });
}

std::string SlotsToJson(const Upstream& aUpstream)
{
  boost::json::array tasks;
  for (const auto& [task, run] : aUpstream.mRuns) {
    tasks.emplace_back(task);
  }
  return boost::json::serialize(boost::json::object{
    { "slots", aUpstream.mState.mSlots }, { "busy", aUpstream.mState.mBusy }, { "tasks", tasks } });
}

std::string CountsToJson(const Worker& aWorker)
{
  boost::json::array ports;
  for (const auto& [number, upstream] : aWorker.mUpstreams) {
    const auto& state = upstream.mState;
    ports.push_back(boost::json::object{ { "port", number },
                                         { "starts", state.mStarts },
                                         { "ended", state.mSucceeded },
                                         { "failed", state.mFailed },
                                         { "stopped", state.mStopped },
                                         { "busy", state.mBusy },
                                         { "refused_busy", state.mRefusedBusy },
                                         { "refused_leaving", state.mRefusedLeaving },
                                         { "refused_expired", state.mRefusedExpired },
                                         { "refused_by_fault", state.mRefusedByFault },
                                         { "leaving", state.mLeaving },
                                         { "leaving_since_ms", state.mLeavingSinceMs },
                                         { "last_start_ms", state.mLastStartMs } });
  }
  boost::json::array duplicates;
  for (const auto* counts : { &aWorker.mTaskStarts, &aWorker.mKeyStarts }) {
    for (const auto& id : counts->mDuplicateIds) {
      duplicates.emplace_back(id);
    }
  }
  return boost::json::serialize(
    boost::json::object{ { "starts", aWorker.mTaskStarts.mStarts },
                         { "duplicates", aWorker.mTaskStarts.mDuplicates },
                         { "duplicate_keys", aWorker.mKeyStarts.mDuplicates },
                         { "forgotten", aWorker.mTaskStarts.mEvicted },
                         { "duplicate_ids", duplicates },
                         { "ports", ports } });
}

/// Answers {"tasks": [...]} or {"keys": [...]} with the number of starts of each task id or key, in
/// the order of the request.
Response QueryStartCounts(const Worker& aWorker, const std::string& aBody)
{
  boost::system::error_code ec;
  const auto value = boost::json::parse(aBody, ec);
  const auto* tasks = !ec && value.is_object() ? value.get_object().if_contains("tasks") : nullptr;
  const auto* keys = !ec && value.is_object() ? value.get_object().if_contains("keys") : nullptr;
  const auto* names = keys != nullptr ? keys : tasks;
  if (names == nullptr || !names->is_array()) {
    return ErrorResponse(
      400, Verdict::NotRun, ErrorCode::BadRequest, "tasks or keys: allowed is a list of names");
  }
  const auto& counts = keys != nullptr ? aWorker.mKeyStarts : aWorker.mTaskStarts;
  boost::json::array starts;
  for (const auto& name : names->get_array()) {
    starts.emplace_back(name.is_string() ? StartCountOf(counts, std::string_view(name.get_string()))
                                         : 0);
  }
  return { 200, boost::json::serialize(boost::json::object{ { "starts", starts } }), "" };
}

/// POST /v1/leaving {"leaving": bool, "port": N}; without a port all upstreams are set.
Response SetLeaving(Worker& aWorker, const std::string& aBody)
{
  boost::system::error_code ec;
  const auto value = boost::json::parse(aBody, ec);
  const auto* leaving =
    !ec && value.is_object() ? value.get_object().if_contains("leaving") : nullptr;
  if (leaving == nullptr || !leaving->is_bool()) {
    return ErrorResponse(
      400, Verdict::NotRun, ErrorCode::BadRequest, "leaving: allowed is true or false");
  }
  const auto* only = value.get_object().if_contains("port");
  for (auto& [number, upstream] : aWorker.mUpstreams) {
    if (only != nullptr && (!only->is_int64() || only->get_int64() != number)) {
      continue;
    }
    upstream.mState.mLeaving = leaving->get_bool();
    upstream.mState.mLeavingSinceMs = leaving->get_bool() ? ReadClocks().mUnixMs : 0;
  }
  return { 200, "{}", "" };
}

void Handle(Worker& aWorker, const Request& aRequest, const ResponseCallback& aRespond)
{
  const bool post = aRequest.mMethod == "POST";
  if (aRequest.mPath == "/v1/counts") {
    aRespond(post ? QueryStartCounts(aWorker, aRequest.mBody)
                  : Response{ 200, CountsToJson(aWorker), "" });
    return;
  }
  if (aRequest.mPath == "/v1/leaving" && post) {
    aRespond(SetLeaving(aWorker, aRequest.mBody));
    return;
  }
  const auto it = aWorker.mUpstreams.find(aRequest.mLocalPort);
  if (it == aWorker.mUpstreams.end()) {
    aRespond(
      ErrorResponse(404, Verdict::NotRun, ErrorCode::BadRequest, "no upstream on this port"));
  } else if (aRequest.mPath == "/v1/run" && post) {
    HandleRun(aWorker, it->second, aRequest, aRespond);
  } else if (aRequest.mPath == "/v1/stop" && post) {
    HandleStop(it->second, aRequest, aRespond);
  } else if (aRequest.mPath == "/v1/slots") {
    aRespond({ 200, SlotsToJson(it->second), "" });
  } else {
    aRespond(ErrorResponse(404, Verdict::NotRun, ErrorCode::BadRequest, "no such call"));
  }
}

/// Returns the IPv4 address that follows aFirst by aOffset, or aFirst if it is not an IPv4 address.
std::string AddressAtOffset(const std::string& aFirst, std::uint32_t aOffset)
{
  boost::system::error_code ec;
  const auto first = boost::asio::ip::make_address_v4(aFirst, ec);
  return ec ? aFirst : boost::asio::ip::make_address_v4(first.to_uint() + aOffset).to_string();
}

bool IsExempt(const Request& aRequest)
{
  return aRequest.mPath == "/v1/counts" || aRequest.mPath == "/v1/leaving";
}

} // namespace

int main(int aArgc, char** aArgv)
{
  absl::FlagsUsageConfig config;
  config.version_string = [] { return std::string("standin-worker " POLLENWALL_VERSION "\n"); };
  absl::SetFlagsUsageConfig(config);
  absl::SetProgramUsageMessage(
    "A stand-in for workers: each port is one upstream that runs tasks as timers.\n"
    "Example: standin-worker --ports 9100-9149 --slots 8 --connections 60 --control_port 9099");
  absl::ParseCommandLine(aArgc, aArgv);
  log::Init("standin-worker");
  const auto ports = absl::GetFlag(FLAGS_ports);
  int first = 0;
  int last = 0;
  char extra = 0;
  if (std::sscanf(ports.c_str(), "%d-%d%c", &first, &last, &extra) != 2 || first < 1 || // NOLINT
      last < first || last > 65535) {
    std::cerr << "standin-worker: --ports: found '" << ports
              << "'; allowed: FIRST-LAST, both from 1 to 65535\n";
    return 2;
  }
  const auto address = absl::GetFlag(FLAGS_address);
  Worker worker;
  worker.mTaskStarts.mCapacity = std::max<std::size_t>(1, absl::GetFlag(FLAGS_remembered_tasks));
  worker.mKeyStarts.mCapacity = worker.mTaskStarts.mCapacity;
  std::vector<ListenerOptions> listeners;
  for (int port = first; port <= last; ++port) {
    const auto number = static_cast<std::uint16_t>(port);
    worker.mUpstreams[number].mState.mSlots = absl::GetFlag(FLAGS_slots);
    const auto portAddress = absl::GetFlag(FLAGS_address_per_port)
                               ? AddressAtOffset(address, static_cast<std::uint32_t>(port - first))
                               : address;
    listeners.push_back({ portAddress, number, absl::GetFlag(FLAGS_connections), false });
  }
  if (const auto control = absl::GetFlag(FLAGS_control_port); control != 0) {
    listeners.push_back({ address, control, 0, true });
  }
  try {
    auto server = StartServer(
      worker.mContext,
      listeners,
      [&worker](const Request& aRequest, const ResponseCallback& aRespond) {
        Handle(worker, aRequest, aRespond);
      },
      IsExempt);
    log::Info("started", { { "address", address }, { "ports", ports } });
    RunUntilSignal(worker.mContext);
  } catch (const boost::system::system_error& error) {
    log::LogError("listen_failed", { { "address", address }, { "message", error.what() } });
    return 1;
  }
  log::Info("stopped", { { "starts", static_cast<std::int64_t>(worker.mTaskStarts.mStarts) } });
  return 0;
}

#include <pollenwall/standin/log_streams.h>
#include <pollenwall/standin/server.h>

#include <list>
#include <map>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/str_split.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <pollenwall/log.h>

ABSL_FLAG(std::vector<std::string>,
          addresses,
          { "127.0.0.1" },
          "IP addresses to listen on; a fault can be limited to one of them");
ABSL_FLAG(std::uint16_t, port, 9001, "port on each address");
ABSL_FLAG(std::int64_t,
          retention_ms,
          3600000,
          "age in milliseconds after which a record is removed");
ABSL_FLAG(std::uint64_t, retention_bytes, 64 << 20, "bytes that one stream retains");
ABSL_FLAG(double, appends_per_second, 500, "append rate limit over all streams");
ABSL_FLAG(double, append_burst, 100, "appends that an idle service accepts at once");
ABSL_FLAG(std::int64_t,
          append_delay_ms,
          3,
          "milliseconds that an append takes, like a synced write");

namespace {

using namespace pollenwall;
using namespace pollenwall::standin;

constexpr std::size_t kMaxRecordBytes = 1 << 20;
constexpr std::size_t kMaxPageBytes = 4 << 20;
constexpr std::size_t kMaxStreams = 1000;
constexpr std::uint64_t kMaxWaitMs = 60000;

/// A read that waits for a record.
struct Waiter
{
  explicit Waiter(boost::asio::io_context& aContext)
    : mTimer(aContext)
  {
  }
  boost::asio::steady_timer mTimer;
  bool mDone = false;
};

struct StreamWithWaiters
{
  Stream mStream;
  std::list<std::shared_ptr<Waiter>> mWaiters;
};

struct LogService
{
  boost::asio::io_context mContext{ 1 };
  StreamLimits mLimits;
  RateLimiter mAppendLimiter;
  std::map<std::string, StreamWithWaiters> mStreams;
};

Response NotFound()
{
  return ErrorResponse(404, Verdict::NotRun, ErrorCode::BadRequest, "no such call or stream");
}

/// Returns NAME of the path /v1/streams/NAME/records; empty for any other path.
std::string StreamName(std::string_view aPath)
{
  constexpr std::string_view kPrefix = "/v1/streams/";
  constexpr std::string_view kSuffix = "/records";
  if (!aPath.starts_with(kPrefix) || !aPath.ends_with(kSuffix) ||
      aPath.size() <= kPrefix.size() + kSuffix.size()) {
    return "";
  }
  const auto name = aPath.substr(kPrefix.size(), aPath.size() - kPrefix.size() - kSuffix.size());
  return name.find('/') == std::string_view::npos ? std::string(name) : "";
}

void HandleAppend(LogService& aService,
                  StreamWithWaiters& aStream,
                  const Request& aRequest,
                  ResponseCallback aRespond)
{
  boost::system::error_code ec;
  boost::json::stream_parser parser;
  parser.write(aRequest.mBody, ec);
  if (!ec) {
    parser.finish(ec);
  }
  if (ec || aRequest.mBody.size() > kMaxRecordBytes) {
    aRespond(ErrorResponse(
      400, Verdict::NotRun, ErrorCode::BadRequest, "the record is not JSON text of at most 1 MiB"));
    return;
  }
  if (!TakeToken(aService.mAppendLimiter, ReadClocks().mTime)) {
    auto refusal = ErrorResponse(
      429, Verdict::NotRun, ErrorCode::Overloaded, "the append rate is above its limit");
    refusal.mHeaders += "Retry-After: 1\r\n";
    aRespond(refusal);
    return;
  }
  const auto offset =
    AppendRecord(aStream.mStream, aService.mLimits, aRequest.mBody, ReadClocks().mUnixMs);
  for (auto& waiter : aStream.mWaiters) {
    waiter->mTimer.cancel();
  }
  Response response{ 200, "{\"offset\":" + std::to_string(offset) + "}", "" };
  const auto delay = absl::GetFlag(FLAGS_append_delay_ms);
  if (delay <= 0) {
    aRespond(response);
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(aService.mContext,
                                                           std::chrono::milliseconds(delay));
  timer->async_wait([timer, response, respond = std::move(aRespond)](boost::system::error_code) {
    respond(response);
  });
}

void HandleRead(LogService& aService,
                StreamWithWaiters& aStream,
                const Request& aRequest,
                ResponseCallback aRespond)
{
  const auto from = QueryNumber(aRequest, "from", 0);
  const auto max = std::max<std::uint64_t>(1, QueryNumber(aRequest, "max", 1000));
  const auto wait = std::min(QueryNumber(aRequest, "wait_ms", 0), kMaxWaitMs);
  ExpireRecords(aStream.mStream, aService.mLimits, ReadClocks().mUnixMs);
  const auto page = ReadRecords(aStream.mStream, from, max, kMaxPageBytes);
  if (!page.mRecords.empty() || wait == 0) {
    aRespond({ 200, PageToJson(page), "" });
    return;
  }
  auto waiter = std::make_shared<Waiter>(aService.mContext);
  const auto position = aStream.mWaiters.insert(aStream.mWaiters.end(), waiter);
  waiter->mTimer.expires_after(std::chrono::milliseconds(wait));
  waiter->mTimer.async_wait(
    [&aStream, position, from, max, respond = std::move(aRespond)](boost::system::error_code) {
      aStream.mWaiters.erase(position);
      respond({ 200, PageToJson(ReadRecords(aStream.mStream, from, max, kMaxPageBytes)), "" });
    });
}

void Handle(LogService& aService, const Request& aRequest, const ResponseCallback& aRespond)
{
  const auto name = StreamName(aRequest.mPath);
  const bool post = aRequest.mMethod == "POST";
  if (name.empty() || (!post && aRequest.mMethod != "GET") ||
      (aService.mStreams.size() >= kMaxStreams && !aService.mStreams.contains(name))) {
    aRespond(NotFound());
    return;
  }
  if (aRequest.mFault == FaultKind::Refuse) {
    aRespond(ErrorResponse(503, Verdict::NotRun, ErrorCode::Overloaded, "refused by a fault"));
    return;
  }
  if (aRequest.mFault == FaultKind::Fail) {
    aRespond(ErrorResponse(500, Verdict::NotRun, ErrorCode::Internal, "failed by a fault"));
    return;
  }
  auto& stream = aService.mStreams[name];
  if (post) {
    HandleAppend(aService, stream, aRequest, aRespond);
  } else {
    HandleRead(aService, stream, aRequest, aRespond);
  }
}

} // namespace

int main(int aArgc, char** aArgv)
{
  absl::FlagsUsageConfig config;
  config.version_string = [] { return std::string("standin-log " POLLENWALL_VERSION "\n"); };
  absl::SetFlagsUsageConfig(config);
  absl::SetProgramUsageMessage(
    "A stand-in for the platform's log service.\n"
    "Example: standin-log --addresses 127.0.0.1,127.0.0.2 --port 9001 --retention_ms 3600000");
  absl::ParseCommandLine(aArgc, aArgv);
  log::Init("standin-log");
  LogService service;
  service.mLimits = { std::chrono::milliseconds(absl::GetFlag(FLAGS_retention_ms)),
                      absl::GetFlag(FLAGS_retention_bytes) };
  service.mAppendLimiter.mPerSecond = absl::GetFlag(FLAGS_appends_per_second);
  service.mAppendLimiter.mBurst = absl::GetFlag(FLAGS_append_burst);
  service.mAppendLimiter.mTokens = service.mAppendLimiter.mBurst;
  std::vector<ListenerOptions> listeners;
  for (const auto& address : absl::GetFlag(FLAGS_addresses)) {
    listeners.push_back({ address, absl::GetFlag(FLAGS_port), 0, false });
  }
  try {
    auto server = StartServer(
      service.mContext,
      listeners,
      [&service](const Request& aRequest, const ResponseCallback& aRespond) {
        Handle(service, aRequest, aRespond);
      },
      [](const Request&) { return false; });
    log::Info("started", { { "port", std::int64_t{ absl::GetFlag(FLAGS_port) } } });
    RunUntilSignal(service.mContext);
  } catch (const boost::system::system_error& error) {
    log::LogError("listen_failed", { { "message", error.what() } });
    return 1;
  }
  log::Info("stopped");
  return 0;
}

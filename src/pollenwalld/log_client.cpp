#include "log_client.h"

#include <algorithm>

#include <pollenwall/log.h>

#include "log_protocol.h"

namespace pollenwall::daemon {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kMaxRecordsPerRead = 1000;
constexpr std::size_t kMaxPageBytes = 32 * 1024 * 1024;
constexpr std::size_t kMaxAppendReplyBytes = 4096;
/// Timeout of an append, which takes several milliseconds on a healthy service; reads add their
/// long poll time.
constexpr std::chrono::milliseconds kRequestTimeout{ 2000 };
/// Per stream. Further appends fail at once; the core retries those that it needs.
constexpr std::size_t kMaxQueuedAppends = 1000;
constexpr std::chrono::milliseconds kStopTimeout{ 1000 };

LogStream& GetStream(LogClient& aClient, const std::string& aName)
{
  auto& stream = aClient.mStreams[aName];
  if (!stream.mReader) {
    const auto address =
      *net::ParseEndpoint(settings::ToString(aClient.mDaemon.mSettings.mLogService));
    stream.mReader = std::make_unique<net::HttpClient>(aClient.mDaemon.mContext, address);
    stream.mAppender = std::make_unique<net::HttpClient>(aClient.mDaemon.mContext, address);
  }
  return stream;
}

void ReadPage(LogClient& aClient, const node::ReadLog& aAction)
{
  auto& stream = GetStream(aClient, aAction.mStream);
  const auto started = ReadClocks().mTime;
  auto reply = net::Fetch(*stream.mReader,
                          http::verb::get,
                          ReadTarget(aAction, kMaxRecordsPerRead),
                          "",
                          aAction.mWait + kRequestTimeout,
                          kMaxPageBytes);
  node::LogRead result;
  result.mStream = aAction.mStream;
  if (reply.mStatus == 200) {
    result = ParsePage(reply.mBody, aAction.mStream, aAction.mFrom);
    if (!result.mOk) {
      log::Warning("log_answer_invalid", { { "stream", aAction.mStream } });
    }
  }
  if (!result.mOk) {
    metrics::Add(aClient.mDaemon.mMetrics, "log_read_failures_total");
  }
  result.mStarted = started;
  stream.mReading = false;
  Post(aClient.mLoop, std::move(result));
}

void SendAppends(LogClient& aClient, const std::string& aName)
{
  auto& stream = GetStream(aClient, aName);
  while (!stream.mAppends.empty()) {
    auto action = std::move(stream.mAppends.front());
    stream.mAppends.erase(stream.mAppends.begin());
    const auto reply = net::Fetch(*stream.mAppender,
                                  http::verb::post,
                                  AppendTarget(aName),
                                  std::move(action.mData),
                                  kRequestTimeout,
                                  kMaxAppendReplyBytes);
    const bool ok = reply.mStatus == 200 || reply.mStatus == 201;
    metrics::Add(aClient.mDaemon.mMetrics, ok ? "log_appends_total" : "log_append_failures_total");
    Post(aClient.mLoop, node::LogAppended{ aName, action.mToken, ok });
  }
  stream.mAppending = false;
}

Result<void> Start(LogClient& aClient)
{
  auto& handlers = aClient.mLoop.mHandlers;
  handlers.mReadLog = [&aClient](node::ReadLog& aAction) {
    auto& stream = GetStream(aClient, aAction.mStream);
    if (stream.mReading) {
      log::LogError("log_read_overlaps", { { "stream", aAction.mStream } });
      return;
    }
    stream.mReading = true;
    net::Spawn([&aClient, action = std::move(aAction)] { ReadPage(aClient, action); });
  };
  handlers.mAppendLog = [&aClient](node::AppendLog& aAction) {
    auto& stream = GetStream(aClient, aAction.mStream);
    if (stream.mAppends.size() >= kMaxQueuedAppends) {
      Post(aClient.mLoop, node::LogAppended{ aAction.mStream, aAction.mToken, false });
      return;
    }
    const auto name = aAction.mStream;
    stream.mAppends.push_back(std::move(aAction));
    if (!stream.mAppending) {
      stream.mAppending = true;
      net::Spawn([&aClient, name] { SendAppends(aClient, name); });
    }
  };
  return {};
}

/// Lets the last journal records be written before the process ends, unless the service is down.
void WaitForAppends(const LogClient& aClient)
{
  const auto end = std::chrono::steady_clock::now() + kStopTimeout;
  const auto appending = [&aClient] {
    return std::any_of(aClient.mStreams.begin(), aClient.mStreams.end(), [](const auto& aEntry) {
      return aEntry.second.mAppending;
    });
  };
  while (appending() && std::chrono::steady_clock::now() < end) {
    net::SleepFor(aClient.mDaemon.mContext, std::chrono::milliseconds(10));
  }
}

} // namespace

void RegisterLogClient(DaemonContext& aDaemon)
{
  auto& loop = *kernel::Find<NodeLoop>(aDaemon.mKernel, "node");
  auto client = std::make_shared<LogClient>(aDaemon, loop);
  kernel::Register(aDaemon.mKernel,
                   { "log",
                     { "node" },
                     [client] { return Start(*client); },
                     [client] { WaitForAppends(*client); },
                     client.get() });
}

} // namespace pollenwall::daemon

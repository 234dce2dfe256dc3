#include <pollenwall/log.h>

#include <boost/json.hpp>
#include <glog/logging.h>

#include <ctime>

#include <poll.h>
#include <unistd.h>

#include <pollenwall/hash.h>

namespace pollenwall::log {
namespace {

void CountDropped(RateLimiter& aLimiter)
{
  ++aLimiter.mDropped;
  ++aLimiter.mTotalDropped;
}

/// Writes each glog record as one JSON line. Records from this file are JSON objects already; a
/// record from a library becomes the event `message`.
struct JsonSink : google::LogSink
{
  void send(google::LogSeverity aSeverity,
            const char* /*aFullFilename*/,
            const char* /*aBaseFilename*/,
            int /*aLine*/,
            const google::LogMessageTime& aTime,
            const char* aMessage,
            std::size_t aSize) override
  {
    std::string_view text(aMessage, aSize);
    std::string body;
    if (!text.empty() && text.front() == '{') {
      body = text;
    } else {
      const auto level = aSeverity == google::GLOG_INFO      ? "info"
                         : aSeverity == google::GLOG_WARNING ? "warning"
                                                             : "error";
      body = FormatEvent(level, "message", { { "text", std::string(text) } });
    }
    char time[64];
    std::tm utc{};
    const std::time_t seconds = aTime.timestamp();
    gmtime_r(&seconds, &utc);
    const auto n = std::strftime(time, sizeof time, "%Y-%m-%dT%H:%M:%S", &utc);
    std::snprintf(time + n, sizeof time - n, ".%06dZ", static_cast<int>(aTime.usec()));
    const std::string line = "{\"time\":\"" + std::string(time) + "\",\"program\":\"" + mProgram +
                             "\"," + body.substr(1) + "\n";
    // One write per line, so that lines of several processes on one terminal do not interleave.
    if (IsWritable() && ::write(mDescriptor, line.data(), line.size()) >= 0) {
      return;
    }
    CountDropped(mLimiter);
  }

  /// A pipe that poll reports as writable accepts a line of up to 4,096 bytes without blocking.
  [[nodiscard]] bool IsWritable() const
  {
    pollfd file{ mDescriptor, POLLOUT, 0 };
    return ::poll(&file, 1, 0) == 1 && (file.revents & POLLOUT) != 0;
  }

  std::string mProgram;
  int mDescriptor = STDERR_FILENO;
  RateLimiter mLimiter;
};

JsonSink& Sink()
{
  static JsonSink sink;
  return sink;
}

template<typename Fields>
std::string Format(std::string_view aLevel, std::string_view aEvent, const Fields& aFields)
{
  boost::json::object line;
  line["level"] = aLevel;
  line["event"] = aEvent;
  for (const auto& [name, value] : aFields) {
    std::visit([&line, key = name](const auto& aValue) { line[key] = aValue; }, value);
  }
  return boost::json::serialize(line);
}

} // namespace

bool Admit(RateLimiter& aLimiter, std::int64_t aSecond, Level aLevel, std::string_view aJob)
{
  if (aSecond != aLimiter.mSecond) {
    aLimiter.mSecond = aSecond;
    aLimiter.mLines = 0;
  }
  const auto& limits = aLimiter.mLimits;
  const bool info = aLevel == Level::Info;
  const bool sampledOut = info && aLimiter.mLines >= limits.mSampleAfter && !aJob.empty() &&
                          Hash64(aJob) % kJobSampleDivisor != 0;
  if (sampledOut || aLimiter.mLines >= (info ? limits.mMaxInfoLines : limits.mMaxLines)) {
    CountDropped(aLimiter);
    return false;
  }
  ++aLimiter.mLines;
  return true;
}

std::uint64_t TakeDropped(RateLimiter& aLimiter)
{
  return std::exchange(aLimiter.mDropped, 0);
}

std::uint64_t DroppedLineCount()
{
  return Sink().mLimiter.mTotalDropped;
}

void SetRateLimits(const RateLimits& aLimits)
{
  Sink().mLimiter.mLimits = aLimits;
}

void Init(std::string_view aProgram, Output aOutput)
{
  // glog keeps the pointer, so the name must outlive the call.
  static std::string program;
  program = aProgram;
  Sink().mProgram = program;
  Sink().mDescriptor = aOutput == Output::StandardOutput ? STDOUT_FILENO : STDERR_FILENO;
  FLAGS_logtostderr = false;
  FLAGS_stderrthreshold = google::NUM_SEVERITIES;
  google::InitGoogleLogging(program.c_str());
  for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
    google::SetLogDestination(severity, "");
  }
  google::AddLogSink(&Sink());
}

std::string FormatEvent(std::string_view aLevel,
                        std::string_view aEvent,
                        std::initializer_list<Field> aFields)
{
  return Format(aLevel, aEvent, aFields);
}

void Write(Level aLevel, std::string_view aEvent, const std::vector<Field>& aFields)
{
  std::string_view job;
  for (const auto& [name, value] : aFields) {
    if (name == "job" && std::holds_alternative<std::string>(value)) {
      job = std::get<std::string>(value);
    }
  }
  auto& limiter = Sink().mLimiter;
  const auto second = static_cast<std::int64_t>(std::time(nullptr));
  const bool newSecond = second != limiter.mSecond;
  if (!Admit(limiter, second, aLevel, job)) {
    return;
  }
  if (const auto dropped = newSecond ? TakeDropped(limiter) : 0; dropped > 0) {
    Warning("log_lines_dropped", { { "count", static_cast<std::int64_t>(dropped) } });
  }
  switch (aLevel) {
    case Level::Info:
      LOG(INFO) << Format("info", aEvent, aFields);
      break;
    case Level::Warning:
      LOG(WARNING) << Format("warning", aEvent, aFields);
      break;
    case Level::Error:
      LOG(ERROR) << Format("error", aEvent, aFields);
      break;
  }
}

void Info(std::string_view aEvent, std::initializer_list<Field> aFields)
{
  LOG(INFO) << FormatEvent("info", aEvent, aFields);
}

void Warning(std::string_view aEvent, std::initializer_list<Field> aFields)
{
  LOG(WARNING) << FormatEvent("warning", aEvent, aFields);
}

void LogError(std::string_view aEvent, std::initializer_list<Field> aFields)
{
  LOG(ERROR) << FormatEvent("error", aEvent, aFields);
}

} // namespace pollenwall::log

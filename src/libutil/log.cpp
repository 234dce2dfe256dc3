#include <pollenwall/log.h>

#include <boost/json.hpp>
#include <glog/logging.h>

#include <ctime>

#include <poll.h>
#include <unistd.h>

#include <pollenwall/hash.h>

namespace pollenwall::log {
namespace {

void Drop(Meter& aMeter)
{
  ++aMeter.mDropped;
  ++aMeter.mAllDropped;
}

/// Turns each glog record into one JSON line. Records made by Info, Warning and LogError already
/// are JSON objects; a record of a library becomes the event `message`.
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
    // One write a line, so that lines of several processes on one terminal do not mix.
    if (IsWritable() && ::write(mFile, line.data(), line.size()) >= 0) {
      return;
    }
    Drop(mMeter);
  }

  /// A pipe that is writable takes a line of up to 4,096 bytes without blocking.
  [[nodiscard]] bool IsWritable() const
  {
    pollfd file{ mFile, POLLOUT, 0 };
    return ::poll(&file, 1, 0) == 1 && (file.revents & POLLOUT) != 0;
  }

  std::string mProgram;
  int mFile = STDERR_FILENO;
  Meter mMeter;
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

bool Admit(Meter& aMeter, std::int64_t aSecond, Level aLevel, std::string_view aJob)
{
  if (aSecond != aMeter.mSecond) {
    aMeter.mSecond = aSecond;
    aMeter.mLines = 0;
  }
  const auto& budget = aMeter.mBudget;
  const bool info = aLevel == Level::Info;
  const bool thinned =
    info && aMeter.mLines >= budget.mThinAfter && !aJob.empty() && Hash64(aJob) % kKeptJobs != 0;
  if (thinned || aMeter.mLines >= (info ? budget.mInfo : budget.mMost)) {
    Drop(aMeter);
    return false;
  }
  ++aMeter.mLines;
  return true;
}

std::uint64_t TakeDropped(Meter& aMeter)
{
  return std::exchange(aMeter.mDropped, 0);
}

std::uint64_t DroppedLines()
{
  return Sink().mMeter.mAllDropped;
}

void SetBudget(const Budget& aBudget)
{
  Sink().mMeter.mBudget = aBudget;
}

void Init(std::string_view aProgram, Output aOutput)
{
  // glog keeps the pointer, so the name must outlive the call.
  static std::string program;
  program = aProgram;
  Sink().mProgram = program;
  Sink().mFile = aOutput == Output::StandardOutput ? STDOUT_FILENO : STDERR_FILENO;
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
  auto& meter = Sink().mMeter;
  const auto second = static_cast<std::int64_t>(std::time(nullptr));
  const bool next = second != meter.mSecond;
  if (!Admit(meter, second, aLevel, job)) {
    return;
  }
  if (const auto dropped = next ? TakeDropped(meter) : 0; dropped > 0) {
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

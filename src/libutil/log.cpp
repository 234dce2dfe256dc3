#include <pollenwall/log.h>

#include <boost/json.hpp>
#include <glog/logging.h>

#include <ctime>

#include <unistd.h>

namespace pollenwall::log {
namespace {

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
    [[maybe_unused]] const auto written = ::write(STDERR_FILENO, line.data(), line.size());
  }

  std::string mProgram;
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

void Init(std::string_view aProgram)
{
  // glog keeps the pointer, so the name must outlive the call.
  static std::string program;
  program = aProgram;
  Sink().mProgram = program;
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

void Write(bool aWarning, std::string_view aEvent, const std::vector<Field>& aFields)
{
  if (aWarning) {
    LOG(WARNING) << Format("warning", aEvent, aFields);
  } else {
    LOG(INFO) << Format("info", aEvent, aFields);
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

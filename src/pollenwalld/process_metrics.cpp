#include "process_metrics.h"

#include <fstream>

#include <sys/resource.h>
#include <unistd.h>

#include <pollenwall/log.h>
#include <pollenwall/net/fiber.h>

namespace pollenwall::daemon {
namespace {

double Seconds(const timeval& aTime)
{
  return static_cast<double>(aTime.tv_sec) + 1e-6 * static_cast<double>(aTime.tv_usec);
}

/// Returns nothing if /proc/self/statm cannot be read.
std::optional<std::uint64_t> ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  if (!(file >> total >> resident)) {
    return std::nullopt;
  }
  return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace

net::HttpResponse MetricsResponse(const DaemonContext& aDaemon, metrics::Readings aReadings)
{
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  aReadings.mGauges.emplace_back("process_cpu_seconds",
                                 Seconds(usage.ru_utime) + Seconds(usage.ru_stime));
  if (const auto bytes = ResidentBytes()) {
    aReadings.mGauges.emplace_back("process_resident_bytes", static_cast<double>(*bytes));
  }
  aReadings.mGauges.emplace_back("fibers", static_cast<double>(net::RunningFibers()));
  aReadings.mCounters.emplace_back("log_lines_dropped_total", log::DroppedLineCount());
  auto response =
    net::JsonResponse(boost::beast::http::status::ok, metrics::ToText(aDaemon.mMetrics, aReadings));
  response.set(boost::beast::http::field::content_type, "text/plain; version=0.0.4; charset=utf-8");
  return response;
}

} // namespace pollenwall::daemon

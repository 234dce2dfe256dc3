#include <pollenwall/standin/server.h>
#include <pollenwall/standin/vm_list.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <pollenwall/log.h>

ABSL_FLAG(std::vector<std::string>,
          addresses,
          { "127.0.0.1" },
          "IP addresses to listen on; a fault can be limited to one of them");
ABSL_FLAG(std::uint16_t, port, 9002, "port on each address");
ABSL_FLAG(std::int64_t, lag_ms, 5000, "milliseconds until a change of the list is visible");

namespace {

using namespace pollenwall;
using namespace pollenwall::standin;

Response HandleChange(VmTable& aTable, const std::string& aBody)
{
  std::string problem;
  auto change = ParseVmChange(aBody, problem);
  if (!change) {
    return ErrorResponse(400, Verdict::NotRun, ErrorCode::BadRequest, problem);
  }
  ChangeVms(aTable, std::move(*change), ReadClocks().mUnixMs);
  return { 200, "{}", "" };
}

Response Handle(VmTable& aTable, const Request& aRequest)
{
  if (aRequest.mPath != "/v1/vms") {
    return ErrorResponse(404, Verdict::NotRun, ErrorCode::BadRequest, "no such call");
  }
  if (aRequest.mMethod == "POST") {
    return HandleChange(aTable, aRequest.mBody);
  }
  if (aRequest.mFault == FaultKind::Refuse) {
    return ErrorResponse(503, Verdict::NotRun, ErrorCode::Overloaded, "refused by a fault");
  }
  if (aRequest.mFault == FaultKind::Fail) {
    return ErrorResponse(500, Verdict::NotRun, ErrorCode::Internal, "failed by a fault");
  }
  return { 200, ListVms(aTable, ReadClocks().mUnixMs), "" };
}

} // namespace

int main(int aArgc, char** aArgv)
{
  absl::FlagsUsageConfig config;
  config.version_string = [] { return std::string("standin-vmlist " POLLENWALL_VERSION "\n"); };
  absl::SetFlagsUsageConfig(config);
  absl::SetProgramUsageMessage("A stand-in for the platform's list of virtual machines.\n"
                               "Example: standin-vmlist --port 9002 --lag_ms 5000");
  absl::ParseCommandLine(aArgc, aArgv);
  log::Init("standin-vmlist");
  boost::asio::io_context context{ 1 };
  VmTable table;
  table.mLag = std::chrono::milliseconds(absl::GetFlag(FLAGS_lag_ms));
  std::vector<ListenerOptions> listeners;
  for (const auto& address : absl::GetFlag(FLAGS_addresses)) {
    listeners.push_back({ address, absl::GetFlag(FLAGS_port), 0, false });
  }
  try {
    auto server = StartServer(
      context,
      listeners,
      [&table](const Request& aRequest, const ResponseCallback& aRespond) {
        aRespond(Handle(table, aRequest));
      },
      [](const Request& aRequest) { return aRequest.mMethod == "POST"; });
    log::Info("started", { { "port", std::int64_t{ absl::GetFlag(FLAGS_port) } } });
    RunUntilSignal(context);
  } catch (const boost::system::system_error& error) {
    log::LogError("listen_failed", { { "message", error.what() } });
    return 1;
  }
  log::Info("stopped");
  return 0;
}

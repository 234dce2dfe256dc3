#include "signals.h"

#include <csignal>
#include <functional>

#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <pollenwall/log.h>
#include <pollenwall/net/fiber.h>

#include "callers.h"
#include "entry_loop.h"
#include "node_loop.h"
#include "operators.h"

namespace pollenwall::daemon {
namespace {

void ReloadTlsFiles(net::TlsKeys& aKeys)
{
  boost::leaf::try_handle_all(
    [&aKeys]() -> Result<void> {
      BOOST_LEAF_CHECK(net::ReloadTls(aKeys));
      log::Info("tls_reloaded");
      return {};
    },
    [](const Error& aError) {
      log::LogError("tls_reload_failed", { { "message", aError.mMessage } });
    },
    [] { log::LogError("tls_reload_failed"); });
}

void HandleSignal(DaemonContext& aDaemon, net::TlsKeys* aTls, int aSignal)
{
  auto& loop = *kernel::Find<NodeLoop>(aDaemon.mKernel, "node");
  const auto& callers = *kernel::Find<Callers>(aDaemon.mKernel, "callers");
  if (aSignal == SIGUSR1) {
    log::Info("dump", { { "state", DumpText(aDaemon) } });
    return;
  }
  if (aSignal == SIGHUP) {
    if (aTls != nullptr) {
      ReloadTlsFiles(*aTls);
    }
    return;
  }
  if (!loop.mStopping) {
    log::Info("drain_requested", { { "source", std::string("signal") } });
    BeginDrain(loop);
    return;
  }
  log::Warning("still_draining",
               { { "waiting_calls", static_cast<std::int64_t>(callers.mWaiting.size()) },
                 { "state", node::StatusText(*loop.mState, ReadClocks()) } });
}

/// Calls the handler for each signal until the process ends. The fiber has a large stack, because
/// a dump formats the whole state.
void WatchSignals(DaemonContext& aDaemon, std::function<void(int)> aHandler)
{
  net::Spawn(
    [&aDaemon, handler = std::move(aHandler)] {
      boost::asio::signal_set signals(aDaemon.mContext);
      for (const int signal : { SIGTERM, SIGINT, SIGUSR1, SIGHUP }) {
        signals.add(signal);
      }
      for (;;) {
        boost::system::error_code ec;
        const int signal = signals.async_wait(net::Await(ec));
        if (!ec) {
          handler(signal);
        }
      }
    },
    net::kLargeStackBytes);
}

} // namespace

void HandleEntrySignals(DaemonContext& aDaemon)
{
  auto& loop = *kernel::Find<EntryLoop>(aDaemon.mKernel, "entry");
  WatchSignals(aDaemon, [&loop](int aSignal) {
    if (aSignal == SIGUSR1) {
      log::Info("dump", { { "state", entry::Dump(*loop.mState, ReadClocks()) } });
    } else if (aSignal == SIGHUP) {
      // No setting of these entries can be changed while the process runs.
      log::Info("reload_requested");
    } else {
      log::Info("drain_requested", { { "source", std::string("signal") } });
      BeginDrain(loop);
    }
  });
}

void HandleSignals(DaemonContext& aDaemon, std::shared_ptr<net::TlsKeys> aTls)
{
  WatchSignals(aDaemon, [&aDaemon, tls = std::move(aTls)](int aSignal) {
    HandleSignal(aDaemon, tls.get(), aSignal);
  });
}

} // namespace pollenwall::daemon

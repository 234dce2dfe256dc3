#include "daemon_test.h"

#include <csignal>

#include <unistd.h>

#include <pollenwall/net/fiber.h>

using namespace pollenwall;

int main()
{
  // Ends a test that hangs.
  ::alarm(120);
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(1);
  net::UseScheduler(context);
  bool passed = test::CallerJsonTests();
  passed &= test::LogProtocolTests();
  passed &= test::UpstreamPoolTests(context);
  passed &= test::PeersTests(context);
  passed &= test::CallersTests(context);
  passed &= test::EntryLinksTests(context);
  std::fflush(nullptr);
  // The scheduler's destructor would wait forever for fibers that are blocked on sockets.
  ::_exit(passed ? 0 : 1);
}

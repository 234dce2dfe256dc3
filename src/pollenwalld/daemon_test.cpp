#include "daemon_test.h"

#include <csignal>
#include <cstdlib>
#include <limits>
#include <new>

#include <unistd.h>

#include <pollenwall/net/fiber.h>

using namespace pollenwall;

namespace {

std::size_t maxAllocation = std::numeric_limits<std::size_t>::max();

} // namespace

// An exception that any message can cause is one of a large allocation that fails.
void* operator new(std::size_t aBytes)
{
  void* memory = aBytes <= maxAllocation ? std::malloc(aBytes) : nullptr;
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

void operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory);
}

void test::LimitAllocations(std::size_t aMaxBytes)
{
  maxAllocation = aMaxBytes;
}

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
  passed &= test::CoreLoopTests(context);
  std::fflush(nullptr);
  // The scheduler's destructor would wait forever for fibers that are blocked on sockets.
  ::_exit(passed ? 0 : 1);
}

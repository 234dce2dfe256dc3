#include <pollenwall/net/fiber.h>

#include <exception>
#include <new>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>

#include <sys/mman.h>
#include <unistd.h>

#include <pollenwall/log.h>

namespace pollenwall::net {
namespace {

namespace asio = boost::asio;
namespace fibers = boost::fibers;

/// Logs an exception that is not to end the process. Logging allocates, so it may fail as well.
void LogException(std::string_view aEvent, const std::exception& aError) noexcept
{
  try {
    log::LogError(aEvent, { { "message", std::string(aError.what()) } });
  } catch (const std::exception&) { // NOLINT(bugprone-empty-catch)
  }
}

/// Runs fibers in the order in which they became ready. Handlers of the io_context run only on the
/// dispatcher's stack, never on the small stack of a fiber that suspends.
struct AsioAlgorithm : fibers::algo::algorithm
{
  /// Number of fiber switches between two polls of the sockets. A poll is a system call and costs
  /// about as much as twenty switches.
  static constexpr int kSwitchesPerPoll = 32;
  /// Number of handlers that run in a row before ready fibers are scheduled.
  static constexpr int kHandlersPerRound = 64;

  explicit AsioAlgorithm(asio::io_context& aContext)
    : mContext(aContext)
    , mWork(aContext.get_executor())
  {
  }

  void awakened(fibers::context* aFiber) noexcept override
  {
    aFiber->ready_link(mReady);
    if (!aFiber->is_context(fibers::type::dispatcher_context)) {
      ++mReadyFiberCount;
    }
  }

  fibers::context* pick_next() noexcept override
  {
    const bool dispatching =
      fibers::context::active()->is_context(fibers::type::dispatcher_context);
    if (dispatching && mReadyFiberCount > 0 && ++mSwitches >= kSwitchesPerPoll) {
      mSwitches = 0;
      RunHandlers();
    }
    if (mReady.empty()) {
      return nullptr;
    }
    auto* next = &mReady.front();
    mReady.pop_front();
    if (!next->is_context(fibers::type::dispatcher_context)) {
      --mReadyFiberCount;
    }
    return next;
  }

  bool has_ready_fibers() const noexcept override { return mReadyFiberCount > 0; }

  void suspend_until(const std::chrono::steady_clock::time_point& aTime) noexcept override
  {
    mSwitches = 0;
    RunLogged([this, &aTime] {
      return aTime == std::chrono::steady_clock::time_point::max() ? mContext.run_one()
                                                                   : mContext.run_one_until(aTime);
    });
    RunHandlers();
  }

  void notify() noexcept override
  {
    asio::post(mContext, [] {});
  }

  void RunHandlers() noexcept
  {
    for (int n = 0; n < kHandlersPerRound; ++n) {
      if (RunLogged([this] { return mContext.poll_one(); }) == 0) {
        return;
      }
    }
  }

  /// Runs at most one handler and returns how many ran. An exception ends only the handler: the
  /// scheduler calls from functions that are noexcept, so it would end the process.
  template<typename Run>
  static std::size_t RunLogged(const Run& aRun) noexcept
  {
    try {
      return aRun();
    } catch (const std::exception& error) {
      LogException("handler_failed", error);
      return 1;
    }
  }

  asio::io_context& mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  fibers::scheduler::ready_queue_type mReady;
  std::size_t mReadyFiberCount = 0;
  int mSwitches = 0;
};

/// Free stacks of the small size, kept for reuse so that a connection costs no mmap and munmap.
/// Each stack has a guard page, so that an overflow ends the process instead of corrupting other
/// data.
struct StackPool
{
  static constexpr std::size_t kMaxFreeStacks = 256;

  ~StackPool()
  {
    for (void* base : mFree) {
      ::munmap(base, kSmallStackBytes);
    }
  }

  std::vector<void*> mFree;
};

StackPool& ThreadStackPool()
{
  static thread_local StackPool pool;
  return pool;
}

struct StackAllocator
{
  std::size_t mBytes;

  boost::context::stack_context allocate() const
  {
    auto& pool = ThreadStackPool();
    void* base = nullptr;
    if (mBytes == kSmallStackBytes && !pool.mFree.empty()) {
      base = pool.mFree.back();
      pool.mFree.pop_back();
    } else {
      base = ::mmap(nullptr,
                    mBytes,
                    PROT_READ | PROT_WRITE,
                    MAP_PRIVATE | MAP_ANONYMOUS | MAP_STACK | MAP_NORESERVE,
                    -1,
                    0);
      if (base == MAP_FAILED) {
        throw std::bad_alloc();
      }
      ::mprotect(base, static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)), PROT_NONE);
    }
    boost::context::stack_context stack;
    stack.size = mBytes;
    stack.sp = static_cast<char*>(base) + mBytes;
    return stack;
  }

  void deallocate(boost::context::stack_context& aStack) const noexcept
  {
    void* base = static_cast<char*>(aStack.sp) - aStack.size;
    auto& pool = ThreadStackPool();
    if (aStack.size == kSmallStackBytes && pool.mFree.size() < StackPool::kMaxFreeStacks) {
      pool.mFree.push_back(base);
    } else {
      ::munmap(base, aStack.size);
    }
  }
};

std::size_t& RunningFiberCount()
{
  static thread_local std::size_t count = 0;
  return count;
}

} // namespace

void UseScheduler(asio::io_context& aContext)
{
  fibers::use_scheduling_algorithm<AsioAlgorithm>(aContext);
}

void Spawn(std::function<void()> aFunction, std::size_t aStackBytes)
{
  fibers::fiber(fibers::launch::post,
                std::allocator_arg,
                StackAllocator{ aStackBytes },
                [function = std::move(aFunction)] {
                  try {
                    function();
                  } catch (const std::exception& error) {
                    LogException("fiber_failed", error);
                  }
                  --RunningFiberCount();
                })
    .detach();
  ++RunningFiberCount(); // The fiber runs only after this, because it is posted.
}

std::size_t RunningFibers()
{
  return RunningFiberCount();
}

void SleepFor(asio::io_context& aContext, std::chrono::microseconds aTime)
{
  asio::steady_timer timer(aContext, aTime);
  boost::system::error_code ec;
  timer.async_wait(Await(ec));
}

} // namespace pollenwall::net

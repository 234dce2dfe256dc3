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

/// Fibers run in the order in which they became ready. Handlers of the io_context run only on the
/// dispatcher's stack, never on the small stack of a fiber that happens to suspend.
struct AsioAlgorithm : fibers::algo::algorithm
{
  /// Ready fibers run this many switches before the sockets are looked at again: a poll is a system
  /// call and costs about as much as twenty switches.
  static constexpr int kSwitchesPerPoll = 32;
  /// Handlers run in a row before ready fibers get their turn.
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
      ++mReadyFibers;
    }
  }

  fibers::context* pick_next() noexcept override
  {
    const bool dispatching =
      fibers::context::active()->is_context(fibers::type::dispatcher_context);
    if (dispatching && mReadyFibers > 0 && ++mSwitches >= kSwitchesPerPoll) {
      mSwitches = 0;
      RunHandlers();
    }
    if (mReady.empty()) {
      return nullptr;
    }
    auto* next = &mReady.front();
    mReady.pop_front();
    if (!next->is_context(fibers::type::dispatcher_context)) {
      --mReadyFibers;
    }
    return next;
  }

  bool has_ready_fibers() const noexcept override { return mReadyFibers > 0; }

  void suspend_until(const std::chrono::steady_clock::time_point& aTime) noexcept override
  {
    mSwitches = 0;
    if (aTime == std::chrono::steady_clock::time_point::max()) {
      mContext.run_one();
    } else {
      mContext.run_one_until(aTime);
    }
    RunHandlers();
  }

  void notify() noexcept override
  {
    asio::post(mContext, [] {});
  }

  void RunHandlers()
  {
    for (int n = 0; n < kHandlersPerRound && mContext.poll_one() > 0; ++n) {
    }
  }

  asio::io_context& mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  fibers::scheduler::ready_queue_type mReady;
  std::size_t mReadyFibers = 0;
  int mSwitches = 0;
};

/// Stacks with a guard page, so that an overflow ends the process instead of changing other data.
/// Stacks of the small size are kept in a list: a connection then costs no map and unmap.
struct StackPool
{
  static constexpr std::size_t kKept = 256;

  ~StackPool()
  {
    for (void* base : mFree) {
      ::munmap(base, kSmallStackBytes);
    }
  }

  std::vector<void*> mFree;
};

StackPool& Pool()
{
  static thread_local StackPool pool;
  return pool;
}

struct StackAllocator
{
  std::size_t mBytes;

  boost::context::stack_context allocate() const
  {
    auto& pool = Pool();
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
    auto& pool = Pool();
    if (aStack.size == kSmallStackBytes && pool.mFree.size() < StackPool::kKept) {
      pool.mFree.push_back(base);
    } else {
      ::munmap(base, aStack.size);
    }
  }
};

std::size_t& FiberCount()
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
  ++FiberCount();
  fibers::fiber(fibers::launch::post,
                std::allocator_arg,
                StackAllocator{ aStackBytes },
                [function = std::move(aFunction)] {
                  try {
                    function();
                  } catch (const std::exception& problem) {
                    log::LogError("fiber_failed", { { "message", std::string(problem.what()) } });
                  }
                  --FiberCount();
                })
    .detach();
}

std::size_t RunningFibers()
{
  return FiberCount();
}

void SleepFor(asio::io_context& aContext, std::chrono::microseconds aTime)
{
  asio::steady_timer timer(aContext, aTime);
  boost::system::error_code ec;
  timer.async_wait(Await(ec));
}

} // namespace pollenwall::net

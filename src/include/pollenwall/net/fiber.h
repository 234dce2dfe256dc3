#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <tuple>
#include <utility>

#include <boost/asio/async_result.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/context.hpp>

/// Fibers on an Asio event loop. One thread runs one io_context and all of its fibers, so nothing
/// here is thread safe and nothing needs a lock.
namespace pollenwall::net {

/// Installs a scheduling algorithm on the calling thread that sleeps in the io_context when no
/// fiber is ready. Call once per thread, before the first fiber starts. The io_context must outlive
/// all fibers of the thread.
void UseScheduler(boost::asio::io_context& aContext);

/// Stack sizes. Each stack has a guard page below it. Freed stacks of the small size are reused.
inline constexpr std::size_t kSmallStackBytes = 256 * 1024;
inline constexpr std::size_t kLargeStackBytes = 1024 * 1024;

/// Starts a detached fiber. An exception thrown by the function is logged and ends the fiber.
void Spawn(std::function<void()> aFunction, std::size_t aStackBytes = kSmallStackBytes);

/// Number of fibers started by Spawn that have not ended.
std::size_t RunningFibers();

/// Suspends the calling fiber for the time given.
void SleepFor(boost::asio::io_context& aContext, std::chrono::microseconds aTime);

/// A value that is set at most once and that one fiber can wait for.
template<typename T>
struct OneShot
{
  std::optional<T> mValue;
  boost::fibers::context* mWaiter = nullptr;

  OneShot() = default;
  OneShot(const OneShot&) = delete;
  OneShot& operator=(const OneShot&) = delete;

  /// Only the first value is kept; later ones are discarded.
  void Set(T aValue)
  {
    if (mValue) {
      return;
    }
    mValue = std::move(aValue);
    if (mWaiter != nullptr) {
      boost::fibers::context::active()->schedule(std::exchange(mWaiter, nullptr));
    }
  }

  /// Suspends the calling fiber until there is a value.
  T& Wait()
  {
    if (!mValue) {
      mWaiter = boost::fibers::context::active();
      mWaiter->suspend();
    }
    return *mValue;
  }
};

/// Wakes one waiting fiber. A wake-up that is set while no fiber waits ends the next wait at once.
struct Wakeup
{
  bool mSet = false;
  boost::fibers::context* mWaiter = nullptr;

  void Set()
  {
    mSet = true;
    if (mWaiter != nullptr) {
      boost::fibers::context::active()->schedule(std::exchange(mWaiter, nullptr));
    }
  }

  void Wait()
  {
    if (!mSet) {
      mWaiter = boost::fibers::context::active();
      mWaiter->suspend();
    }
    mSet = false;
  }
};

/// Completion token for asynchronous operations that suspends the calling fiber until the operation
/// has completed, for example `n = socket.async_read_some(buf, Await(ec))`.
struct AwaitToken
{
  boost::system::error_code* mEc;
};

inline AwaitToken Await(boost::system::error_code& aEc)
{
  return { &aEc };
}

namespace detail {

template<typename... Values>
struct AwaitState
{
  boost::system::error_code mEc;
  std::tuple<Values...> mValues;
  bool mDone = false;
  boost::fibers::context* mWaiter = nullptr;
};

template<typename... Values>
struct AwaitHandler
{
  AwaitState<Values...>* mState; ///< On the waiting fiber's stack.

  void operator()(const boost::system::error_code& aEc, Values... aValues)
  {
    mState->mEc = aEc;
    mState->mValues = std::tuple<Values...>(std::move(aValues)...);
    mState->mDone = true;
    if (mState->mWaiter != nullptr) {
      boost::fibers::context::active()->schedule(mState->mWaiter);
    }
  }
};

} // namespace detail
} // namespace pollenwall::net

template<typename... Values>
class boost::asio::async_result<pollenwall::net::AwaitToken,
                                void(boost::system::error_code, Values...)>
{
public:
  // Declared explicitly, because Asio uses return_type even in overloads that do not apply.
  using return_type = // NOLINT(readability-identifier-naming)
    std::tuple_element_t<0, std::tuple<Values..., void>>;

  template<typename Initiation, typename... Args>
  static return_type initiate(Initiation&& aInitiation,
                              pollenwall::net::AwaitToken aToken,
                              Args&&... aArgs)
  {
    pollenwall::net::detail::AwaitState<Values...> state;
    std::forward<Initiation>(aInitiation)(
      pollenwall::net::detail::AwaitHandler<Values...>{ &state }, std::forward<Args>(aArgs)...);
    if (!state.mDone) {
      state.mWaiter = boost::fibers::context::active();
      state.mWaiter->suspend();
    }
    *aToken.mEc = state.mEc;
    if constexpr (sizeof...(Values) == 1) {
      return std::move(std::get<0>(state.mValues));
    }
  }
};

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <span>

/// Bounds on the memory and descriptors that other processes can make this one hold.
namespace pollenwall::net {

/// What a connection holds of a budget.
struct BufferUse
{
  std::size_t mBytes = 0;
  std::uint64_t mNumber = 0; ///< Rises with each connection, so the lower of two is the older.
  bool mClosable = true;     ///< False while the request of the connection is being handled.

  friend auto operator<=>(const BufferUse&, const BufferUse&) = default;
};

/// The index of the connection to close when a budget is used up: the closable one that uses most,
/// among equals the oldest. Nothing if no closable connection uses any bytes.
std::optional<std::size_t> ChooseToClose(std::span<const BufferUse> aUses);

struct BufferAccount;

/// A bound on the bytes of all connections that share it.
struct BufferBudget
{
  std::size_t mMaxBytes = std::numeric_limits<std::size_t>::max();
  std::size_t mBytes = 0; ///< Without accounts that are being closed.
  std::uint64_t mLastNumber = 0;
  std::list<BufferAccount*> mAccounts;
};

/// The share of one connection. It belongs to the budget during its lifetime.
struct BufferAccount
{
  /// The function ends the connection's outstanding operations. It must not suspend the fiber.
  BufferAccount(std::shared_ptr<BufferBudget> aBudget, std::function<void()> aClose);
  ~BufferAccount();
  BufferAccount(const BufferAccount&) = delete;
  BufferAccount& operator=(const BufferAccount&) = delete;

  std::shared_ptr<BufferBudget> mBudget;
  std::function<void()> mClose;
  BufferUse mUse;
  bool mClosing = false; ///< Chosen to be closed; its bytes no longer count.

private:
  std::list<BufferAccount*>::iterator mPosition;
};

/// Sets the bytes of an account. While the budget is exceeded, closes the connections that
/// ChooseToClose names. Returns false if this account's connection is to be closed; its own
/// function is not called.
bool Charge(BufferAccount& aAccount, std::size_t aBytes);

/// Memory and descriptors of the process.
struct ProcessResources
{
  std::size_t mMemoryMb = 1024;
  std::size_t mMaxDescriptors = 1024;

  friend auto operator<=>(const ProcessResources&, const ProcessResources&) = default;
};

/// The bounds that follow from them.
struct ResourceLimits
{
  static constexpr auto kUnlimited = std::numeric_limits<std::size_t>::max();
  std::size_t mBufferBytes = kUnlimited;     ///< Unfinished requests and unread responses.
  std::size_t mPeerBufferBytes = kUnlimited; ///< Unfinished frames of other entries.
  std::size_t mMaxConnections = kUnlimited;  ///< Of callers.
  std::size_t mMaxPeerLinks = kUnlimited;    ///< Accepted from other entries.
  std::size_t mSocketBufferBytes = 0;        ///< Of the kernel for each direction; 0: its default.

  friend auto operator<=>(const ResourceLimits&, const ResourceLimits&) = default;
};

ResourceLimits DeriveLimits(const ProcessResources& aResources);

} // namespace pollenwall::net

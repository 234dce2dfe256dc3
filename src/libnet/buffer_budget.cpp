#include <pollenwall/net/buffer_budget.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace pollenwall::net {
namespace {

/// Resident memory of a connection without its buffered input: the touched pages of its fiber's
/// stack, the read buffer and the socket's objects. Measured: 10.4 KB for one that has sent a byte.
constexpr std::size_t kConnectionBytes = 16 * 1024;
constexpr std::size_t kMebibyte = 1024 * 1024;
/// Of the memory, for each direction of a connection. The least takes a request of ordinary size;
/// the largest is enough for a body of megabytes within tens of milliseconds.
constexpr std::size_t kSocketBufferShare = 8192;
constexpr std::size_t kMinSocketBuffer = 16 * 1024;
constexpr std::size_t kMaxSocketBuffer = 256 * 1024;
/// Descriptors for files.
constexpr std::size_t kReservedDescriptors = 200;

} // namespace

std::optional<std::size_t> ChooseToClose(std::span<const BufferUse> aUses)
{
  std::optional<std::size_t> chosen;
  for (std::size_t n = 0; n < aUses.size(); ++n) {
    const auto& use = aUses[n];
    if (!use.mClosable || use.mBytes == 0) {
      continue;
    }
    if (!chosen || use.mBytes > aUses[*chosen].mBytes ||
        (use.mBytes == aUses[*chosen].mBytes && use.mNumber < aUses[*chosen].mNumber)) {
      chosen = n;
    }
  }
  return chosen;
}

BufferAccount::BufferAccount(std::shared_ptr<BufferBudget> aBudget, std::function<void()> aClose)
  : mBudget(std::move(aBudget))
  , mClose(std::move(aClose))
{
  mUse.mNumber = ++mBudget->mLastNumber;
  mPosition = mBudget->mAccounts.insert(mBudget->mAccounts.end(), this);
}

BufferAccount::~BufferAccount()
{
  if (!mClosing) {
    mBudget->mBytes -= mUse.mBytes;
  }
  mBudget->mAccounts.erase(mPosition);
}

bool Charge(BufferAccount& aAccount, std::size_t aBytes)
{
  auto& budget = *aAccount.mBudget;
  const auto old = std::exchange(aAccount.mUse.mBytes, aBytes);
  if (aAccount.mClosing) {
    return true;
  }
  budget.mBytes += aBytes;
  budget.mBytes -= old;
  while (budget.mBytes > budget.mMaxBytes) {
    const std::vector<BufferAccount*> accounts(budget.mAccounts.begin(), budget.mAccounts.end());
    std::vector<BufferUse> uses;
    uses.reserve(accounts.size());
    for (const auto* account : accounts) {
      uses.push_back(account->mUse);
      uses.back().mClosable = account->mUse.mClosable && !account->mClosing;
    }
    const auto chosen = ChooseToClose(uses);
    if (!chosen) {
      return true;
    }
    auto& victim = *accounts[*chosen];
    victim.mClosing = true;
    budget.mBytes -= victim.mUse.mBytes;
    if (&victim == &aAccount) {
      return false;
    }
    victim.mClose();
  }
  return true;
}

ResourceLimits DeriveLimits(const ProcessResources& aResources)
{
  const auto memory = aResources.mMemoryMb * kMebibyte;
  const auto descriptors =
    aResources.mMaxDescriptors - std::min(aResources.mMaxDescriptors, kReservedDescriptors);
  // Half of the descriptors and of the memory are left for connections that the entry opens and for
  // its own state.
  return { .mBufferBytes = memory / 4,
           .mPeerBufferBytes = memory / 8,
           .mMaxConnections =
             std::max<std::size_t>(1, std::min(memory / 3 / kConnectionBytes, descriptors / 2)),
           .mMaxPeerLinks = std::max<std::size_t>(1, descriptors / 4),
           .mSocketBufferBytes =
             std::clamp(memory / kSocketBufferShare, kMinSocketBuffer, kMaxSocketBuffer) };
}

} // namespace pollenwall::net

#include "resource_limits.h"

#include <algorithm>

#include <malloc.h>
#include <sys/resource.h>

namespace pollenwall::daemon {
namespace {

constexpr std::size_t kMebibyte = 1024 * 1024;
/// The initial value of glibc. Without a set value it grows to the largest block that is freed, and
/// request bodies and results of that size then fragment the heap.
constexpr int kLargeBlockBytes = 128 * 1024;
/// Memory of the process at rest.
constexpr std::size_t kIdleMb = 16;
/// Memory of a remembered refusal with an id of 128 characters, which is stored twice.
constexpr std::size_t kRefusalBytes = 640;
/// Memory of a record in a list of the journal.
constexpr std::size_t kJournalRecordBytes = 384;
constexpr std::size_t kJournalLists = 3;

} // namespace

void ReturnLargeBlocks()
{
  // An allocator without these parameters ignores the calls.
  (void)::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  (void)::mallopt(M_TRIM_THRESHOLD, kLargeBlockBytes);
}

void SetResourceLimits(DaemonContext& aDaemon)
{
  const auto& http = aDaemon.mSettings.mHttp;
  net::ProcessResources resources{ .mMemoryMb = http.mMemoryMb };
  rlimit limit{};
  if (http.mMaxDescriptors != 0) {
    resources.mMaxDescriptors = http.mMaxDescriptors;
  } else if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    resources.mMaxDescriptors = limit.rlim_cur;
  }
  aDaemon.mLimits = net::DeriveLimits(resources);
  aDaemon.mHttpBudget->mMaxBytes = aDaemon.mLimits.mBufferBytes;
  aDaemon.mPeerBudget->mMaxBytes = aDaemon.mLimits.mPeerBufferBytes;
}

void SetMemoryLimits(dispatch::Options& aOptions, std::size_t aMemoryMb)
{
  const auto memory = aMemoryMb * kMebibyte;
  aOptions.mMaxJobBytes = memory / 8;
  aOptions.mMaxEndedJobBytes = memory / 8;
  aOptions.mMaxRetainedResultBytes = memory / 16;
}

void SetMemoryLimits(node::Options& aOptions, std::size_t aMemoryMb)
{
  // Answers are kept for a minute, so that callers can fill all of the shares at once.
  const auto availableMb = std::max(aMemoryMb - std::min(aMemoryMb, kIdleMb), aMemoryMb / 2);
  SetMemoryLimits(aOptions.mDispatch, availableMb);
  const auto share = availableMb * kMebibyte / 16;
  aOptions.mJournalBufferRecords =
    std::min(aOptions.mJournalBufferRecords, share / kJournalLists / kJournalRecordBytes);
  aOptions.mMaxRefusals = std::min(aOptions.mMaxRefusals, share / kRefusalBytes);
}

net::HttpServerOptions MakeHttpOptions(const DaemonContext& aDaemon,
                                       std::string aName,
                                       const settings::Endpoint& aListen)
{
  const auto& http = aDaemon.mSettings.mHttp;
  net::HttpServerOptions options;
  options.mName = std::move(aName);
  options.mListen = *net::ParseEndpoint(settings::ToString(aListen));
  options.mMaxTrailerBytes = http.mMaxTrailerBytes;
  options.mSocketBufferBytes =
    http.mSocketBufferBytes != 0 ? http.mSocketBufferBytes : aDaemon.mLimits.mSocketBufferBytes;
  options.mIdleTimeout = http.mIdleTimeout;
  options.mHeaderTimeout = http.mHeaderTimeout;
  options.mRequestTimeout = http.mReadTimeout;
  options.mBudget = aDaemon.mHttpBudget;
  return options;
}

} // namespace pollenwall::daemon

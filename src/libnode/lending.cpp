#include <algorithm>

#include "slots.h"

// Lending of credits: a loan lets a peer with waiting tasks use idle credits of this entry for a
// limited time, and the other way round.

namespace pollenwall::node {
namespace {

using membership::MemberState;

constexpr std::chrono::milliseconds kLoanDuration{ 2000 };
/// The lender waits this much longer than the loan, for the delay of messages.
constexpr std::chrono::milliseconds kLoanExpiryMargin{ 500 };
/// Time for which an ended loan or request is kept, for late and duplicate messages.
constexpr std::chrono::milliseconds kLoanRetention{ 10000 };
constexpr std::chrono::milliseconds kBorrowTimeout{ 500 };
constexpr std::uint32_t kMaxBorrowedCredits = 64;
constexpr std::chrono::milliseconds kLongBorrowInterval{ 250 };
/// Fewer idle credits in a peer's last heartbeat are probably used up before a request arrives.
constexpr std::uint64_t kMinLenderIdleCredits = 4;

/// Selects the peer with most idle credits: in this data centre, or in another one when that is
/// faster than waiting.
std::optional<Incarnation> SelectLender(const State& aState)
{
  const auto& configuration = *aState.mConfiguration.mConfiguration;
  const auto wait = dispatch::LoadOf(*aState.mDispatch).mEstimatedWait;
  std::optional<Incarnation> best;
  std::pair<bool, std::uint64_t> most{ false, 0 };
  for (const auto& [incarnation, peer] : aState.mMembers.mPeers) {
    if (!peer.mLinkUp || peer.mIdleCredits < kMinLenderIdleCredits ||
        peer.mState != MemberState::Ready) {
      continue;
    }
    const bool here = peer.mDataCentre == aState.mOptions.mDataCentre;
    if (!here) {
      const auto other = configuration.mDataCentres.find(peer.mDataCentre);
      // A loan from there costs a round trip for the request and one for each task.
      if (other == configuration.mDataCentres.end() || wait < 4 * other->second.mOneWayLatency) {
        continue;
      }
    }
    const std::pair rank{ here, peer.mIdleCredits };
    if (!best || rank > most) {
      best = incarnation;
      most = rank;
    }
  }
  return best;
}

void RequestLoan(State& aState,
                 const std::string& aService,
                 std::size_t aTasks,
                 Actions& aActions,
                 const Now& aNow)
{
  const bool isPending =
    std::any_of(aState.mPendingBorrows.begin(), aState.mPendingBorrows.end(), [&](const auto& aIt) {
      return aIt.second.mService == aService && aNow.mTime < aIt.second.mUntil;
    });
  if (isPending) {
    return;
  }
  const auto lender = SelectLender(aState);
  if (!lender) {
    return;
  }
  const auto number = ++aState.mNextNumber;
  aState.mPendingBorrows[number] = { aService, *lender, aNow.mTime + kBorrowTimeout };
  ++aState.mCounters.mBorrowRequests;
  const auto count = static_cast<std::uint32_t>(std::min<std::size_t>(aTasks, kMaxBorrowedCredits));
  Send(aState, *lender, message::Borrow{ number, aService, count }, aActions);
}

/// Recalls lent credits of a service. The borrower returns idle ones at once.
void Recall(State& aState, std::string_view aService, Actions& aActions)
{
  for (auto& [key, loan] : aState.mLentLoans) {
    if (loan.mRecalled || loan.mCredits.empty() ||
        ServiceOf(loan.mCredits.begin()->first) != aService) {
      continue;
    }
    loan.mRecalled = true;
    Send(aState, key.first, message::ReturnCredits{ key.second, {} }, aActions);
  }
}

/// Returns the credits of an ended loan on one upstream whose tasks have ended. aCoveredTasks
/// counts running tasks that other ended loans on the upstream account for.
void ReturnFreedCredits(Loan& aLoan,
                        const std::string& aKey,
                        std::uint32_t aRunning,
                        std::uint32_t aCredits,
                        std::uint32_t& aCoveredTasks,
                        message::ReturnCredits& aMessage)
{
  const auto it = aLoan.mCredits.find(aKey);
  if (it == aLoan.mCredits.end()) {
    return;
  }
  const auto uncovered = aRunning - std::min(aRunning, aCredits + aCoveredTasks);
  const auto covered = std::min(it->second, uncovered);
  aCoveredTasks += covered;
  if (it->second > covered) {
    aMessage.mCredits.push_back({ aKey, it->second - covered });
  }
  it->second = covered;
  if (covered == 0) {
    aLoan.mCredits.erase(it);
  }
}

} // namespace

void ReturnFreedCreditsOn(State& aState, const std::string& aKey, Actions& aActions)
{
  const auto load = dispatch::FindUpstreamLoad(*aState.mDispatch, aKey);
  std::uint32_t covered = 0;
  for (auto& [number, loan] : aState.mBorrowedLoans) {
    message::ReturnCredits message{ number, {} };
    if (loan.mExpired && load) {
      ReturnFreedCredits(loan, aKey, load->mRunning, load->mCredits, covered, message);
    }
    if (!message.mCredits.empty()) {
      Send(aState, loan.mPeer, std::move(message), aActions);
    }
  }
}

namespace {

/// Returns all free credits of an ended loan in one message.
void ReturnAllFreedCredits(State& aState,
                           std::uint64_t aNumber,
                           Loan& aLoan,
                           const Loads& aLoads,
                           Actions& aActions)
{
  message::ReturnCredits message{ aNumber, {} };
  const auto credits = aLoan.mCredits;
  for (const auto& [key, count] : credits) {
    std::uint32_t covered = 0;
    ReturnFreedCredits(
      aLoan, key, RunningTasksOn(aLoads, key), aState.mSlots[key].mCredits, covered, message);
  }
  if (!message.mCredits.empty()) {
    Send(aState, aLoan.mPeer, std::move(message), aActions);
  }
}

/// Ends a borrowed loan: no more task starts on it. Idle credits return at once, others when their
/// tasks end. Until then heartbeats report the upstreams as occupied.
void EndLoan(State& aState,
             std::uint64_t aNumber,
             Loan& aLoan,
             const Loads& aLoads,
             const Now& aNow,
             Actions& aActions)
{
  aLoan.mExpired = true;
  aLoan.mExpires = aNow.mTime + kLoanRetention;
  const auto credits = aLoan.mCredits;
  for (const auto& [key, count] : credits) {
    auto& slots = aState.mSlots[key];
    slots.mBorrowed -= std::min(slots.mBorrowed, count);
    UpdateCredits(aState, key, slots, aNow, aActions);
  }
  ReturnAllFreedCredits(aState, aNumber, aLoan, aLoads, aActions);
}

/// Returns credits that no running task uses.
void ReturnIdleCredits(State& aState,
                       std::uint64_t aNumber,
                       Loan& aLoan,
                       const Loads& aLoads,
                       const Now& aNow,
                       Actions& aActions)
{
  message::ReturnCredits message{ aNumber, {} };
  for (auto it = aLoan.mCredits.begin(); it != aLoan.mCredits.end();) {
    auto& [key, count] = *it;
    auto& slots = aState.mSlots[key];
    const auto running = RunningTasksOn(aLoads, key);
    const auto idle = std::min(count, slots.mCredits - std::min(slots.mCredits, running));
    if (idle > 0) {
      count -= idle;
      slots.mBorrowed -= std::min(slots.mBorrowed, idle);
      UpdateCredits(aState, key, slots, aNow, aActions);
      message.mCredits.push_back({ key, idle });
    }
    it = count == 0 ? aLoan.mCredits.erase(it) : std::next(it);
  }
  if (!message.mCredits.empty()) {
    Send(aState, aLoan.mPeer, std::move(message), aActions);
  }
}

void TickBorrowed(State& aState, const Loads& aLoads, const Now& aNow, Actions& aActions)
{
  for (auto it = aState.mBorrowedLoans.begin(); it != aState.mBorrowedLoans.end();) {
    auto& loan = it->second;
    if (loan.mExpired) {
      const bool isDone = aNow.mTime >= loan.mExpires && loan.mCredits.empty();
      it = isDone ? aState.mBorrowedLoans.erase(it) : std::next(it);
      continue;
    }
    if (loan.mRecalled || aNow.mTime >= loan.mExpires || !IsLinkUp(aState, loan.mPeer)) {
      EndLoan(aState, it->first, loan, aLoads, aNow, aActions);
    } else if (!loan.mCredits.empty() &&
               dispatch::WaitingTasks(*aState.mDispatch, ServiceOf(loan.mCredits.begin()->first)) ==
                 0) {
      ReturnIdleCredits(aState, it->first, loan, aLoads, aNow, aActions);
    }
    ++it;
  }
  std::erase_if(aState.mPendingBorrows,
                [&](const auto& aIt) { return aNow.mTime >= aIt.second.mUntil + kLoanRetention; });
}

void TickLent(State& aState, const Now& aNow, Actions& aActions)
{
  for (auto it = aState.mLentLoans.begin(); it != aState.mLentLoans.end();) {
    auto& loan = it->second;
    if (aNow.mTime < loan.mExpires + kLoanExpiryMargin) {
      ++it;
      continue;
    }
    // Either a return message was lost or tasks still run. The borrower's heartbeats show which.
    const auto* peer = membership::FindPeer(aState.mMembers, loan.mPeer);
    const bool isUnreachable = peer == nullptr || !peer->mLinkUp;
    const bool heardSinceExpiry = !isUnreachable && peer->mLastHeartbeat &&
                                  *peer->mLastHeartbeat >= loan.mExpires + kLoanExpiryMargin;
    for (auto credit = loan.mCredits.begin(); credit != loan.mCredits.end();) {
      const auto& [key, count] = *credit;
      if (!isUnreachable && (!heardSinceExpiry || IsOccupied(*peer, key))) {
        ++credit;
        continue;
      }
      auto& slots = aState.mSlots[key];
      slots.mLent -= std::min(slots.mLent, count);
      if (isUnreachable) {
        // Its tasks may still run, so the upstream is queried as for a departed member's slots.
        slots.mHeldBack = std::min(slots.mShare, slots.mHeldBack + count);
        slots.mDepartedSlots += count;
        aState.mHeldBackUpstreams.insert(key);
      }
      UpdateCredits(aState, key, slots, aNow, aActions);
      credit = loan.mCredits.erase(credit);
    }
    it = loan.mCredits.empty() ? aState.mLentLoans.erase(it) : std::next(it);
  }
}

} // namespace

void TickLending(State& aState, const Now& aNow, Actions& aActions)
{
  if (!aState.mBorrowedLoans.empty()) {
    TickBorrowed(aState, LoadsByKey(aState), aNow, aActions);
  } else if (!aState.mPendingBorrows.empty()) {
    TickBorrowed(aState, {}, aNow, aActions);
  }
  TickLent(aState, aNow, aActions);
  if (dispatch::QueuedTasks(*aState.mDispatch) == 0) {
    return;
  }
  for (const auto& [name, service] : aState.mConfiguration.mConfiguration->mServices) {
    RequestCredits(aState, name, aNow, aActions);
  }
}

void RequestCredits(State& aState, const std::string& aService, const Now& aNow, Actions& aActions)
{
  const auto unserved = dispatch::UnservedTasks(*aState.mDispatch, aService);
  if (unserved > 0) {
    Recall(aState, aService, aActions);
    RequestLoan(aState, aService, unserved, aActions, aNow);
    return;
  }
  // More slots raise the share of the long class. Its tasks can wait a little, so requests for it
  // are less frequent.
  const auto waiting = dispatch::WaitingTasks(*aState.mDispatch, aService);
  if (waiting > 0 && aNow.mTime >= aState.mNextLongBorrow) {
    aState.mNextLongBorrow = aNow.mTime + kLongBorrowInterval;
    RequestLoan(aState, aService, 2 * waiting, aActions, aNow);
  }
}

void ReturnCreditsAfterTask(State& aState, dispatch::UpstreamIndex aUpstream, Actions& aActions)
{
  const bool hasEnded =
    std::any_of(aState.mBorrowedLoans.begin(), aState.mBorrowedLoans.end(), [](const auto& aLoan) {
      return aLoan.second.mExpired && !aLoan.second.mCredits.empty();
    });
  if (hasEnded && aUpstream < aState.mIndexCount) {
    ReturnFreedCreditsOn(aState, dispatch::AddressOf(*aState.mDispatch, aUpstream).mKey, aActions);
  }
}

void OnBorrow(State& aState,
              Incarnation aFrom,
              const message::Borrow& aMessage,
              const Now& aNow,
              Actions& aActions)
{
  message::Grant grant{ aMessage.mNumber, {}, kLoanDuration };
  Loan loan{ aFrom, {}, aNow.mTime + kLoanDuration, false, false };
  if (dispatch::UnservedTasks(*aState.mDispatch, aMessage.mService) == 0) {
    auto remaining = std::min(aMessage.mCount, kMaxBorrowedCredits);
    for (const auto& it : dispatch::UpstreamLoads(*aState.mDispatch)) {
      const auto found = aState.mSlots.find(it.mKey);
      if (remaining == 0) {
        break;
      }
      if (!it.mUsable || ServiceOf(it.mKey) != aMessage.mService || found == aState.mSlots.end()) {
        continue;
      }
      auto& slots = found->second;
      // Borrowed credits are not lent on. A quarter of the idle credits stays for the next jobs of
      // this entry.
      const auto own = slots.mCredits - std::min(slots.mCredits, slots.mBorrowed);
      const auto idle = own - std::min(own, it.mRunning);
      const auto count = std::min(remaining, idle - idle / 4);
      if (count == 0) {
        continue;
      }
      remaining -= count;
      loan.mCredits[it.mKey] = count;
      grant.mCredits.push_back({ it.mKey, count });
    }
  }
  for (const auto& [key, count] : loan.mCredits) {
    auto& slots = aState.mSlots[key];
    slots.mLent += count;
    aState.mCounters.mCreditsLent += count;
    UpdateCredits(aState, key, slots, aNow, aActions);
  }
  if (!loan.mCredits.empty()) {
    aState.mLentLoans[{ aFrom, aMessage.mNumber }] = std::move(loan);
  }
  Send(aState, aFrom, std::move(grant), aActions);
}

void OnGrant(State& aState,
             Incarnation aFrom,
             const message::Grant& aMessage,
             const Now& aNow,
             Actions& aActions)
{
  const auto request = aState.mPendingBorrows.find(aMessage.mNumber);
  if (request == aState.mPendingBorrows.end() || request->second.mPeer != aFrom) {
    const auto known = aState.mBorrowedLoans.find(aMessage.mNumber);
    if (known == aState.mBorrowedLoans.end()) {
      Send(aState, aFrom, message::ReturnCredits{ aMessage.mNumber, aMessage.mCredits }, aActions);
    }
    return;
  }
  const auto service = request->second.mService;
  aState.mPendingBorrows.erase(request);
  if (const auto lender = aState.mMembers.mPeers.find(aFrom);
      lender != aState.mMembers.mPeers.end()) {
    // Its next heartbeat reports how many are left. Until then other peers are preferred.
    lender->second.mIdleCredits = aMessage.mCredits.empty() ? 0 : lender->second.mIdleCredits / 2;
  }
  auto& loan = aState.mBorrowedLoans[aMessage.mNumber];
  loan = Loan{ aFrom, {}, aNow.mTime + aMessage.mExpires, false, false };
  for (const auto& it : aMessage.mCredits) {
    const auto found = aState.mSlots.find(it.mUpstream);
    if (found == aState.mSlots.end()) {
      continue; // An upstream of a later configuration; the loan expires at the lender.
    }
    const auto count = std::min(it.mCount, found->second.mTotal);
    loan.mCredits[it.mUpstream] += count;
    found->second.mBorrowed += count;
    aState.mCounters.mCreditsBorrowed += count;
  }
  // Credits are updated in a second pass because dispatch starts tasks at once.
  const auto credits = loan.mCredits;
  for (const auto& [key, count] : credits) {
    UpdateCredits(aState, key, aState.mSlots[key], aNow, aActions);
  }
  RequestCredits(aState, service, aNow, aActions);
}

void OnReturnCredits(State& aState,
                     Incarnation aFrom,
                     const message::ReturnCredits& aMessage,
                     const Now& aNow,
                     Actions& aActions)
{
  if (const auto own = aState.mBorrowedLoans.find(aMessage.mNumber);
      aMessage.mCredits.empty() && own != aState.mBorrowedLoans.end() &&
      own->second.mPeer == aFrom && !own->second.mExpired) {
    EndLoan(aState, own->first, own->second, LoadsByKey(aState), aNow, aActions);
    return;
  }
  const auto it = aState.mLentLoans.find({ aFrom, aMessage.mNumber });
  if (it == aState.mLentLoans.end()) {
    return;
  }
  auto& loan = it->second;
  for (const auto& credit : aMessage.mCredits) {
    const auto lent = loan.mCredits.find(credit.mUpstream);
    if (lent == loan.mCredits.end()) {
      continue;
    }
    const auto count = std::min(lent->second, credit.mCount);
    auto& slots = aState.mSlots[credit.mUpstream];
    slots.mLent -= std::min(slots.mLent, count);
    lent->second -= count;
    if (lent->second == 0) {
      loan.mCredits.erase(lent);
    }
    UpdateCredits(aState, credit.mUpstream, slots, aNow, aActions);
  }
  if (loan.mCredits.empty()) {
    aState.mLentLoans.erase(it);
  }
}

} // namespace pollenwall::node

#include <algorithm>

#include "slots.h"

// Lending: credits of one entry that another one with waiting tasks may use for a while.

namespace pollenwall::node {
namespace {

using membership::MemberState;

constexpr std::chrono::milliseconds kLoanTime{ 2000 };
/// What a lender adds for the messages' way.
constexpr std::chrono::milliseconds kLoanMargin{ 500 };
/// An ended loan or request is remembered for this long, for late and duplicate messages.
constexpr std::chrono::milliseconds kLoanMemory{ 10000 };
constexpr std::chrono::milliseconds kBorrowTime{ 500 };
constexpr std::uint32_t kMaxBorrow = 64;
constexpr std::chrono::milliseconds kLongBorrowInterval{ 250 };
/// A peer with fewer idle credits, as last heard, has probably none left by the time that a request
/// arrives.
constexpr std::uint64_t kLeastIdleToAsk = 4;

/// The peer with most idle slots: of this data centre, or of another one when that saves waiting.
std::optional<Incarnation> Lender(const State& aState)
{
  const auto& configuration = *aState.mConfiguration.mConfiguration;
  const auto wait = dispatch::LoadOf(*aState.mDispatch).mEstimatedWait;
  std::optional<Incarnation> best;
  std::pair<bool, std::uint64_t> most{ false, 0 };
  for (const auto& [incarnation, peer] : aState.mMembers.mPeers) {
    if (!peer.mLinkUp || peer.mIdleCredits < kLeastIdleToAsk || peer.mState != MemberState::Ready) {
      continue;
    }
    const bool here = peer.mDataCentre == aState.mOptions.mDataCentre;
    if (!here) {
      const auto other = configuration.mDataCentres.find(peer.mDataCentre);
      // The request's round trip, and that of each task.
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

void Borrow(State& aState,
            const std::string& aService,
            std::size_t aTasks,
            Actions& aActions,
            const Now& aNow)
{
  const bool asked =
    std::any_of(aState.mBorrowing.begin(), aState.mBorrowing.end(), [&](const auto& aIt) {
      return aIt.second.mService == aService && aNow.mTime < aIt.second.mUntil;
    });
  if (asked) {
    return;
  }
  const auto lender = Lender(aState);
  if (!lender) {
    return;
  }
  const auto number = ++aState.mNextNumber;
  aState.mBorrowing[number] = { aService, *lender, aNow.mTime + kBorrowTime };
  ++aState.mCounters.mBorrowRequests;
  const auto count = static_cast<std::uint32_t>(std::min<std::size_t>(aTasks, kMaxBorrow));
  Send(aState, *lender, message::Borrow{ number, aService, count }, aActions);
}

/// Asks for the credits of a service back; the borrower returns the idle ones at once.
void Recall(State& aState, std::string_view aService, Actions& aActions)
{
  for (auto& [key, loan] : aState.mLent) {
    if (loan.mRecalled || loan.mCredits.empty() ||
        ServiceOf(loan.mCredits.begin()->first) != aService) {
      continue;
    }
    loan.mRecalled = true;
    Send(aState, key.first, message::ReturnCredits{ key.second, {} }, aActions);
  }
}

/// Returns the credits of an ended loan on one upstream whose tasks have ended. aKept counts
/// running tasks that other ended loans on the upstream stand for.
void ReturnEnded(Loan& aLoan,
                 const std::string& aKey,
                 std::uint32_t aRunning,
                 std::uint32_t aCredits,
                 std::uint32_t& aKept,
                 message::ReturnCredits& aMessage)
{
  const auto it = aLoan.mCredits.find(aKey);
  if (it == aLoan.mCredits.end()) {
    return;
  }
  const auto over = aRunning - std::min(aRunning, aCredits + aKept);
  const auto kept = std::min(it->second, over);
  aKept += kept;
  if (it->second > kept) {
    aMessage.mCredits.push_back({ aKey, it->second - kept });
  }
  it->second = kept;
  if (kept == 0) {
    aLoan.mCredits.erase(it);
  }
}

} // namespace

void ReturnEndedOn(State& aState, const std::string& aKey, Actions& aActions)
{
  const auto load = dispatch::FindUpstreamLoad(*aState.mDispatch, aKey);
  std::uint32_t kept = 0;
  for (auto& [number, loan] : aState.mBorrowed) {
    message::ReturnCredits message{ number, {} };
    if (loan.mExpired && load) {
      ReturnEnded(loan, aKey, load->mRunning, load->mCredits, kept, message);
    }
    if (!message.mCredits.empty()) {
      Send(aState, loan.mPeer, std::move(message), aActions);
    }
  }
}

namespace {

/// Returns all credits of an ended loan that are free now, in one message.
void ReturnFree(State& aState,
                std::uint64_t aNumber,
                Loan& aLoan,
                const Loads& aLoads,
                Actions& aActions)
{
  message::ReturnCredits message{ aNumber, {} };
  const auto credits = aLoan.mCredits;
  for (const auto& [key, count] : credits) {
    std::uint32_t kept = 0;
    ReturnEnded(aLoan, key, RunningOf(aLoads, key), aState.mSlots[key].mCredits, kept, message);
  }
  if (!message.mCredits.empty()) {
    Send(aState, aLoan.mPeer, std::move(message), aActions);
  }
}

/// Ends a loan taken: nothing more starts on it. Idle credits return at once, others when their
/// tasks end; until then the upstreams show as occupied in heartbeats.
void EndLoan(State& aState,
             std::uint64_t aNumber,
             Loan& aLoan,
             const Loads& aLoads,
             const Now& aNow,
             Actions& aActions)
{
  aLoan.mExpired = true;
  aLoan.mExpires = aNow.mTime + kLoanMemory;
  const auto credits = aLoan.mCredits;
  for (const auto& [key, count] : credits) {
    auto& slots = aState.mSlots[key];
    slots.mBorrowed -= std::min(slots.mBorrowed, count);
    UpdateCredits(aState, key, slots, aNow, aActions);
  }
  ReturnFree(aState, aNumber, aLoan, aLoads, aActions);
}

/// Returns credits that have nothing to do.
void ReturnIdle(State& aState,
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
    const auto running = RunningOf(aLoads, key);
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
  for (auto it = aState.mBorrowed.begin(); it != aState.mBorrowed.end();) {
    auto& loan = it->second;
    if (loan.mExpired) {
      const bool over = aNow.mTime >= loan.mExpires && loan.mCredits.empty();
      it = over ? aState.mBorrowed.erase(it) : std::next(it);
      continue;
    }
    if (loan.mRecalled || aNow.mTime >= loan.mExpires || !IsLinkUp(aState, loan.mPeer)) {
      EndLoan(aState, it->first, loan, aLoads, aNow, aActions);
    } else if (!loan.mCredits.empty() &&
               dispatch::WaitingTasks(*aState.mDispatch, ServiceOf(loan.mCredits.begin()->first)) ==
                 0) {
      ReturnIdle(aState, it->first, loan, aLoads, aNow, aActions);
    }
    ++it;
  }
  std::erase_if(aState.mBorrowing,
                [&](const auto& aIt) { return aNow.mTime >= aIt.second.mUntil + kLoanMemory; });
}

void TickLent(State& aState, const Now& aNow, Actions& aActions)
{
  for (auto it = aState.mLent.begin(); it != aState.mLent.end();) {
    auto& loan = it->second;
    if (aNow.mTime < loan.mExpires + kLoanMargin) {
      ++it;
      continue;
    }
    // A return was lost, or tasks still run. The borrower's heartbeats tell which.
    const auto* peer = membership::FindPeer(aState.mMembers, loan.mPeer);
    const bool lost = peer == nullptr || !peer->mLinkUp;
    const bool heard = !lost && peer->mHeard && *peer->mHeard >= loan.mExpires + kLoanMargin;
    for (auto credit = loan.mCredits.begin(); credit != loan.mCredits.end();) {
      const auto& [key, count] = *credit;
      if (!lost && (!heard || IsOccupied(*peer, key))) {
        ++credit;
        continue;
      }
      auto& slots = aState.mSlots[key];
      slots.mLent -= std::min(slots.mLent, count);
      if (lost) {
        // Its tasks may still run: the upstream is asked, as for a departed member's slots.
        slots.mHeldBack = std::min(slots.mShare, slots.mHeldBack + count);
        slots.mDeparted += count;
        aState.mHeld.insert(key);
      }
      UpdateCredits(aState, key, slots, aNow, aActions);
      credit = loan.mCredits.erase(credit);
    }
    it = loan.mCredits.empty() ? aState.mLent.erase(it) : std::next(it);
  }
}

} // namespace

void TickLending(State& aState, const Now& aNow, Actions& aActions)
{
  if (!aState.mBorrowed.empty()) {
    TickBorrowed(aState, LoadsByKey(aState), aNow, aActions);
  } else if (!aState.mBorrowing.empty()) {
    TickBorrowed(aState, {}, aNow, aActions);
  }
  TickLent(aState, aNow, aActions);
  if (dispatch::QueuedTasks(*aState.mDispatch) == 0) {
    return;
  }
  for (const auto& [name, service] : aState.mConfiguration.mConfiguration->mServices) {
    SeekCredits(aState, name, aNow, aActions);
  }
}

void SeekCredits(State& aState, const std::string& aService, const Now& aNow, Actions& aActions)
{
  const auto unserved = dispatch::UnservedTasks(*aState.mDispatch, aService);
  if (unserved > 0) {
    Recall(aState, aService, aActions);
    Borrow(aState, aService, unserved, aActions, aNow);
    return;
  }
  // More slots raise the share of the long class. Its tasks can wait a little, so peers are asked
  // rarely.
  const auto waiting = dispatch::WaitingTasks(*aState.mDispatch, aService);
  if (waiting > 0 && aNow.mTime >= aState.mLongBorrowAt) {
    aState.mLongBorrowAt = aNow.mTime + kLongBorrowInterval;
    Borrow(aState, aService, 2 * waiting, aActions, aNow);
  }
}

void ReturnAfterTask(State& aState, dispatch::UpstreamIndex aUpstream, Actions& aActions)
{
  const bool hasEnded =
    std::any_of(aState.mBorrowed.begin(), aState.mBorrowed.end(), [](const auto& aLoan) {
      return aLoan.second.mExpired && !aLoan.second.mCredits.empty();
    });
  if (hasEnded && aUpstream < aState.mIndices) {
    ReturnEndedOn(aState, dispatch::AddressOf(*aState.mDispatch, aUpstream).mKey, aActions);
  }
}

void OnBorrow(State& aState,
              Incarnation aFrom,
              const message::Borrow& aMessage,
              const Now& aNow,
              Actions& aActions)
{
  message::Grant grant{ aMessage.mNumber, {}, kLoanTime };
  Loan loan{ aFrom, {}, aNow.mTime + kLoanTime, false, false };
  if (dispatch::UnservedTasks(*aState.mDispatch, aMessage.mService) == 0) {
    auto left = std::min(aMessage.mCount, kMaxBorrow);
    for (const auto& it : dispatch::UpstreamLoads(*aState.mDispatch)) {
      const auto found = aState.mSlots.find(it.mKey);
      if (left == 0) {
        break;
      }
      if (!it.mUsable || ServiceOf(it.mKey) != aMessage.mService || found == aState.mSlots.end()) {
        continue;
      }
      auto& slots = found->second;
      // Borrowed credits are not lent on. A quarter stays for the next jobs of this entry.
      const auto own = slots.mCredits - std::min(slots.mCredits, slots.mBorrowed);
      const auto idle = own - std::min(own, it.mRunning);
      const auto count = std::min(left, idle - idle / 4);
      if (count == 0) {
        continue;
      }
      left -= count;
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
    aState.mLent[{ aFrom, aMessage.mNumber }] = std::move(loan);
  }
  Send(aState, aFrom, std::move(grant), aActions);
}

void OnGrant(State& aState,
             Incarnation aFrom,
             const message::Grant& aMessage,
             const Now& aNow,
             Actions& aActions)
{
  const auto asked = aState.mBorrowing.find(aMessage.mNumber);
  if (asked == aState.mBorrowing.end() || asked->second.mPeer != aFrom) {
    const auto known = aState.mBorrowed.find(aMessage.mNumber);
    if (known == aState.mBorrowed.end()) {
      Send(aState, aFrom, message::ReturnCredits{ aMessage.mNumber, aMessage.mCredits }, aActions);
    }
    return;
  }
  const auto service = asked->second.mService;
  aState.mBorrowing.erase(asked);
  if (const auto lender = aState.mMembers.mPeers.find(aFrom);
      lender != aState.mMembers.mPeers.end()) {
    // Its next heartbeat says how many are left; until then others are asked first.
    lender->second.mIdleCredits = aMessage.mCredits.empty() ? 0 : lender->second.mIdleCredits / 2;
  }
  auto& loan = aState.mBorrowed[aMessage.mNumber];
  loan = Loan{ aFrom, {}, aNow.mTime + aMessage.mExpires, false, false };
  for (const auto& it : aMessage.mCredits) {
    const auto found = aState.mSlots.find(it.mUpstream);
    if (found == aState.mSlots.end()) {
      continue; // An upstream of a later configuration: left to expire at the lender.
    }
    const auto count = std::min(it.mCount, found->second.mTotal);
    loan.mCredits[it.mUpstream] += count;
    found->second.mBorrowed += count;
    aState.mCounters.mCreditsBorrowed += count;
  }
  // Credits are set in a second pass, because dispatch starts tasks at once.
  const auto credits = loan.mCredits;
  for (const auto& [key, count] : credits) {
    UpdateCredits(aState, key, aState.mSlots[key], aNow, aActions);
  }
  SeekCredits(aState, service, aNow, aActions);
}

void OnReturnCredits(State& aState,
                     Incarnation aFrom,
                     const message::ReturnCredits& aMessage,
                     const Now& aNow,
                     Actions& aActions)
{
  if (const auto own = aState.mBorrowed.find(aMessage.mNumber);
      aMessage.mCredits.empty() && own != aState.mBorrowed.end() && own->second.mPeer == aFrom &&
      !own->second.mExpired) {
    EndLoan(aState, own->first, own->second, LoadsByKey(aState), aNow, aActions);
    return;
  }
  const auto it = aState.mLent.find({ aFrom, aMessage.mNumber });
  if (it == aState.mLent.end()) {
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
    aState.mLent.erase(it);
  }
}

} // namespace pollenwall::node

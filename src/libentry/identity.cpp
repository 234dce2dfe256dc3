#include <algorithm>

#include "state.h"

// Which messages of other entries are handled: those from the current process at their sender's
// address to this process. See docs/design/message-identity.md.

namespace pollenwall::entry {
namespace {

using std::chrono::milliseconds;

/// Presences of a peer's earlier process arrive at most this long after those of the present one.
constexpr milliseconds kFormerSenderTimeout{ 1000 };

/// Whether the sender is a process that the present one at its address has replaced. Incarnations
/// are made of the time of day, so a lower one is an earlier process. If the present one is silent,
/// a lower one is a process that has started after its clock was set back.
bool IsFormer(const Peer& aPeer, Incarnation aSender, const Now& aNow)
{
  const bool isSilent =
    !aPeer.mHeardAt || aNow.mTime - *aPeer.mHeardAt > Duration(kFormerSenderTimeout);
  const bool isReplaced = aSender < aPeer.mIncarnation || aSender == aPeer.mFormer;
  return aSender != aPeer.mIncarnation && isReplaced && !isSilent;
}

} // namespace

std::string_view ToString(DropReason aReason)
{
  switch (aReason) {
    case DropReason::FormerSender:
      return "former_sender";
    case DropReason::UnknownSender:
      return "unknown_sender";
    case DropReason::OtherReceiver:
      return "other_receiver";
    case DropReason::Contradictory:
      return "contradictory";
    case DropReason::Malformed:
      return "malformed";
    case DropReason::OtherVersion:
      break;
  }
  return "version";
}

std::optional<DropReason> FindDropReason(const State& aState,
                                         const PeerMessage& aEvent,
                                         const Now& aNow)
{
  if (aEvent.mFrom.empty() || aEvent.mIncarnation.mValue == 0) {
    return DropReason::UnknownSender;
  }
  const auto* presence = std::get_if<message::Presence>(&aEvent.mMessage);
  if (presence != nullptr && presence->mIncarnation != aEvent.mIncarnation) {
    return DropReason::Contradictory;
  }
  const auto it = aState.mPeers.find(aEvent.mFrom);
  const bool isKnown = it != aState.mPeers.end() && it->second.mIncarnation.mValue != 0;
  if (isKnown && IsFormer(it->second, aEvent.mIncarnation, aNow)) {
    return DropReason::FormerSender;
  }
  const bool isCurrent = isKnown && it->second.mIncarnation == aEvent.mIncarnation;
  if (presence == nullptr && !isCurrent) {
    const bool isEarlier = isKnown && aEvent.mIncarnation < it->second.mIncarnation;
    return isEarlier ? DropReason::FormerSender : DropReason::UnknownSender;
  }
  if (aEvent.mTo.mValue != 0 && aEvent.mTo != aState.mOptions.mIncarnation) {
    return DropReason::OtherReceiver;
  }
  return std::nullopt;
}

void DropFrame(State& aState, const PeerFrameDropped& aEvent, Actions& aActions)
{
  const auto reason = aEvent.mProblem == message::FrameProblem::OtherVersion
                        ? DropReason::OtherVersion
                        : DropReason::Malformed;
  ++aState.mCounts.mDropped.at(static_cast<std::size_t>(reason));
  AddReport(aActions,
            "peer_frame_dropped",
            { { "reason", std::string(ToString(reason)) }, { "address", aEvent.mFrom } },
            true);
}

void DropMessage(State& aState,
                 const PeerMessage& aEvent,
                 DropReason aReason,
                 const Now& aNow,
                 Actions& aActions)
{
  ++aState.mCounts.mDropped.at(static_cast<std::size_t>(aReason));
  AddReport(aActions,
            "peer_message_dropped",
            { { "reason", std::string(ToString(aReason)) },
              { "type", std::string(message::TypeName(aEvent.mMessage)) },
              { "address", aEvent.mFrom },
              { "from", ToString(aEvent.mIncarnation) },
              { "to", ToString(aEvent.mTo) } },
            true);
  const auto* presence = std::get_if<message::Presence>(&aEvent.mMessage);
  if (aReason != DropReason::OtherReceiver || presence == nullptr) {
    return;
  }
  if (presence->mEntry) {
    AddEntries(aState, { *presence->mEntry });
  }
  // A new peer is connected to, and sent a presence then.
  const bool isNew = !aState.mPeers.contains(aEvent.mFrom);
  auto& peer = AddPeer(aState, aEvent.mFrom, aActions);
  if (isNew) {
    peer.mSelectedAt = aNow.mTime; // The connection is kept as for a neighbour that has just left.
    return;
  }
  SendPresenceTo(aState, peer, aNow, aActions);
}

void AddressMessages(const State& aState, Actions& aActions)
{
  for (auto& action : aActions) {
    auto* send = std::get_if<SendPeer>(&action);
    if (send == nullptr || send->mTo) {
      continue;
    }
    const auto it = aState.mPeers.find(send->mAddress);
    send->mTo = it == aState.mPeers.end() ? Incarnation{} : it->second.mIncarnation;
  }
}

} // namespace pollenwall::entry

#include <algorithm>
#include <charconv>

#include <boost/json.hpp>

#include "state.h"

// The journal records the submissions that this entry accepted and finished. Other entries answer
// from it after this entry has ended.

namespace pollenwall::node {
namespace {

/// A job is journalled as accepted if it has not ended after this time. Most jobs end sooner and
/// need only one journal entry.
constexpr std::chrono::milliseconds kOpenJobJournalDelay{ 1000 };
constexpr std::size_t kMaxBatchEntries = 2000;
constexpr int kHexadecimalBase = 16;

std::string ToHex(std::uint64_t aValue)
{
  return ToString(Incarnation{ aValue });
}

std::string JournalRecord(const State& aState, const std::vector<message::KnownSubmission>& aBatch)
{
  boost::json::array entries;
  for (const auto& it : aBatch) {
    entries.push_back(boost::json::array{ it.mId,
                                          it.mTeam,
                                          ToHex(it.mBodyHash),
                                          static_cast<int>(it.mState),
                                          static_cast<int>(it.mVerdict) });
  }
  return boost::json::serialize(
    boost::json::object{ { "type", "journal" },
                         { "by", ToString(aState.mOptions.mIncarnation) },
                         { "entries", std::move(entries) } });
}

std::optional<message::KnownSubmission> ParseEntry(const boost::json::value& aValue)
{
  const auto* list = aValue.if_array();
  if (list == nullptr || list->size() != 5 || !(*list)[0].is_string() || !(*list)[1].is_string() ||
      !(*list)[2].is_string() || !(*list)[3].is_int64() || !(*list)[4].is_int64()) {
    return std::nullopt;
  }
  const auto& hash = (*list)[2].get_string();
  const auto state = (*list)[3].get_int64();
  const auto verdict = (*list)[4].get_int64();
  std::uint64_t n = 0;
  const auto [end, ec] =
    std::from_chars(hash.data(), hash.data() + hash.size(), n, kHexadecimalBase);
  if (ec != std::errc() || state < 0 || state > static_cast<int>(JobState::Failed) || verdict < 0 ||
      verdict > static_cast<int>(Verdict::Ran)) {
    return std::nullopt;
  }
  return message::KnownSubmission{ std::string((*list)[0].get_string()),
                                   std::string((*list)[1].get_string()),
                                   n,
                                   static_cast<JobState>(state),
                                   static_cast<Verdict>(verdict) };
}

void BufferEntry(State& aState, message::KnownSubmission aEntry)
{
  if (aState.mJournalBuffer.size() >= aState.mOptions.mJournalBufferRecords) {
    aState.mJournalBuffer.pop_front();
    ++aState.mCounters.mJournalDropped;
  }
  aState.mJournalBuffer.push_back(std::move(aEntry));
  ++aState.mCounters.mJournalEntries;
}

} // namespace

void TrackAcceptedJob(State& aState, const std::string& aId, const Now& aNow)
{
  const auto known = dispatch::FindKnownJob(*aState.mDispatch, aId);
  if (!known) {
    return;
  }
  aState.mOpenJobs[aId] = {
    aId, known->mTeam, known->mBodyHash, JobState::Running, Verdict::MayHaveRun
  };
  aState.mOpenJobsDue.emplace_back(aNow.mTime + kOpenJobJournalDelay, aId);
}

void JournalFinishedJob(State& aState, const dispatch::Finished& aAction, const Now& aNow)
{
  auto node = aState.mOpenJobs.extract(aAction.mId);
  if (node.empty()) {
    return;
  }
  auto& entry = node.mapped();
  entry.mState = aAction.mState;
  entry.mVerdict = aAction.mVerdict;
  if (aState.mFinishedJobs.size() >= aState.mOptions.mJournalBufferRecords) {
    aState.mFinishedJobs.pop_front();
  }
  aState.mFinishedJobs.emplace_back(aNow.mTime, entry);
  BufferEntry(aState, std::move(entry));
}

void RecordRemoteSubmission(State& aState, const message::KnownSubmission& aKnown)
{
  const auto [it, isNew] = aState.mRemoteSubmissions.try_emplace(aKnown.mId, aKnown);
  if (!isNew) {
    if (aKnown.mState != JobState::Running) {
      it->second = aKnown;
    }
    return;
  }
  aState.mRemoteSubmissionOrder.push_back(aKnown.mId);
  if (aState.mRemoteSubmissionOrder.size() > aState.mOptions.mJournalBufferRecords) {
    aState.mRemoteSubmissions.erase(aState.mRemoteSubmissionOrder.front());
    aState.mRemoteSubmissionOrder.pop_front();
  }
}

void ApplyJournalRecord(State& aState, std::string_view aText)
{
  boost::system::error_code ec;
  const auto value = boost::json::parse(aText, ec);
  const auto* object = ec ? nullptr : value.if_object();
  const auto* by = object == nullptr ? nullptr : object->if_contains("by");
  const auto* entries = object == nullptr ? nullptr : object->if_contains("entries");
  if (by == nullptr || entries == nullptr || !entries->is_array() ||
      *by == boost::json::string_view(ToString(aState.mOptions.mIncarnation))) {
    return;
  }
  for (const auto& it : entries->get_array()) {
    if (const auto entry = ParseEntry(it)) {
      RecordRemoteSubmission(aState, *entry);
    }
  }
}

void OnJournalAppended(State& aState, bool aOk, const Now& aNow)
{
  (void)aNow;
  if (aOk) {
    aState.mJournalBatch.clear();
  }
}

void TickJournal(State& aState, const Now& aNow, Actions& aActions)
{
  while (!aState.mOpenJobsDue.empty() && aState.mOpenJobsDue.front().first <= aNow.mTime) {
    if (const auto it = aState.mOpenJobs.find(aState.mOpenJobsDue.front().second);
        it != aState.mOpenJobs.end()) {
      BufferEntry(aState, it->second);
    }
    aState.mOpenJobsDue.pop_front();
  }
  const auto retention = aState.mOptions.mDispatch.mAnswerRetention;
  while (!aState.mFinishedJobs.empty() &&
         aNow.mTime >= aState.mFinishedJobs.front().first + retention) {
    aState.mFinishedJobs.pop_front();
  }
  if (!MayAppend(aState.mJournalAppend, aNow) ||
      (aState.mJournalBatch.empty() && aState.mJournalBuffer.empty())) {
    return;
  }
  // A batch whose append failed may be in the log. It is appended again, and readers drop
  // duplicates.
  if (aState.mJournalBatch.empty()) {
    const auto n = std::min(kMaxBatchEntries, aState.mJournalBuffer.size());
    const auto end = aState.mJournalBuffer.begin() + static_cast<std::ptrdiff_t>(n);
    aState.mJournalBatch.assign(std::make_move_iterator(aState.mJournalBuffer.begin()),
                                std::make_move_iterator(end));
    aState.mJournalBuffer.erase(aState.mJournalBuffer.begin(), end);
  }
  const auto interval =
    std::chrono::duration<double>(1 / std::max(0.01, aState.mOptions.mJournalAppendsPerSecond));
  aState.mJournalAppend.mNextAt = aNow.mTime + std::chrono::duration_cast<Duration>(interval);
  StartAppend(aState,
              aState.mJournalAppend,
              "journal." + aState.mOptions.mDataCentre,
              JournalRecord(aState, aState.mJournalBatch),
              aActions);
}

} // namespace pollenwall::node

#include <pollenwall/messages.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>
#include <limits>
#include <type_traits>
#include <utility>

#include <msgpuck.h>

namespace pollenwall::message {
namespace {

// VisitFields lists the fields of every structure once. Writer, FieldCounter and FieldReader all
// visit that list, so encoding and decoding cannot diverge.

template<typename Archive>
void VisitFields(Archive& aArchive, auto& aValue);

template<typename T>
concept Enumeration = std::is_enum_v<T>;

/// The largest valid enumerator of each enumeration that is sent.
constexpr std::uint64_t MaxEnumerator(MemberState /*aTag*/)
{
  return static_cast<std::uint64_t>(MemberState::Gone);
}
constexpr std::uint64_t MaxEnumerator(JobState /*aTag*/)
{
  return static_cast<std::uint64_t>(JobState::Failed);
}
constexpr std::uint64_t MaxEnumerator(CrashState /*aTag*/)
{
  return static_cast<std::uint64_t>(CrashState::Cleared);
}
constexpr std::uint64_t MaxEnumerator(LookupScope /*aTag*/)
{
  return static_cast<std::uint64_t>(LookupScope::Everywhere);
}
constexpr std::uint64_t MaxEnumerator(LookupResult /*aTag*/)
{
  return static_cast<std::uint64_t>(LookupResult::Owned);
}
constexpr std::uint64_t MaxEnumerator(Verdict /*aTag*/)
{
  return static_cast<std::uint64_t>(Verdict::Ran);
}
constexpr std::uint64_t MaxEnumerator(ErrorCode /*aTag*/)
{
  return static_cast<std::uint64_t>(ErrorCode::Internal);
}

/// Tells that a message without the field is valid. The field then keeps its default value. Fields
/// that a release adds may be absent, so that entries can read the messages of the release before.
enum class FieldRule : std::uint8_t
{
  Required,
  MayBeAbsent,
};

struct FieldCounter
{
  std::uint32_t mFields = 0;
  std::uint64_t mOptionalFields = 0; ///< One bit per field, set if it may be absent.

  template<typename T>
  void operator()(std::string_view /*aName*/,
                  const T& /*aValue*/,
                  FieldRule aRule = FieldRule::Required)
  {
    mOptionalFields |= aRule == FieldRule::MayBeAbsent ? std::uint64_t{ 1 } << mFields : 0;
    ++mFields;
  }
};

template<typename T>
std::uint32_t FieldCount(const T& aValue)
{
  FieldCounter counter;
  VisitFields(counter, aValue);
  return counter.mFields;
}

struct Writer
{
  std::string& mOut;

  static constexpr std::size_t kMaxHeaderBytes = 9;

  template<typename Encoder>
  void WriteHeader(Encoder aEncode)
  {
    std::array<char, kMaxHeaderBytes> buf{};
    const char* end = aEncode(buf.data());
    mOut.append(buf.data(), static_cast<std::size_t>(end - buf.data()));
  }

  void Write(std::uint64_t aValue)
  {
    WriteHeader([aValue](char* aOut) { return mp_encode_uint(aOut, aValue); });
  }
  void Write(std::uint32_t aValue) { Write(std::uint64_t{ aValue }); }
  void Write(std::int64_t aValue)
  {
    if (aValue >= 0) {
      return Write(static_cast<std::uint64_t>(aValue));
    }
    WriteHeader([aValue](char* aOut) { return mp_encode_int(aOut, aValue); });
  }
  void Write(bool aValue)
  {
    WriteHeader([aValue](char* aOut) { return mp_encode_bool(aOut, aValue); });
  }
  void Write(double aValue)
  {
    WriteHeader([aValue](char* aOut) { return mp_encode_double(aOut, aValue); });
  }
  void Write(const std::string& aValue) { WriteText(aValue); }
  void Write(const SharedText& aValue) { WriteText(aValue.Text()); }
  void WriteText(std::string_view aValue)
  {
    WriteHeader([n = aValue.size()](char* aOut) {
      return mp_encode_strl(aOut, static_cast<std::uint32_t>(n));
    });
    mOut.append(aValue);
  }
  void Write(Incarnation aValue) { Write(aValue.mValue); }
  void Write(std::chrono::milliseconds aValue) { Write(std::int64_t{ aValue.count() }); }
  template<Enumeration T>
  void Write(T aValue)
  {
    Write(static_cast<std::uint64_t>(aValue));
  }
  template<typename T>
  void Write(const std::optional<T>& aValue)
  {
    if (!aValue) {
      return WriteHeader([](char* aOut) { return mp_encode_nil(aOut); });
    }
    Write(*aValue);
  }
  template<typename T>
  void Write(const std::vector<T>& aValues)
  {
    WriteHeader([n = aValues.size()](char* aOut) {
      return mp_encode_array(aOut, static_cast<std::uint32_t>(n));
    });
    for (const auto& it : aValues) {
      Write(it);
    }
  }
  /// A task equal to the one before it is written as nil: most tasks of a job are equal, and their
  /// payloads of some kilobytes each would make up most of the message.
  void Write(const std::vector<TaskSpec>& aTasks)
  {
    WriteHeader([n = aTasks.size()](char* aOut) {
      return mp_encode_array(aOut, static_cast<std::uint32_t>(n));
    });
    for (std::size_t n = 0; n < aTasks.size(); ++n) {
      if (n > 0 && aTasks[n] == aTasks[n - 1]) {
        WriteHeader([](char* aOut) { return mp_encode_nil(aOut); });
      } else {
        Write(aTasks[n]);
      }
    }
  }
  template<typename T>
  requires std::is_class_v<T>
  void Write(const T& aValue)
  {
    WriteHeader([&aValue](char* aOut) { return mp_encode_map(aOut, FieldCount(aValue)); });
    VisitFields(*this, aValue);
  }

  template<typename T>
  void operator()(std::string_view aName,
                  const T& aValue,
                  FieldRule /*aRule*/ = FieldRule::Required)
  {
    WriteText(aName);
    Write(aValue);
  }
};

/// Reads from a buffer that mp_check has accepted. Every Read checks the type before it decodes,
/// because msgpuck's decoders assume a matching type. Reads check the end of the buffer again:
/// mp_check counts elements in an int, which overflows for a map header with 2^31 elements.
struct Reader
{
  const char* mPosition;
  const char* mEnd;
  std::size_t mRepeatedBytes = 0; ///< Payloads of repeated tasks that have been read so far.

  /// Returns MP_EXT, which no field has, at the end of the buffer.
  [[nodiscard]] mp_type PeekType() const
  {
    return mPosition < mEnd ? mp_typeof(*mPosition) : MP_EXT;
  }

  /// Skips one value. mp_next would not stop at the end of the buffer.
  bool Skip() { return mp_check(&mPosition, mEnd) == 0; }

  bool Read(std::uint64_t& aValue)
  {
    if (PeekType() != MP_UINT) {
      return false;
    }
    aValue = mp_decode_uint(&mPosition);
    return true;
  }
  bool Read(std::uint32_t& aValue)
  {
    std::uint64_t n = 0;
    if (!Read(n) || n > std::numeric_limits<std::uint32_t>::max()) {
      return false;
    }
    aValue = static_cast<std::uint32_t>(n);
    return true;
  }
  bool Read(std::int64_t& aValue)
  {
    if (PeekType() == MP_INT) {
      aValue = mp_decode_int(&mPosition);
      return true;
    }
    std::uint64_t n = 0;
    if (!Read(n) || n > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
      return false;
    }
    aValue = static_cast<std::int64_t>(n);
    return true;
  }
  bool Read(bool& aValue)
  {
    if (PeekType() != MP_BOOL) {
      return false;
    }
    aValue = mp_decode_bool(&mPosition);
    return true;
  }
  /// Accepts only finite values that are not negative: every double of a message is a rate, a
  /// factor or a number of cores.
  bool Read(double& aValue)
  {
    if (PeekType() != MP_DOUBLE) {
      return false;
    }
    aValue = mp_decode_double(&mPosition);
    return std::isfinite(aValue) && aValue >= 0;
  }
  bool ReadText(std::string_view& aValue)
  {
    if (PeekType() != MP_STR) {
      return false;
    }
    std::uint32_t n = 0;
    const char* text = mp_decode_str(&mPosition, &n);
    if (mPosition > mEnd) {
      return false;
    }
    aValue = std::string_view(text, n);
    return true;
  }
  bool Read(std::string& aValue)
  {
    std::string_view text;
    if (!ReadText(text)) {
      return false;
    }
    aValue = text;
    return true;
  }
  bool Read(SharedText& aValue)
  {
    std::string_view text;
    if (!ReadText(text)) {
      return false;
    }
    aValue = text;
    return true;
  }
  bool Read(Incarnation& aValue) { return Read(aValue.mValue); }
  /// Accepts only durations that are not negative and small enough to add to a time point without
  /// overflow.
  bool Read(std::chrono::milliseconds& aValue)
  {
    constexpr std::int64_t kMaxMs = std::int64_t{ 1 } << 40;
    std::int64_t n = 0;
    if (!Read(n) || n < 0 || n > kMaxMs) {
      return false;
    }
    aValue = std::chrono::milliseconds(n);
    return true;
  }
  template<Enumeration T>
  bool Read(T& aValue)
  {
    std::uint64_t n = 0;
    if (!Read(n) || n > MaxEnumerator(T{})) {
      return false;
    }
    aValue = static_cast<T>(n);
    return true;
  }
  template<typename T>
  bool Read(std::optional<T>& aValue)
  {
    if (PeekType() == MP_NIL) {
      mp_decode_nil(&mPosition);
      aValue.reset();
      return true;
    }
    return Read(aValue.emplace());
  }
  /// Does not reserve memory: the count in the header may far exceed the elements that follow.
  template<typename T>
  bool Read(std::vector<T>& aValues)
  {
    if (PeekType() != MP_ARRAY) {
      return false;
    }
    const auto n = mp_decode_array(&mPosition);
    for (std::uint32_t i = 0; i < n; ++i) {
      if (!Read(aValues.emplace_back())) {
        return false;
      }
    }
    return true;
  }
  /// Nil stands for a task equal to the one before it. A repeated task takes one byte, so the tasks
  /// of a job and the payloads that a message repeats are limited: the memory that a message takes
  /// would otherwise be its size times the number of repetitions. The limit of the payloads is the
  /// default limit of a frame, which such a message would exceed with its tasks written out.
  bool Read(std::vector<TaskSpec>& aTasks)
  {
    constexpr std::size_t kMaxRepeatedBytes = std::size_t{ 16 } << 20;
    if (PeekType() != MP_ARRAY) {
      return false;
    }
    const auto n = mp_decode_array(&mPosition);
    if (n > kMaxTasksPerJob) {
      return false;
    }
    for (std::uint32_t i = 0; i < n; ++i) {
      if (i > 0 && PeekType() == MP_NIL) {
        mp_decode_nil(&mPosition);
        mRepeatedBytes += aTasks.back().mPayload.size();
        if (mRepeatedBytes > kMaxRepeatedBytes) {
          return false;
        }
        aTasks.push_back(aTasks.back());
      } else if (!Read(aTasks.emplace_back())) {
        return false;
      }
    }
    return true;
  }
  template<typename T>
  requires std::is_class_v<T>
  bool Read(T& aValue);
};

/// Reads the value of one key into the field of that name.
struct FieldReader
{
  Reader& mReader;
  std::string_view mKey;
  std::uint64_t mReadFields = 0; ///< One bit per field, set when it has been read.
  std::uint32_t mIndex = 0;
  bool mFound = false;
  bool mValid = true;

  template<typename T>
  void operator()(std::string_view aName, T& aValue, FieldRule /*aRule*/ = FieldRule::Required)
  {
    const auto bit = std::uint64_t{ 1 } << mIndex++;
    if (mFound || aName != mKey) {
      return;
    }
    mFound = true;
    mValid = (mReadFields & bit) == 0 && mReader.Read(aValue);
    mReadFields |= bit;
  }
};

/// Reads a map that has every required field of the value exactly once, and the others at most
/// once. Unknown keys are skipped, so that a later release can add fields.
template<typename T>
bool ReadFields(Reader& aReader, T& aValue)
{
  if (aReader.PeekType() != MP_MAP) {
    return false;
  }
  const auto n = mp_decode_map(&aReader.mPosition);
  FieldReader fields{ aReader, {} };
  for (std::uint32_t i = 0; i < n; ++i) {
    if (!aReader.ReadText(fields.mKey)) {
      return false;
    }
    fields.mIndex = 0;
    fields.mFound = false;
    VisitFields(fields, aValue);
    if (!fields.mValid) {
      return false;
    }
    if (!fields.mFound && !aReader.Skip()) {
      return false;
    }
  }
  FieldCounter counter;
  VisitFields(counter, aValue);
  const auto all = (std::uint64_t{ 1 } << counter.mFields) - 1;
  return (fields.mReadFields | counter.mOptionalFields) == all;
}

template<typename T>
requires std::is_class_v<T>
bool Reader::Read(T& aValue)
{
  return ReadFields(*this, aValue);
}

template<typename T, typename Of>
concept IsSame = std::is_same_v<std::remove_const_t<T>, Of>;

template<typename Archive>
void VisitFields(Archive& aArchive, auto& aValue)
{
  using T = std::remove_cvref_t<decltype(aValue)>;
  auto& a = aArchive;
  auto& v = aValue;
  if constexpr (IsSame<T, Needs>) {
    a("milli_cores", v.mMilliCores);
    a("memory_bytes", v.mMemoryBytes);
    a("accelerators", v.mAccelerators);
  } else if constexpr (IsSame<T, TaskSpec>) {
    a("payload", v.mPayload);
    a("declared_run_ms", v.mDeclaredRunTime);
    a("needs", v.mNeeds);
  } else if constexpr (IsSame<T, JobSpec>) {
    a("id", v.mId);
    a("service", v.mService);
    a("team", v.mTeam);
    a("kind", v.mKind);
    a("idempotent", v.mIdempotent);
    a("resubmission", v.mResubmission);
    a("born_ms", v.mBornMs);
    a("deadline_ms", v.mDeadline);
    a("body_hash", v.mBodyHash);
    a("priority", v.mPriority);
    a("caller_dc", v.mCallerDataCentre, FieldRule::MayBeAbsent);
    a("target_stretch", v.mTargetStretch);
    a("target_slack_ms", v.mTargetSlack);
    a("waited_ms", v.mPriorWait);
    a("most_failures", v.mMaxFailures);
    a("restartable", v.mRestartable);
    a("tasks", v.mTasks);
  } else if constexpr (IsSame<T, Error>) {
    a("code", v.mCode);
    a("verdict", v.mVerdict);
    a("message", v.mMessage);
    a("retry_after_ms", v.mRetryAfter);
  } else if constexpr (IsSame<T, TaskAnswer>) {
    a("verdict", v.mVerdict);
    a("code", v.mCode);
    a("result", v.mResult);
  } else if constexpr (IsSame<T, JobAnswer>) {
    a("id", v.mId);
    a("state", v.mState);
    a("verdict", v.mVerdict);
    a("tasks", v.mTasks);
    a("error", v.mError);
  } else if constexpr (IsSame<T, Hello>) {
    a("incarnation", v.mIncarnation);
    a("name", v.mName);
    a("data_centre", v.mDataCentre);
    a("peer_address", v.mPeerAddress);
  } else if constexpr (IsSame<T, ViewAck>) {
    a("dc", v.mDataCentre);
    a("ack", v.mAcknowledged);
    a("sealed", v.mSealed);
  } else if constexpr (IsSame<T, Vote>) {
    a("dc", v.mDataCentre);
    a("version", v.mVersion);
    a("round", v.mRound);
  } else if constexpr (IsSame<T, TeamDemand>) {
    a("team", v.mTeam);
    a("rate", v.mStartsPerSecond);
  } else if constexpr (IsSame<T, UpstreamHealth>) {
    a("upstream", v.mUpstream);
    a("leaving", v.mLeaving);
    a("failure_rate", v.mFailureRate);
  } else if constexpr (IsSame<T, Heartbeat>) {
    // Short keys: with 14 peers, heartbeat keys are most of the bytes of control traffic.
    a("seq", v.mSequence);
    a("state", v.mState);
    a("config", v.mConfigurationVersion);
    a("queued", v.mQueuedTasks);
    a("idle", v.mIdleCredits);
    a("views", v.mViews);
    a("asks", v.mVoteRequests);
    a("votes", v.mVotes);
    a("busy", v.mOccupiedUpstreams);
    a("teams", v.mDemands);
    a("notes", v.mUpstreamHealth);
  } else if constexpr (IsSame<T, Submit>) {
    a("number", v.mNumber);
    a("wait", v.mWait);
    a("job", v.mJob);
    a("hops", v.mHops);
    a("valid_until_ms", v.mValidUntilMs);
    a("to", v.mTo);
  } else if constexpr (IsSame<T, Status>) {
    a("number", v.mNumber);
    a("id", v.mId);
    a("team", v.mTeam);
    a("wait", v.mWait);
    a("hops", v.mHops);
  } else if constexpr (IsSame<T, Cancel>) {
    a("number", v.mNumber);
    a("id", v.mId);
    a("team", v.mTeam);
    a("hops", v.mHops);
  } else if constexpr (IsSame<T, Reply>) {
    a("number", v.mNumber);
    a("answer", v.mAnswer);
    a("error", v.mError);
  } else if constexpr (IsSame<T, Credit>) {
    a("upstream", v.mUpstream);
    a("count", v.mCount);
  } else if constexpr (IsSame<T, Borrow>) {
    a("number", v.mNumber);
    a("service", v.mService);
    a("count", v.mCount);
  } else if constexpr (IsSame<T, Grant>) {
    a("number", v.mNumber);
    a("credits", v.mCredits);
    a("expires_ms", v.mExpires);
  } else if constexpr (IsSame<T, ReturnCredits>) {
    a("number", v.mNumber);
    a("credits", v.mCredits);
  } else if constexpr (IsSame<T, KnownSubmission>) {
    a("id", v.mId);
    a("team", v.mTeam);
    a("body_hash", v.mBodyHash);
    a("state", v.mState);
    a("verdict", v.mVerdict);
  } else if constexpr (IsSame<T, Handover>) {
    a("number", v.mNumber);
    a("jobs", v.mJobs);
    a("known", v.mKnown);
  } else if constexpr (IsSame<T, HandoverReply>) {
    a("number", v.mNumber);
    a("taken", v.mAcceptedJobs);
  } else if constexpr (IsSame<T, ConfigFetch>) {
    a("have", v.mCurrentVersion);
  } else if constexpr (IsSame<T, ConfigItems>) {
    a("version", v.mVersion);
    a("snapshot", v.mSnapshot);
  } else if constexpr (IsSame<T, ServiceLoad>) {
    a("service", v.mService);
    a("room", v.mMilliCores);
    a("free", v.mFreeMilliCores);
    a("queued", v.mQueuedMilliCores);
    a("fit", v.mFits, FieldRule::MayBeAbsent);
    a("wait", v.mWaitsMs, FieldRule::MayBeAbsent);
  } else if constexpr (IsSame<T, LastPresence>) {
    a("id", v.mIncarnation);
    a("t", v.mTimeMs);
  } else if constexpr (IsSame<T, HeldUpstreams>) {
    a("version", v.mVersion);
    a("hashes", v.mHashes);
  } else if constexpr (IsSame<T, Evacuation>) {
    a("version", v.mVersion);
    a("dcs", v.mDataCentres);
  } else if constexpr (IsSame<T, EntryRecord>) {
    a("name", v.mName);
    a("address", v.mPeerAddress);
    a("dc", v.mDataCentre);
    a("processor", v.mProcessorShare);
    a("mbps", v.mLinkMbps);
  } else if constexpr (IsSame<T, Entries>) {
    a("entries", v.mEntries);
  } else if constexpr (IsSame<T, TaskId>) {
    a("job", v.mJob);
    a("index", v.mIndex);
  } else if constexpr (IsSame<T, CrashReport>) {
    a("reporter", v.mReporter);
    a("number", v.mNumber);
    a("state", v.mState);
    a("tasks", v.mTasks);
    a("upstream", v.mUpstream);
    a("born", v.mBornMs);
    a("began", v.mBegan);
  } else if constexpr (IsSame<T, Crashes>) {
    a("reports", v.mReports);
  } else if constexpr (IsSame<T, Lookup>) {
    a("number", v.mNumber);
    a("job", v.mJob);
    a("cancel", v.mCancel);
    a("scope", v.mScope);
  } else if constexpr (IsSame<T, LookupReply>) {
    a("number", v.mNumber);
    a("result", v.mResult);
  } else if constexpr (IsSame<T, CancelledJob>) {
    a("job", v.mJob);
    a("retention_ms", v.mRetention);
  } else if constexpr (IsSame<T, CancelledJobs>) {
    a("jobs", v.mJobs);
    a("number", v.mNumber, FieldRule::MayBeAbsent);
    a("scope", v.mScope, FieldRule::MayBeAbsent);
    a("missed", v.mMissed, FieldRule::MayBeAbsent);
  } else if constexpr (IsSame<T, CancelledJobsReply>) {
    a("number", v.mNumber);
    a("results", v.mResults);
    a("silent", v.mSilent);
  } else {
    // Short keys: presences are most of the messages between entries.
    static_assert(IsSame<T, Presence>);
    a("id", v.mIncarnation);
    a("entry", v.mEntry);
    a("t", v.mTimeMs);
    a("leaving", v.mLeaving);
    a("config", v.mConfigurationVersion);
    a("wants", v.mWantedInterval);
    a("cand", v.mCandidate);
    a("new", v.mNeedsEntries);
    a("parts", v.mPartitions);
    a("token", v.mHighestToken);
    a("hv", v.mHeldVersion);
    a("rhv", v.mReceivedHeldVersion);
    a("held", v.mHeldUpstreams);
    a("holders", v.mHolders);
    a("loads", v.mLoads);
    a("heard", v.mLastPresences);
    a("open", v.mOpenJobs);
    a("taken", v.mAcceptedJobs);
    a("evac", v.mEvacuation, FieldRule::MayBeAbsent);
    a("cancels", v.mAnswersCancels, FieldRule::MayBeAbsent);
  }
}

/// Values of the key "type", in the order of Message's alternatives.
constexpr std::array<std::string_view, std::variant_size_v<Message>> kTypeNames{
  "hello",          "heartbeat",    "submit",       "status",         "cancel",
  "submit_reply",   "borrow",       "grant",        "return",         "handover",
  "handover_reply", "config_fetch", "config_items", "presence",       "entries",
  "crashes",        "lookup",       "lookup_reply", "cancelled_jobs", "cancelled_jobs_reply",
};
constexpr std::string_view kTypeKey = "type";
constexpr std::string_view kFromKey = "from";
constexpr std::string_view kToKey = "to";
constexpr std::string_view kVersionKey = "version";

/// Finds out whether a message has a field of a name.
struct FieldFinder
{
  std::string_view mName;
  bool mFound = false;

  template<typename T>
  void operator()(std::string_view aName,
                  const T& /*aValue*/,
                  FieldRule /*aRule*/ = FieldRule::Required)
  {
    mFound = mFound || aName == mName;
  }
};

template<typename T>
bool HasField(const T& aValue, std::string_view aName)
{
  FieldFinder finder{ aName };
  VisitFields(finder, aValue);
  return finder.mFound;
}

bool IsLookupId(std::string_view aJob)
{
  return !aJob.empty() && aJob.size() <= kMaxLookupIdBytes;
}

/// Checks the rules that the types of the fields do not express.
template<typename T>
bool IsValid(const T& aValue)
{
  if constexpr (std::is_same_v<T, Crashes>) {
    return std::all_of(aValue.mReports.begin(), aValue.mReports.end(), [](const auto& aReport) {
      return aReport.mTasks.size() <= kMaxTasksPerCrash;
    });
  } else if constexpr (std::is_same_v<T, Lookup>) {
    return IsLookupId(aValue.mJob);
  } else if constexpr (std::is_same_v<T, CancelledJobs>) {
    // A numbered message without jobs has nothing to answer.
    return (aValue.mNumber == 0 || !aValue.mJobs.empty()) &&
           aValue.mJobs.size() <= kMaxCancelledJobs && aValue.mMissed.size() <= kMaxCancelledJobs &&
           std::all_of(aValue.mJobs.begin(), aValue.mJobs.end(), [](const auto& aJob) {
             return IsLookupId(aJob.mJob);
           });
  } else if constexpr (std::is_same_v<T, CancelledJobsReply>) {
    return aValue.mResults.size() <= kMaxCancelledJobs;
  } else if constexpr (std::is_same_v<T, Reply>) {
    return aValue.mAnswer.has_value() != aValue.mError.has_value();
  } else if constexpr (std::is_same_v<T, Hello>) {
    return aValue.mIncarnation.mValue != 0 && !aValue.mDataCentre.empty();
  } else if constexpr (std::is_same_v<T, Presence>) {
    const bool isNamed = !aValue.mEntry || (!aValue.mEntry->mDataCentre.empty() &&
                                            !aValue.mEntry->mPeerAddress.empty());
    return aValue.mIncarnation.mValue != 0 && isNamed;
  } else {
    return true;
  }
}

template<std::size_t Index = 0>
std::optional<Message> DecodeAs(std::string_view aType, Reader& aReader)
{
  if constexpr (Index < std::variant_size_v<Message>) {
    if (aType != kTypeNames[Index]) {
      return DecodeAs<Index + 1>(aType, aReader);
    }
    std::variant_alternative_t<Index, Message> value;
    if (!ReadFields(aReader, value) || !IsValid(value)) {
      return std::nullopt;
    }
    return value;
  } else {
    return std::nullopt;
  }
}

/// Encodes a message with those values of the envelope for which it has no field itself.
std::string EncodeWith(const Message& aMessage,
                       const std::vector<std::pair<std::string_view, std::uint64_t>>& aEnvelope)
{
  std::string out;
  Writer writer{ out };
  std::visit(
    [&writer, &aMessage, &aEnvelope](const auto& aValue) {
      auto envelope = aEnvelope;
      std::erase_if(envelope, [&aValue](const auto& aIt) { return HasField(aValue, aIt.first); });
      writer.WriteHeader([&](char* aOut) {
        const auto n = FieldCount(aValue) + 1 + static_cast<std::uint32_t>(envelope.size());
        return mp_encode_map(aOut, n);
      });
      writer.WriteText(kTypeKey);
      writer.WriteText(kTypeNames[aMessage.index()]);
      for (const auto& [name, value] : envelope) {
        writer(name, value);
      }
      VisitFields(writer, aValue);
    },
    aMessage);
  return out;
}

/// Returns the end of the buffer if it is exactly one map.
const char* EndOfMap(std::string_view aBytes)
{
  const char* at = aBytes.data();
  const char* end = aBytes.data() + aBytes.size();
  const bool isMap =
    !aBytes.empty() && mp_check(&at, end) == 0 && at == end && mp_typeof(*aBytes.data()) == MP_MAP;
  return isMap ? end : nullptr;
}

/// A key of the envelope in a map.
struct EnvelopeKey
{
  std::string_view mName;
  std::uint64_t mValue = 0;
  std::uint32_t mCount = 0; ///< Times that the map has it.
  bool mValid = true;       ///< Each value was a number.
};

/// Reads the keys in one pass. Returns false if the map cannot be read.
bool ReadKeys(std::string_view aBytes, std::array<EnvelopeKey, 3>& aKeys)
{
  Reader reader{ aBytes.data(), aBytes.data() + aBytes.size() };
  const auto n = mp_decode_map(&reader.mPosition);
  for (std::uint32_t i = 0; i < n; ++i) {
    std::string_view name;
    if (!reader.ReadText(name)) {
      return false;
    }
    const auto key = std::find_if(
      aKeys.begin(), aKeys.end(), [name](const auto& aKey) { return aKey.mName == name; });
    if (key != aKeys.end() && reader.PeekType() == MP_UINT) {
      ++key->mCount;
      reader.Read(key->mValue);
      continue;
    }
    if (key != aKeys.end()) {
      key->mValid = false;
    }
    if (!reader.Skip()) {
      return false;
    }
  }
  return true;
}

/// Whether the message has a field of the name.
bool UsesKey(const Message& aMessage, std::string_view aKey)
{
  return std::visit([aKey](const auto& aValue) { return HasField(aValue, aKey); }, aMessage);
}

} // namespace

std::string_view TypeName(const Message& aMessage)
{
  return kTypeNames.at(aMessage.index());
}

std::string Encode(const Message& aMessage)
{
  return EncodeWith(aMessage, {});
}

std::optional<Message> Decode(std::string_view aBytes)
{
  const char* end = EndOfMap(aBytes);
  if (end == nullptr) {
    return std::nullopt;
  }
  Reader search{ aBytes.data(), end };
  const auto n = mp_decode_map(&search.mPosition);
  for (std::uint32_t i = 0; i < n; ++i) {
    std::string_view key;
    if (!search.ReadText(key)) {
      return std::nullopt;
    }
    if (key != kTypeKey) {
      if (!search.Skip()) {
        return std::nullopt;
      }
      continue;
    }
    std::string_view type;
    Reader reader{ aBytes.data(), end };
    return search.ReadText(type) ? DecodeAs(type, reader) : std::nullopt;
  }
  return std::nullopt;
}

std::string EncodeFrame(const Message& aMessage, Incarnation aFrom, Incarnation aTo)
{
  return EncodeWith(
    aMessage,
    { { kFromKey, aFrom.mValue }, { kToKey, aTo.mValue }, { kVersionKey, kFrameVersion } });
}

std::optional<Frame> DecodeFrame(std::string_view aBytes, FrameProblem& aProblem)
{
  aProblem = FrameProblem::Malformed;
  if (EndOfMap(aBytes) == nullptr) {
    return std::nullopt;
  }
  std::array<EnvelopeKey, 3> keys{ EnvelopeKey{ kVersionKey, 1 },
                                   EnvelopeKey{ kFromKey },
                                   EnvelopeKey{ kToKey } };
  if (!ReadKeys(aBytes, keys)) {
    return std::nullopt;
  }
  // The version counts also if the message cannot be decoded: it may differ in another version.
  auto decoded = Decode(aBytes);
  auto& [version, from, to] = keys;
  if (decoded && UsesKey(*decoded, kVersionKey)) {
    version = { kVersionKey, 1 };
  }
  if (!version.mValid || version.mCount > 1) {
    return std::nullopt;
  }
  if (version.mValue != 1 && version.mValue != kFrameVersion) {
    aProblem = FrameProblem::OtherVersion;
    return std::nullopt;
  }
  if (!decoded) {
    return std::nullopt;
  }
  if (version.mValue == 1) {
    return Frame{ Envelope{}, std::move(*decoded) };
  }
  const bool isValid = from.mValid && to.mValid && from.mCount == 1 && to.mCount <= 1;
  if (!isValid || from.mValue == 0) {
    return std::nullopt;
  }
  const Envelope envelope{ { from.mValue }, { to.mValue }, version.mValue };
  return Frame{ envelope, std::move(*decoded) };
}

} // namespace pollenwall::message

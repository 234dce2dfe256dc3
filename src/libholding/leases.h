#pragma once

#include <pollenwall/holding.h>

/// The leases of a session's runs. A lease end is a time on the clock of one process of the
/// upstream; another process takes it for one on its own clock and may give the longest lease.
/// No I/O and no clock of its own. Not thread safe.
namespace pollenwall::holding {

/// Whether a reading of the clock can be of the process that answered the latest poll. The answers
/// to starts and stops do not name their process.
bool IsOfSameProcess(const Options& aOptions,
                     const Session& aSession,
                     std::int64_t aClockMs,
                     Time aSentAt,
                     Time aNow);

/// Records a reading from the answer to an order that was sent at aSentAt.
void UpdateClock(Session& aSession, std::optional<std::int64_t> aClockMs, Time aSentAt, Time aNow);

/// The lease end for an order that is sent now: at most mLease after what the upstream's clock
/// shows at least, as it runs slow but not fast. Others rely on the runs of a dead or silent entry
/// being over in time, so the clock counts from the arrival of its reading; from the sending of the
/// poll, its wait at the upstream would lengthen the lease. The lease covers all runs of the
/// upstream, so it is not renewed while one of them should have ended: its job may soon be
/// submitted elsewhere.
std::int64_t NextLeaseEnd(const Options& aOptions, Session& aSession, Time aNow);

/// Takes for granted that the process whose clock is known has just given the longest lease: late
/// orders with a lease end on the clock of a former process make it do so.
void AssumeLongestLease(const Options& aOptions, Session& aSession);

/// Takes for granted that a process whose clock is not known has executed an order by aTime, and so
/// has given the longest lease.
void AssumeLongestUnknownLease(const Options& aOptions, Session& aSession, Time aTime);

/// Whether no copy of the order to start a run can still be executed without its answer being
/// known.
bool IsEachCopyAnswered(const OwnRun& aOwn);

/// Whether a poll shows that only the process that answered it can have the run; that process
/// refuses orders for a former one. aListed: the answer lists the run as running.
bool MakesLeaseKnown(const Options& aOptions,
                     const OwnRun& aOwn,
                     const PollAnswered& aEvent,
                     bool aListed);

/// Whether a run may be under a lease that ends later than Session::mLeaseEndMs.
bool HasRunOfUnknownLease(const Session& aSession);

/// Whether every lease on the known clock has ended even if that clock runs as slow as
/// mMaxClockDrift allows.
bool HaveKnownLeasesLapsed(const Options& aOptions, const Session& aSession, Time aNow);

/// Whether the lease of a run has ended, given that the known ones have.
bool HasRunLapsed(const Options& aOptions, const Session& aSession, const OwnRun& aOwn, Time aNow);

} // namespace pollenwall::holding

#ifndef SAMPHIRESAIL_COMPONENTS_DUTIES_USAGEREPORTER_HPP
#define SAMPHIRESAIL_COMPONENTS_DUTIES_USAGEREPORTER_HPP

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "components/duties/usagerow.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::duties {

/// What the report of a window consists of, and when it is due.
struct UsageTerms
{
  std::chrono::milliseconds mWindow{ 5000 };
  /// Time from the end of a window until its report is due.
  std::chrono::milliseconds mLate{ 10000 };
  /// Shortest time between two calls to the platform.
  std::chrono::milliseconds mCallInterval{ 0 };
};

/// How a call that reports a window ended.
enum class ReportOutcome
{
  Accepted,
  /// The platform has seen a higher fencing token.
  Fenced,
  /// Too many calls; this one had no effect.
  Throttled,
  /// The platform refused the call for another reason.
  Rejected,
  /// The call may have been received, or may be received later.
  Unknown,
  NotSent,
};

/// Decides for each window what the holder of the duty does next. The report of a window
/// is created in the store, where only one can exist, before it is first sent; every send
/// of it, by any holder, repeats the stored bytes.
class UsageReporter
{
public:
  /// Time after the end of a window before which it is not fixed: requests that ended
  /// shortly after they began are still counted in the window in which they began.
  static constexpr std::chrono::milliseconds kSettleTime{ 1000 };
  /// Time before the report is due at which it is fixed without the entries that are
  /// missing. It covers the record's creation and a repeated call.
  static constexpr std::chrono::milliseconds kFixMargin{ 3000 };
  /// Age at which a report is given up, as a multiple of the time until it is due.
  static constexpr int kGiveUpFactor = 3;
  /// Age from which records are deleted, as a multiple of the age at which reports are
  /// given up: nobody sends them any more, also after a pause.
  static constexpr int kKeepFactor = 3;
  /// Most records that one transaction deletes.
  static constexpr std::size_t kMaxDeletions = 32;
  /// Delay before a store call is repeated, and before the first repeated send; later
  /// ones double up to kMaxBackoff.
  static constexpr std::chrono::milliseconds kMinBackoff{ 250 };
  static constexpr std::chrono::milliseconds kMaxBackoff{ 2000 };

  enum class Step
  {
    /// Create the record with mBody if it is absent, and delete the records of mExpired.
    Fix,
    /// Read the record.
    Read,
    Send,
    /// Only to be logged: the report is due and not yet accepted.
    Late,
    /// Only to be logged: the report is too old to be sent.
    GiveUp,
  };
  struct Action
  {
    Step mStep{ Step::Fix };
    Window mWindow{ 0 };
    std::string mBody;
    std::vector<Window> mExpired;
    /// Reports of all windows before this one are done, which is to be recorded with this
    /// one, so that the next holder does not send them again; 0 if none is.
    Window mDoneBefore{ 0 };
  };
  /// What is known of the counts.
  struct Source
  {
    /// True if no entry that counts is missing from a window.
    std::function<bool(Window)> mIsComplete;
    /// Returns the body of a window's report.
    std::function<std::string(Window)> mBody;
  };

  /// aFirst is the window in which this process began to count.
  UsageReporter(UsageTerms aTerms, Window aFirst)
    : mTerms(aTerms)
    , mFirst(aFirst)
  {
  }

  /// Processes the state of a window's record in the store.
  void OnRecord(Window aWindow, const std::optional<std::string>& aBody);
  /// Processes a complete read of the store: there are records of these windows only.
  void RetainRecords(const std::set<Window>& aWindows)
  {
    std::erase_if(mRecords, [&](Window aWindow) { return !aWindows.contains(aWindow); });
    mReadsRestored = false;
  }
  /// Records that the store was restored from a backup. The records of reports that it
  /// lost are created again with the same bytes, by every process that knows them: a
  /// holder that does not would count anew. This process begins after aDelay.
  void OnStoreRestored(timing::Duration aDelay, timing::Instant aNow);
  /// Processes a holder's record that the reports of all windows before this one are
  /// done. One that lies in the future is not sound, and ignored.
  void OnDoneBefore(Window aWindow, std::chrono::milliseconds aTime);
  /// Windows from this one on are reported, since there are counts of them.
  void OnCountsFrom(Window aWindow) { mFirst = std::min(mFirst, aWindow); }

  /// Returns the next steps of the holder of aToken; the outcome of each Fix, Read and
  /// Send is reported by one of the calls below. aTime is the time since the Unix epoch.
  /// Without a token, only records that a restore of the store lost are created.
  std::vector<Action> Next(std::optional<std::int64_t> aToken,
                           std::chrono::milliseconds aTime,
                           timing::Instant aNow,
                           const Source& aSource);
  /// True if the holder may use the token: no call was rejected under it or a higher one.
  bool MayUse(std::int64_t aToken) const { return aToken > mFencedToken; }

  void OnFixed(Window aWindow, timing::Instant aNow);
  /// The record exists already; aBody is what it holds, if that is known.
  void OnExists(Window aWindow,
                const std::optional<std::string>& aBody,
                timing::Instant aNow);
  /// A store call failed or its outcome is unknown, or the record was not found.
  void OnStoreFailed(Window aWindow, timing::Instant aNow);
  void OnSent(Window aWindow,
              ReportOutcome aOutcome,
              std::int64_t aToken,
              timing::Instant aNow);

  /// True if the window's report is in the store or too old, so that its counts are no
  /// longer needed.
  bool IsFixed(Window aWindow, std::chrono::milliseconds aTime) const;
  /// The first window that can still be reported.
  Window FirstOpen(std::chrono::milliseconds aTime) const;

private:
  enum class State
  {
    /// There is no record, or its creation is being tried.
    Open,
    /// There is a record, whose body is not known.
    Unread,
    /// mBody is the record's.
    Recorded,
    Done,
  };
  struct Report
  {
    State mState{ State::Open };
    /// The record's body, or while there is none, the one that was tried to create.
    std::string mBody;
    bool mInFlight{ false };
    bool mLate{ false };
    /// A restore of the store may have lost the record.
    bool mLost{ false };
    timing::Instant mNextAt{};
    std::chrono::milliseconds mBackoff{ kMinBackoff };
  };

  std::chrono::milliseconds EndOf(Window aWindow) const
  {
    return (aWindow + 1) * mTerms.mWindow;
  }
  std::optional<Action> StepOf(Window aWindow,
                               Report& aReport,
                               std::chrono::milliseconds aTime,
                               timing::Instant aNow,
                               const Source& aSource);
  std::vector<Window> Expired(std::chrono::milliseconds aTime) const;
  /// Returns the first window that is not too old to be reported.
  Window OldestOpen(std::chrono::milliseconds aTime) const
  {
    return (aTime - kGiveUpFactor * mTerms.mLate) / mTerms.mWindow;
  }
  /// Appends the creation of records that a restore of the store lost.
  void AppendLost(std::vector<Action>& aActions, timing::Instant aNow);
  /// Returns the first window from aFirst on whose report is not done.
  Window FirstNotDone(Window aFirst) const;
  void Retry(Report& aReport, timing::Instant aNow);

  UsageTerms mTerms;
  Window mFirst;
  std::map<Window, Report> mReports;
  /// Windows whose records are in the store.
  std::set<Window> mRecords;
  Window mDoneBefore{ 0 };
  std::int64_t mFencedToken{ 0 };
  timing::Instant mNextCallAt{};
  /// The store was restored and not read completely since.
  bool mReadsRestored{ false };
  /// When lost records may be created again.
  timing::Instant mRewriteFrom{};
};

}

#endif

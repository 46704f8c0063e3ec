#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_QUARANTINEVERDICT_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_QUARANTINEVERDICT_HPP

#include <cstdint>

#include "components/gateway/crashevidence.hpp"
#include "components/gateway/suspecttests.hpp"

namespace samphiresail::gateway {

/// Causes in quarantine: requests that have all of them are refused.
struct QuarantineVerdict
{
  CrashEvidence::Causes mCauses;
  timing::Instant mSince{};
  timing::Instant mUntil{};
  /// This entry wrote the record, so it is the first to send a test.
  bool mOwnRecord{ false };
  timing::Instant mLastTest{ timing::Instant::min() };
  /// When the last test began that has not run.
  timing::Instant mTakenBack{ timing::Instant::min() };
  timing::Instant mNextTest{};
  /// mNextTest before the last test.
  timing::Instant mPreviousDue{};
  timing::Duration mTestInterval{ 0 };

  static constexpr int kBackoff = 4;

  /// Returns false for a test that is known.
  bool IsNewTest(timing::Instant aBegan) const
  {
    const bool known = mLastTest != timing::Instant::min() &&
                       aBegan <= mLastTest + SuspectTests::kSameTest;
    const bool notRun = mTakenBack != timing::Instant::min() &&
                        aBegan < mTakenBack + SuspectTests::kReportAccuracy;
    return !known && !notRun;
  }
  /// Records that the test that began at aBegan has not run.
  void TakeBackTest(timing::Instant aBegan)
  {
    if (mLastTest != timing::Instant::min() &&
        aBegan <= mLastTest + SuspectTests::kReportAccuracy &&
        mLastTest <= aBegan + SuspectTests::kReportAccuracy) {
      mTestInterval /= kBackoff;
      mNextTest = mPreviousDue;
      mTakenBack = aBegan;
      mLastTest = timing::Instant::min();
    }
  }
  /// Records that a request with all causes was sent; the next one is sent later.
  void RecordTest(timing::Instant aAt)
  {
    mLastTest = aAt;
    mPreviousDue = mNextTest;
    mTestInterval *= kBackoff;
    mNextTest = aAt + mTestInterval;
  }
};

/// Returns the identifier of a verdict on these causes, which is the same at all entries:
/// that of a single cause, else a digest.
std::uint64_t VerdictId(const CrashEvidence::Causes& aCauses);

/// Returns the causes in ascending order, each once.
CrashEvidence::Causes SortedCauses(CrashEvidence::Causes aCauses);

}

#endif

#include "components/gateway/suspecttests.hpp"

#include <algorithm>

namespace samphiresail::gateway {

void SuspectTests::Delay(const std::vector<std::uint64_t>& aCauses,
                         timing::Instant aUntil)
{
  for (const std::uint64_t cause : aCauses) {
    Row& row = mRows[cause];
    row.mNext = std::max(row.mNext, aUntil);
  }
}

bool SuspectTests::MayTest(const std::vector<std::uint64_t>& aCauses,
                           timing::Instant aNow) const
{
  return std::ranges::all_of(aCauses, [&](std::uint64_t aCause) {
    const auto it = mRows.find(aCause);
    return it == mRows.end() || aNow >= it->second.mNext;
  });
}

void SuspectTests::Begin(const std::vector<std::uint64_t>& aCauses, timing::Instant aAt)
{
  for (const std::uint64_t cause : aCauses) {
    Row& row = mRows[cause];
    const bool known =
      row.mBegan != timing::Instant::min() && aAt < row.mBegan + kSameTest;
    const bool notRun =
      row.mTakenBack != timing::Instant::min() && aAt < row.mTakenBack + kReportAccuracy;
    if (!known && !notRun) {
      row.mBegan = aAt;
      row.mNext = aAt + row.mPause;
      row.mPause = std::min(row.mPause * kBackoff, kMaxPause);
    }
  }
}

void SuspectTests::TakeBack(const std::vector<std::uint64_t>& aCauses,
                            timing::Instant aBegan)
{
  for (const std::uint64_t cause : aCauses) {
    const auto it = mRows.find(cause);
    if (it == mRows.end() || it->second.mBegan == timing::Instant::min() ||
        aBegan + kReportAccuracy < it->second.mBegan ||
        it->second.mBegan + kReportAccuracy < aBegan) {
      continue;
    }
    Row& row = it->second;
    row.mPause = std::max(row.mPause / kBackoff, kFirstPause);
    row.mNext = row.mBegan;
    row.mTakenBack = aBegan;
    row.mBegan = timing::Instant::min();
  }
}

void SuspectTests::Reset(const std::vector<std::uint64_t>& aCauses)
{
  for (const std::uint64_t cause : aCauses) {
    mRows.erase(cause);
  }
}

void SuspectTests::Tick(timing::Instant aNow)
{
  std::erase_if(mRows,
                [aNow](const auto& aRow) { return aRow.second.mNext + kMemory < aNow; });
}

}

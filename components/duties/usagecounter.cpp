#include "components/duties/usagecounter.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace samphiresail::duties {

std::uint64_t SumOf(const UsageCounts& aCounts)
{
  return std::accumulate(aCounts.begin(),
                         aCounts.end(),
                         std::uint64_t{ 0 },
                         [](auto aSum, const auto& aRow) { return aSum + aRow.second; });
}

void UsageCounter::Count(const ids::ClientAccountId& aAccount, Window aWindow)
{
  ++mWindows[std::max(aWindow, mCompleteBefore)][aAccount.Str()];
}

void UsageCounter::Complete(Window aBefore)
{
  mCompleteBefore = std::max(mCompleteBefore, aBefore);
}

std::vector<UsageRow> UsageCounter::Rows() const
{
  std::vector<UsageRow> rows;
  std::ranges::transform(mWindows, std::back_inserter(rows), [this](const auto& aWindow) {
    return UsageRow{
      mProcess, mIncarnation, aWindow.first, SumOf(aWindow.second), aWindow.second
    };
  });
  return rows;
}

}

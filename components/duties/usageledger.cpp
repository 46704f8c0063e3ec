#include "components/duties/usageledger.hpp"

#include <algorithm>

namespace samphiresail::duties {

void UsageLedger::Merge(const UsageRow& aRow)
{
  const Key key(aRow.mWindow, aRow.mProcess, aRow.mIncarnation);
  const auto it = mRows.find(key);
  if (it == mRows.end() && mRows.size() >= kMaxRows) {
    return;
  }
  UsageRow& row = it == mRows.end() ? mRows[key] : it->second;
  row.mProcess = aRow.mProcess;
  row.mIncarnation = aRow.mIncarnation;
  row.mWindow = aRow.mWindow;
  row.mTotal = std::max(row.mTotal, aRow.mTotal);
  for (const auto& [account, count] : aRow.mCounts) {
    if (row.mCounts.size() < kMaxAccounts || row.mCounts.contains(account)) {
      std::uint64_t& known = row.mCounts[account];
      known = std::max(known, count);
    }
  }
}

void UsageLedger::OnHeard(const ids::ProcessId& aProcess,
                          std::uint64_t aIncarnation,
                          Window aCompleteBefore,
                          timing::Instant aNow)
{
  if (mProcesses.size() >= kMaxRows && !mProcesses.contains(aProcess)) {
    return;
  }
  Process& process = mProcesses[aProcess];
  if (process.mIncarnation != aIncarnation) {
    process = { aIncarnation, 0, aNow };
  }
  process.mCompleteBefore = std::max(process.mCompleteBefore, aCompleteBefore);
  process.mHeardAt = aNow;
}

UsageCounts UsageLedger::CountsOf(Window aWindow) const
{
  UsageCounts sums;
  for (auto it = mRows.lower_bound({ aWindow, {}, 0 });
       it != mRows.end() && it->second.mWindow == aWindow;
       ++it) {
    for (const auto& [account, count] : it->second.mCounts) {
      sums[account] += count;
    }
  }
  return sums;
}

std::vector<ids::ProcessId> UsageLedger::MissingFrom(
  Window aWindow,
  const std::vector<ids::ProcessId>& aEntries) const
{
  std::vector<ids::ProcessId> missing;
  std::ranges::copy_if(
    aEntries, std::back_inserter(missing), [&](const ids::ProcessId& aEntry) {
      const auto process = mProcesses.find(aEntry);
      if (process == mProcesses.end() || process->second.mCompleteBefore <= aWindow) {
        return true;
      }
      const auto row = mRows.find({ aWindow, aEntry, process->second.mIncarnation });
      return row != mRows.end() && SumOf(row->second.mCounts) < row->second.mTotal;
    });
  return missing;
}

std::vector<UsageRow> UsageLedger::RowsToForward(
  const std::vector<ids::ProcessId>& aEntries,
  Window aOverdue) const
{
  std::vector<UsageRow> rows;
  for (const auto& [key, row] : mRows) {
    const auto process = mProcesses.find(row.mProcess);
    const bool sends = std::ranges::count(aEntries, row.mProcess) > 0 &&
                       process != mProcesses.end() &&
                       process->second.mIncarnation == row.mIncarnation;
    if (!sends || row.mWindow < aOverdue) {
      rows.push_back(row);
    }
  }
  return rows;
}

std::vector<ids::ProcessId> UsageLedger::HeardSince(timing::Instant aSince) const
{
  std::vector<ids::ProcessId> heard;
  for (const auto& [name, process] : mProcesses) {
    if (process.mHeardAt > aSince) {
      heard.push_back(name);
    }
  }
  return heard;
}

std::optional<Window> UsageLedger::FirstWindow() const
{
  return mRows.empty() ? std::nullopt : std::optional(mRows.begin()->second.mWindow);
}

void UsageLedger::Forget(Window aWindow)
{
  std::erase_if(mRows,
                [aWindow](const auto& aRow) { return aRow.second.mWindow == aWindow; });
}

void UsageLedger::ForgetBefore(Window aWindow)
{
  mRows.erase(mRows.begin(), mRows.lower_bound({ aWindow, {}, 0 }));
}

}

#ifndef SAMPHIRESAIL_COMPONENTS_DUTIES_USAGELEDGER_HPP
#define SAMPHIRESAIL_COMPONENTS_DUTIES_USAGELEDGER_HPP

#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "components/duties/usagerow.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::duties {

/// Counts of all entries, merged by entry, start, window and account with the maximum, so
/// that lost, repeated and reordered messages do not matter.
class UsageLedger
{
public:
  /// Most rows that are kept: more than the windows that are not yet reported in a fleet
  /// of a thousand entries.
  static constexpr std::size_t kMaxRows = 16384;
  /// Most accounts of one row.
  static constexpr std::size_t kMaxAccounts = 16384;

  void Merge(const UsageRow& aRow);
  /// Records that a process, by its own message, adds nothing any more to windows before
  /// aCompleteBefore.
  void OnHeard(const ids::ProcessId& aProcess,
               std::uint64_t aIncarnation,
               Window aCompleteBefore,
               timing::Instant aNow);

  /// Sum over all entries.
  UsageCounts CountsOf(Window aWindow) const;
  /// Those of the entries whose counts of the window are not known to be complete.
  std::vector<ids::ProcessId> MissingFrom(
    Window aWindow,
    const std::vector<ids::ProcessId>& aEntries) const;
  /// Rows that the leader may not get from their own processes: of entries that are not
  /// among aEntries, of earlier starts of those that are, and of windows before aOverdue,
  /// whose report waits for an entry that may be cut off from the leader alone.
  std::vector<UsageRow> RowsToForward(const std::vector<ids::ProcessId>& aEntries,
                                      Window aOverdue) const;
  /// Processes whose last message came after aSince.
  std::vector<ids::ProcessId> HeardSince(timing::Instant aSince) const;
  /// The first window with counts; none if there are no counts.
  std::optional<Window> FirstWindow() const;

  void Forget(Window aWindow);
  void ForgetBefore(Window aWindow);

private:
  struct Process
  {
    std::uint64_t mIncarnation{ 0 };
    Window mCompleteBefore{ 0 };
    timing::Instant mHeardAt{};
  };
  using Key = std::tuple<Window, ids::ProcessId, std::uint64_t>;

  std::map<Key, UsageRow> mRows;
  std::map<ids::ProcessId, Process> mProcesses;
};

}

#endif

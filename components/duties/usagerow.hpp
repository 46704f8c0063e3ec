#ifndef SAMPHIRESAIL_COMPONENTS_DUTIES_USAGEROW_HPP
#define SAMPHIRESAIL_COMPONENTS_DUTIES_USAGEROW_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "components/ids/ids.hpp"

namespace samphiresail::duties {

/// Index of a window of usage: the number of whole windows between the Unix epoch and its
/// start.
using Window = std::int64_t;

/// Requests that endpoints began to run, by name of the client account.
using UsageCounts = std::map<std::string, std::uint64_t>;

std::uint64_t SumOf(const UsageCounts& aCounts);

/// Counts of one start of an entry in one window. Counts only grow.
struct UsageRow
{
  ids::ProcessId mProcess;
  /// Start of the process, see PeerReport.
  std::uint64_t mIncarnation{ 0 };
  Window mWindow{ 0 };
  /// Sum over all accounts. It shows whether mCounts, which may come in several messages,
  /// is complete.
  std::uint64_t mTotal{ 0 };
  UsageCounts mCounts;
};

/// What an entry says of its usage in one message.
struct UsageMessage
{
  /// The sender adds nothing any more to windows before this one.
  Window mCompleteBefore{ 0 };
  std::vector<UsageRow> mRows;
};

}

#endif

#include "components/gateway/quarantinewriters.hpp"

#include <algorithm>

namespace samphiresail::gateway {

void QuarantineWriters::Set(std::uint64_t aCause,
                            const ids::ProcessId& aWriter,
                            std::int64_t aRevision)
{
  if (aWriter.Empty()) {
    mRecords.erase(aCause);
  } else {
    mRecords.insert_or_assign(aCause, Record{ aWriter, aRevision });
  }
}

void QuarantineWriters::RetainOnly(const std::set<std::uint64_t>& aCauses)
{
  std::erase_if(mRecords,
                [&](const auto& aRow) { return !aCauses.contains(aRow.first); });
}

std::vector<QuarantineWriters::Orphan> QuarantineWriters::TakeOrphans(
  const std::vector<ids::ProcessId>& aPresent,
  timing::Instant aNow)
{
  std::vector<Orphan> orphans;
  for (auto& [cause, record] : mRecords) {
    if (record.mSeenAt == timing::Instant::min() ||
        std::ranges::count(aPresent, record.mWriter) > 0) {
      record.mSeenAt = aNow;
    } else if (aNow - record.mSeenAt >= kAbsence) {
      record.mSeenAt = aNow;
      orphans.push_back({ cause, record.mRevision });
    }
  }
  return orphans;
}

}

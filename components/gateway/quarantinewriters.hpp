#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_QUARANTINEWRITERS_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_QUARANTINEWRITERS_HPP

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "components/ids/ids.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Which entry wrote the record of each cause in quarantine and therefore sends its
/// tests. A record whose writer has left for good gets another one.
class QuarantineWriters
{
public:
  /// How long a writer may be gone, for a restart, and the time between two attempts to
  /// take a record over.
  static constexpr timing::Duration kAbsence = std::chrono::seconds(10);

  /// Records the writer of a cause's record and the store's revision at which the record
  /// was created; an empty writer if it is gone.
  void Set(std::uint64_t aCause, const ids::ProcessId& aWriter, std::int64_t aRevision);
  /// Forgets the records of all other causes.
  void RetainOnly(const std::set<std::uint64_t>& aCauses);

  /// A record to be taken over if it is still the one that was created at mRevision.
  struct Orphan
  {
    std::uint64_t mCause{ 0 };
    std::int64_t mRevision{ 0 };
  };
  /// Returns the records whose writer is not in aPresent and has not been for kAbsence;
  /// each is returned again after as long.
  std::vector<Orphan> TakeOrphans(const std::vector<ids::ProcessId>& aPresent,
                                  timing::Instant aNow);

private:
  struct Record
  {
    ids::ProcessId mWriter;
    std::int64_t mRevision{ 0 };
    /// When the writer was last seen, or the record last returned.
    timing::Instant mSeenAt{ timing::Instant::min() };
  };

  std::map<std::uint64_t, Record> mRecords;
};

}

#endif

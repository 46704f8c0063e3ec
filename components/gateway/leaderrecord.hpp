#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_LEADERRECORD_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_LEADERRECORD_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "components/ids/ids.hpp"
#include "components/store/keyvaluestore.hpp"

namespace samphiresail::gateway {

/// Who wrote the leader's record: a process, and the generation of the store in which it
/// competed.
struct LeaderClaim
{
  ids::ProcessId mProcess;
  /// Set at the start of the process.
  std::uint64_t mIncarnation{ 0 };
  store::StoreGeneration mGeneration{ 0 };

  bool operator==(const LeaderClaim&) const = default;
};

/// Returns the value of the leader's record.
std::string FormatLeaderClaim(const LeaderClaim& aClaim);
/// Parses what FormatLeaderClaim() returns. Of any other text, the first line is the name
/// of the process, and the rest is 0.
LeaderClaim ParseLeaderClaim(std::string_view aValue);

/// State of the leader's record in the store.
struct LeaderRecord
{
  bool mPresent{ false };
  LeaderClaim mClaim;
  /// Lease that the record is bound to; 0 for none.
  std::int64_t mLease{ 0 };
  /// Store revision at which it was written.
  std::int64_t mRevision{ 0 };
};

/// Returns the fencing token of the leader whose record was written at a revision of the
/// store. It is higher than that of every earlier record, also of those that a restore of
/// the store took back.
std::int64_t FencingToken(store::StoreGeneration aGeneration, std::int64_t aRevision);

}

#endif

#ifndef SAMPHIRESAIL_COMPONENTS_LIMITS_PERMITHOLDER_HPP
#define SAMPHIRESAIL_COMPONENTS_LIMITS_PERMITHOLDER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "components/catalogue/catalogue.hpp"
#include "components/limits/sharerecord.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::limits {

/// Reply to a request for a load permit.
struct PermitReply
{
  /// Empty if no load may begin now.
  std::string mPermit;
  /// Minimum delay before the next request.
  timing::Duration mRetryAfter{ 0 };
};

/// Issues load permits within this entry's share of the weight store's limits: loads
/// begun per second and loads in progress at once.
class PermitHolder
{
public:
  /// A permit counts as in use until it is released or aPermitLife has passed. A share
  /// that another entry may still use becomes usable aInTouch + aPermitLife after its
  /// record was confirmed as accepted.
  PermitHolder(ids::ProcessId aSelf,
               units::Incarnation aIncarnation,
               timing::Duration aInTouch,
               timing::Duration aPermitLife);

  void Adopt(const ShareRecord& aRecord,
             units::Version aAccepted,
             const catalogue::WeightStore& aLimits,
             timing::Instant aNow);
  void Tick(units::Version aAccepted, timing::Instant aNow);
  void Stop();

  PermitReply Request(timing::Instant aNow);
  void Release(const std::string& aPermit);

private:
  void ScheduleNextStart(timing::Instant aNow);

  ids::ProcessId mSelf;
  units::Incarnation mIncarnation;
  timing::Duration mInTouch;
  timing::Duration mPermitLife;
  catalogue::WeightStore mLimits;
  std::uint32_t mMillionths{ 0 };
  std::uint32_t mPendingMillionths{ 0 };
  bool mHasPendingIncrease{ false };
  bool mReclaimed{ false };
  units::Version mSince;
  /// Version of the record that last assigned the share.
  units::Version mHeldSince;
  std::optional<timing::Instant> mUsableAt;
  std::optional<timing::Instant> mNextStart;
  std::uint64_t mIssuedCount{ 0 };
  bool mStopped{ false };
  std::map<std::string, timing::Instant> mInUse;
};

}

#endif

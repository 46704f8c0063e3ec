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

/// Answer to a request for a load permit.
struct PermitReply
{
  /// Empty if no load may begin now.
  std::string mPermit;
  /// Earliest time after which asking again makes sense.
  timing::Duration mRetryAfter{ 0 };
};

/// This entry's share of the weight store's loads: how many may begin per second and how
/// many may run at once.
class PermitHolder
{
public:
  /// A permit counts as in use until it is released or aPermitLife has passed. A share
  /// that another entry may still use is taken up after aInTouch + aPermitLife.
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
  void Pace(timing::Instant aNow);

  ids::ProcessId mSelf;
  units::Incarnation mIncarnation;
  timing::Duration mInTouch;
  timing::Duration mPermitLife;
  catalogue::WeightStore mLimits;
  std::uint32_t mMillionths{ 0 };
  std::uint32_t mWaitingMillionths{ 0 };
  bool mWaiting{ false };
  bool mReclaimed{ false };
  units::Version mSince;
  /// Version of the record that gave the share last.
  units::Version mHeldSince;
  std::optional<timing::Instant> mUsableAt;
  std::optional<timing::Instant> mNextStart;
  std::uint64_t mCount{ 0 };
  bool mStopped{ false };
  std::map<std::string, timing::Instant> mInUse;
};

}

#endif

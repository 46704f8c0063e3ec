#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_STOREFRESHNESS_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_STOREFRESHNESS_HPP

#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Knows up to which instant this process has seen the changes in the platform's store.
/// All bounds on withdrawn keys and on configurations rest on this one instant.
class StoreFreshness
{
public:
  /// After this a request with a key is refused; a withdrawn key must be dead after 5 s.
  static constexpr timing::Duration kMaxKeyStaleness = std::chrono::milliseconds(4000);
  /// After this the process says that it is not ready.
  static constexpr timing::Duration kMaxReadyStaleness = std::chrono::milliseconds(3000);
  /// Time without a sign of the store after which records may have lapsed without their
  /// owners being gone.
  static constexpr timing::Duration kMinOutage = std::chrono::milliseconds(2200);
  /// How long after an outage removals are taken as lapses.
  static constexpr timing::Duration kLapseWindow = std::chrono::milliseconds(3000);

  /// Records an answer of the store that began to arrive at aBegan and was read by aNow,
  /// before what it says is applied. A long answer over a slow link is no outage.
  void RecordResponse(timing::Instant aBegan, timing::Instant aNow)
  {
    if (mLastResponse != timing::Instant{} && aBegan - mLastResponse > kMinOutage) {
      mOutageEnd = aNow;
    }
    mLastResponse = aNow;
  }

  /// Records that all changes up to aAsOf are known. The caller passes an instant at
  /// which the call was certainly not yet answered, such as the one when it was sent.
  void ConfirmUpTo(timing::Instant aAsOf)
  {
    if (!mHasConfirmation || aAsOf > mFreshAsOf) {
      mFreshAsOf = aAsOf;
    }
    mHasConfirmation = true;
  }

  bool AreKeysFresh(timing::Instant aNow) const
  {
    return mHasConfirmation && aNow - mFreshAsOf < kMaxKeyStaleness;
  }
  bool IsReady(timing::Instant aNow) const
  {
    return mHasConfirmation && aNow - mFreshAsOf < kMaxReadyStaleness;
  }
  /// True if a record that vanishes now may belong to an owner that is alive.
  bool RecordsMayHaveLapsed(timing::Instant aNow) const
  {
    return mHasConfirmation &&
           (aNow - mLastResponse > kMinOutage ||
            (mOutageEnd != timing::Instant{} && aNow - mOutageEnd < kLapseWindow));
  }
  timing::Duration Staleness(timing::Instant aNow) const
  {
    return mHasConfirmation ? aNow - mFreshAsOf : timing::Duration::max();
  }

private:
  bool mHasConfirmation{ false };
  timing::Instant mFreshAsOf{};
  /// When the last answer was read.
  timing::Instant mLastResponse{};
  timing::Instant mOutageEnd{};
};

}

#endif

#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_STORECONTACT_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_STORECONTACT_HPP

#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Knows up to which instant this process has seen the changes in the platform's store.
/// All bounds on withdrawn keys and on configurations rest on this one instant.
class StoreContact
{
public:
  /// After this a request with a key is refused; a withdrawn key must be dead after 5 s.
  static constexpr timing::Duration kKeyLimit = std::chrono::milliseconds(4000);
  /// After this the process says that it is not ready.
  static constexpr timing::Duration kReadyLimit = std::chrono::milliseconds(3000);
  /// Time without a sign of the store after which records may have lapsed without their
  /// owners being gone.
  static constexpr timing::Duration kOutageGap = std::chrono::milliseconds(2200);
  /// How long after an outage removals are taken as lapses.
  static constexpr timing::Duration kLapseWindow = std::chrono::milliseconds(3000);

  /// Records an answer of the store that began to arrive at aBegan and was read by aNow,
  /// before what it says is applied. A long answer over a slow link is no outage.
  void Answered(timing::Instant aBegan, timing::Instant aNow)
  {
    if (mHeard != timing::Instant{} && aBegan - mHeard > kOutageGap) {
      mOutageEnd = aNow;
    }
    mHeard = aNow;
  }

  /// Records that all changes up to aAsOf are known. The caller passes an instant at
  /// which the call was certainly not yet answered, such as the one when it was sent.
  void Confirm(timing::Instant aAsOf)
  {
    if (!mKnown || aAsOf > mConfirmed) {
      mConfirmed = aAsOf;
    }
    mKnown = true;
  }

  bool KeysTrusted(timing::Instant aNow) const
  {
    return mKnown && aNow - mConfirmed < kKeyLimit;
  }
  bool Ready(timing::Instant aNow) const
  {
    return mKnown && aNow - mConfirmed < kReadyLimit;
  }
  /// True if a record that vanishes now may belong to an owner that is alive.
  bool AfterOutage(timing::Instant aNow) const
  {
    return mKnown && (aNow - mHeard > kOutageGap || (mOutageEnd != timing::Instant{} &&
                                                     aNow - mOutageEnd < kLapseWindow));
  }
  timing::Duration Age(timing::Instant aNow) const
  {
    return mKnown ? aNow - mConfirmed : timing::Duration::max();
  }

private:
  bool mKnown{ false };
  timing::Instant mConfirmed{};
  /// When the last answer was read.
  timing::Instant mHeard{};
  timing::Instant mOutageEnd{};
};

}

#endif

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
  /// A gap after which records may have lapsed without their owners being gone.
  static constexpr timing::Duration kOutageGap = std::chrono::milliseconds(2200);
  /// How long after an outage removals are taken as lapses.
  static constexpr timing::Duration kLapseWindow = std::chrono::milliseconds(3000);

  /// Records that all changes up to aAsOf are known. The caller passes an instant at
  /// which the call was certainly not yet answered, such as the one when it was sent.
  void Confirm(timing::Instant aAsOf, timing::Instant aNow)
  {
    if (mKnown && aNow - mConfirmed > kOutageGap) {
      mOutageEnd = aNow;
    }
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
    return mKnown &&
           (aNow - mConfirmed > kOutageGap ||
            (mOutageEnd != timing::Instant{} && aNow - mOutageEnd < kLapseWindow));
  }
  timing::Duration Age(timing::Instant aNow) const
  {
    return mKnown ? aNow - mConfirmed : timing::Duration::max();
  }

private:
  bool mKnown{ false };
  timing::Instant mConfirmed{};
  timing::Instant mOutageEnd{};
};

}

#endif

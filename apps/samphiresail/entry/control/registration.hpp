#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_REGISTRATION_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_REGISTRATION_HPP

#include <cstdint>
#include <optional>

#include "apps/samphiresail/entry/control/controlstate.hpp"
#include "apps/samphiresail/entry/control/outbox.hpp"

namespace samphiresail::entry {

/// Keeps the record of this entry in the store, bound to a lease. The lease only tells
/// others that the entry probably lives; no safety property rests on it.
class Registration
{
public:
  Registration(ControlState& aState, Outbox& aOutbox);

  void Tick(timing::Instant aNow);
  void OnReply(const PendingCall& aCall,
               const store::StoreReply& aReply,
               timing::Instant aNow);

  /// Removes the record.
  void Leave(timing::Instant aNow);

  /// Returns true once the record is removed, or there was none.
  bool HasLeft() const { return mLeaving && mLease == 0; }

private:
  void Begin(StorePurpose aPurpose, store::StoreRequest aRequest, timing::Instant aNow);
  bool IsRegistered() const;

  ControlState& mState;
  Outbox& mOutbox;
  std::int64_t mLease{ 0 };
  std::optional<timing::Instant> mLastKept;
  std::optional<timing::Instant> mCallBegan;
  timing::Instant mNextTry;
  bool mWritten{ false };
  bool mLeaving{ false };
};

}

#endif

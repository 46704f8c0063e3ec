#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_ROSTERKEEPER_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_ROSTERKEEPER_HPP

#include <optional>

#include "apps/samphiresail/entry/control/controlstate.hpp"
#include "apps/samphiresail/entry/control/outbox.hpp"

namespace samphiresail::entry {

/// Plans the roster: changes it by one member at a time and marks a change as accepted
/// once majorities of the old and the new roster hold it and all that was accepted
/// before.
class RosterKeeper
{
public:
  RosterKeeper(ControlState& aState, Outbox& aOutbox);

  void Tick(timing::Instant aNow);
  void OnReply(const PendingCall& aCall, timing::Instant aNow);

  /// Returns true while answers of the electors are needed.
  bool WantsAnswers(timing::Instant aNow) const;

private:
  std::optional<membership::Roster> Next(timing::Instant aNow) const;
  bool MayAccept(timing::Instant aNow) const;
  bool HasAcknowledged(const membership::Member& aMember,
                       const membership::Versions& aWanted) const;

  ControlState& mState;
  Outbox& mOutbox;
  std::optional<timing::Instant> mWriteBegan;
  /// End of the last write; decisions need a later read.
  timing::Instant mWriteEnded;
};

}

#endif

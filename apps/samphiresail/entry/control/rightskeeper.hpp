#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_RIGHTSKEEPER_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_RIGHTSKEEPER_HPP

#include <optional>
#include <vector>

#include "apps/samphiresail/entry/control/controlstate.hpp"
#include "apps/samphiresail/entry/control/outbox.hpp"
#include "components/limits/shareplanner.hpp"

namespace samphiresail::entry {

/// Writes the rights record: as planner, or to hand over the own shares at a stop.
class RightsKeeper
{
public:
  RightsKeeper(ControlState& aState, Outbox& aOutbox, const limits::ShareHolder& aHolder);

  void Tick(timing::Instant aNow);
  void OnReply(const PendingCall& aCall, timing::Instant aNow);

  /// Returns the highest version of the record that is known to be accepted.
  units::Version Accepted() const { return mAccepted; }

  /// Returns true while answers of the electors are needed.
  bool WantsAnswers() const;

  /// Starts to hand over the own shares; the holder must have stopped before.
  void BeginHandOver(timing::Instant aNow);

  /// Returns true if the hand-over is written or nothing can be handed over.
  bool IsHandOverDone(timing::Instant aNow) const;

private:
  std::vector<limits::HolderCandidate> Candidates(timing::Instant aNow) const;
  std::optional<limits::ShareRecord> Next(timing::Instant aNow);
  /// Returns true while the first shares wait for entries of all availability zones, so
  /// that all of them start full.
  bool AwaitsEntries(const std::vector<limits::HolderCandidate>& aCandidates,
                     timing::Instant aNow);
  std::optional<limits::ShareRecord> NextAtStop(timing::Instant aNow) const;
  void NoteAccepted(timing::Instant aNow);

  ControlState& mState;
  Outbox& mOutbox;
  const limits::ShareHolder& mHolder;
  units::Version mAccepted;
  timing::Instant mAcceptedAt;
  /// Version that has been accepted for so long that no former holder can use it.
  units::Version mSettled;
  std::optional<timing::Instant> mWriteBegan;
  /// End of the last write; decisions need a later read.
  timing::Instant mWriteEnded;
  std::optional<timing::Instant> mHandOverBegan;
  std::optional<timing::Instant> mFirstPlan;
};

}

#endif

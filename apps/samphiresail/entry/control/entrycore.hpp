#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_ENTRYCORE_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_ENTRYCORE_HPP

#include <string>
#include <vector>

#include "apps/samphiresail/entry/control/actions.hpp"
#include "apps/samphiresail/entry/control/controlstate.hpp"
#include "apps/samphiresail/entry/control/creditexchange.hpp"
#include "apps/samphiresail/entry/control/freshness.hpp"
#include "apps/samphiresail/entry/control/outbox.hpp"
#include "apps/samphiresail/entry/control/permitexchange.hpp"
#include "apps/samphiresail/entry/control/recordpoller.hpp"
#include "apps/samphiresail/entry/control/registration.hpp"
#include "apps/samphiresail/entry/control/rightskeeper.hpp"
#include "apps/samphiresail/entry/control/rosterkeeper.hpp"

namespace samphiresail::entry {

/// Control state of an entry without sockets, threads or clocks. Each function takes one
/// input and returns the actions that follow from it.
class EntryCore
{
public:
  /// The pool is shared with the traffic threads and must outlive the core.
  EntryCore(ControlSettings aSettings, limits::CreditPool& aPool);

  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  /// Runs all systems once; to be called every few tens of milliseconds.
  Actions Tick(timing::Instant aNow);

  /// Asks for credit at once, because a caller waits.
  Actions OnDemand(timing::Instant aNow);

  /// Takes a message of another process that came on the connection aRoute. Ignores
  /// messages that are not for the control state.
  Actions OnPeer(const std::string& aRoute,
                 const wire::Envelope& aEnvelope,
                 timing::Instant aNow);

  Actions OnStoreReply(std::uint64_t aId,
                       const store::StoreReply& aReply,
                       timing::Instant aNow);

  /// Takes the platform's list of VMs.
  Actions OnVms(const std::vector<membership::ListedVm>& aList, timing::Instant aNow);

  /// Looks for a load permit; the answer is an AnswerPermit with the same identifier.
  Actions RequestPermit(std::uint64_t aId, timing::Instant aNow);
  Actions ReleasePermit(const std::string& aPermit, timing::Instant aNow);

  /// Stops granting and hands the shares over; ends in HandOverDone.
  Actions BeginStop(timing::Instant aNow);

  /// Removes the entry from the records of the store; ends in LeaveDone.
  Actions Leave(timing::Instant aNow);

  const ControlState& State() const { return mState; }

private:
  Actions Finish(timing::Instant aNow);
  void Dispatch(const PeerMessage& aMessage, timing::Instant aNow);
  void AdoptRights(timing::Instant aNow);
  void TickStop(timing::Instant aNow);
  /// Notes that credit can be had, so that the entry may count as ready.
  void NoteCredit(timing::Instant aNow);
  void Publish();

  ControlState mState;
  Outbox mOutbox;
  limits::ShareHolder mRightsHolder;
  limits::PermitHolder mPermitHolder;
  RecordPoller mPoller;
  Freshness mFreshness;
  Registration mRegistration;
  RosterKeeper mRosterKeeper;
  RightsKeeper mRightsKeeper;
  CreditExchange mCredit;
  PermitExchange mPermits;
  membership::Versions mRightsBasis;
  units::Version mRosterSeen;
  std::optional<timing::Instant> mPublishedEvidence;
  std::optional<timing::Instant> mCreditAwaitedSince;
  bool mStopping{ false };
  bool mHandOverDone{ false };
  std::optional<timing::Instant> mLeaveBegan;
  bool mLeaveDone{ false };
};

}

#endif

#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_OUTBOX_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_OUTBOX_HPP

#include <cstdint>
#include <map>
#include <optional>

#include "apps/samphiresail/entry/control/actions.hpp"
#include "components/membership/roster.hpp"
#include "components/membership/versions.hpp"

namespace samphiresail::entry {

/// What a call of the store is for.
enum class StorePurpose
{
  PollDirectory,
  PollRecords,
  PollEntries,
  PollKeepers,
  GrantLease,
  Register,
  KeepLease,
  RevokeLease,
  WriteRoster,
  WriteRights,
};

struct PendingCall
{
  StorePurpose mPurpose;
  timing::Instant mBegin;
};

/// Collects the actions of one step of the core.
class Outbox
{
public:
  explicit Outbox(membership::Member aSelf);

  /// Sets the versions that outgoing messages state.
  void SetVersions(const membership::Versions& aVersions) { mVersions = aVersions; }

  void Send(const membership::Member& aTo, wire::Envelope aEnvelope);
  void Reply(const std::string& aRoute, wire::Envelope aEnvelope);
  void Call(StorePurpose aPurpose, store::StoreRequest aRequest, timing::Instant aNow);
  void Add(Action aAction) { mActions.push_back(std::move(aAction)); }

  /// Returns the call that a reply belongs to, once.
  std::optional<PendingCall> Finish(std::uint64_t aId);

  Actions Take() { return std::exchange(mActions, {}); }

private:
  wire::Envelope Sign(wire::Envelope aEnvelope) const;

  membership::Member mSelf;
  membership::Versions mVersions;
  Actions mActions;
  std::uint64_t mLastCall{ 0 };
  std::map<std::uint64_t, PendingCall> mCalls;
};

}

#endif

#ifndef SAMPHIRESAIL_COMPONENTS_MEMBERSHIP_FRESHNESSTRACKER_HPP
#define SAMPHIRESAIL_COMPONENTS_MEMBERSHIP_FRESHNESSTRACKER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "components/membership/roster.hpp"
#include "components/membership/versions.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::membership {

/// Reply of a peer to a query for its versions and staleness.
struct PeerFreshness
{
  std::uint64_t mNonce{ 0 };
  Versions mVersions;
  /// How far the peer's own state may have been out of date when it received the query;
  /// absent if the peer cannot bound this.
  std::optional<timing::Duration> mStaleness;
};

/// Versions that a member acknowledged in its last reply.
struct Acknowledgement
{
  Versions mVersions;
  /// When the last query that the member replied to was sent.
  timing::Instant mQuerySentAt;
  /// When the first of its consecutive replies with these versions was received.
  timing::Instant mFirstReceivedAt;
};

/// Tracks the latest instant such that this process has adopted every change that was
/// accepted before it.
///
/// The instant is advanced by reads of the store, by replies of a quorum of the roster,
/// and by the freshness that a peer reports of itself. A reply with a version above the
/// adopted ones counts only once that version is adopted.
class FreshnessTracker
{
public:
  /// Records a read of all store records that began at aBegin. Call it after the records
  /// were adopted.
  void OnStoreRead(timing::Instant aBegin);

  /// Records a query that is about to be sent to the peer and returns its nonce. Expired
  /// queries and replies are erased.
  std::uint64_t RecordQuery(const Member& aPeer, timing::Instant aNow);

  /// Records a reply of the peer. A reply whose nonce belongs to no open query to this
  /// name and incarnation is ignored.
  void OnReply(const ids::ProcessId& aPeer,
               units::Incarnation aIncarnation,
               const PeerFreshness& aReply,
               timing::Instant aNow);

  /// Advances the instant according to the recorded replies. If aSelf is an elector, the
  /// adopted versions count as its reply to a query sent at aNow.
  void Evaluate(const Versions& aAdopted,
                const Roster& aRoster,
                const Member& aSelf,
                timing::Instant aNow);

  /// Returns the instant before which every accepted change is adopted, if there is any.
  std::optional<timing::Instant> FreshAsOf() const { return mFreshAsOf; }

  /// Returns true if the state is less than aMaxStaleness out of date.
  bool InTouch(timing::Instant aNow, timing::Duration aMaxStaleness) const;

  /// Returns the highest versions that peers reported.
  const Versions& HighestReported() const { return mHighestReported; }

  /// Returns true if a quorum acknowledged the required versions. This process counts
  /// with the versions aOwn.
  bool IsAcknowledged(const Roster& aRoster,
                      const Member& aSelf,
                      const Versions& aOwn,
                      const Versions& aRequired) const;

  /// Returns the last acknowledgement of a member, if there is an unexpired one.
  std::optional<Acknowledgement> LastAcknowledgement(const Member& aMember) const;

private:
  using MemberKey = std::pair<ids::ProcessId, units::Incarnation>;

  struct Query
  {
    MemberKey mPeer;
    timing::Instant mQuerySentAt;
  };

  /// Freshness reported by a peer, usable once the versions of that reply are adopted.
  struct RelayedFreshness
  {
    Versions mVersions;
    timing::Instant mFreshAsOf;
  };

  static MemberKey MemberKeyOf(const Member& aMember);
  void RaiseFreshAsOf(timing::Instant aFreshAsOf);

  std::optional<timing::Instant> mFreshAsOf;
  Versions mHighestReported;
  std::uint64_t mLastNonce{ 0 };
  std::map<std::uint64_t, Query> mQueries;
  std::map<MemberKey, Acknowledgement> mAcknowledgements;
  std::map<MemberKey, RelayedFreshness> mRelayed;
};

}

#endif

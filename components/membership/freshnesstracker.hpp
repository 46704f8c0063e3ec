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

/// Answer of a peer to a question about its evidence.
struct PeerFreshness
{
  std::uint64_t mNonce{ 0 };
  Versions mVersions;
  /// Age of the peer's own evidence when the question arrived; absent if it has none.
  std::optional<timing::Duration> mStaleness;
};

/// What an elector acknowledged in its last answer.
struct Acknowledgement
{
  Versions mVersions;
  /// When the last question was sent, and when the first answer with these versions
  /// arrived.
  timing::Instant mQuerySentAt;
  timing::Instant mFirstReceivedAt;
};

/// Keeps the instant before which this process knows every accepted change.
///
/// The instant comes from reads of the store, from answers of a quorum of the roster, and
/// from a peer's own evidence. An answer that states a version above the adopted ones
/// counts only after that version was adopted.
class FreshnessTracker
{
public:
  /// Notes a finished read of all records that began at aBegin, after adopting them.
  void OnStoreRead(timing::Instant aBegin);

  /// Notes a question to a peer and returns its nonce.
  std::uint64_t RecordQuery(const Member& aPeer, timing::Instant aNow);

  /// Takes an answer of the peer with the given name and incarnation.
  void OnReply(const ids::ProcessId& aPeer,
               units::Incarnation aIncarnation,
               const PeerFreshness& aReply,
               timing::Instant aNow);

  /// Counts answers against the adopted versions and roster. aSelf is this process if it
  /// is an elector: its own adopted versions count as an answer given now.
  void Evaluate(const Versions& aAdopted,
                const Roster& aRoster,
                const Member& aSelf,
                timing::Instant aNow);

  /// Returns the instant before which every accepted change is known, if there is any.
  std::optional<timing::Instant> FreshAsOf() const { return mFreshAsOf; }

  /// Returns true if the evidence is younger than the limit.
  bool InTouch(timing::Instant aNow, timing::Duration aLimit) const;

  /// Returns the highest versions that peers stated.
  const Versions& HighestReported() const { return mHighestReported; }

  /// Returns true if a quorum acknowledged the versions, the process itself included.
  bool IsAcknowledged(const Roster& aRoster,
                      const Member& aSelf,
                      const Versions& aOwn,
                      const Versions& aWanted) const;

  /// Returns the last acknowledgement of a member, if it gave one.
  std::optional<Acknowledgement> LastAcknowledgement(const Member& aMember) const;

private:
  using MemberKey = std::pair<ids::ProcessId, units::Incarnation>;

  struct Query
  {
    MemberKey mPeer;
    timing::Instant mQuerySentAt;
  };

  /// Evidence of a peer that waits for the adoption of the versions it stated.
  struct RelayedFreshness
  {
    Versions mVersions;
    timing::Instant mFreshAsOf;
  };

  static MemberKey KeyOf(const Member& aMember);
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

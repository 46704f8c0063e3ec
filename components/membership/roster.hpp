#ifndef SAMPHIRESAIL_COMPONENTS_MEMBERSHIP_ROSTER_HPP
#define SAMPHIRESAIL_COMPONENTS_MEMBERSHIP_ROSTER_HPP

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "components/ids/ids.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::membership {

/// Identity and location of an entry as in its entry record. A new incarnation of an
/// entry is another member.
struct Member
{
  ids::ProcessId mName;
  units::Incarnation mIncarnation;
  /// Address for messages between processes, host:port.
  std::string mAddress;
  ids::AvailabilityZoneId mAvailabilityZone;
  ids::VmId mVm;

  bool operator==(const Member&) const = default;
  bool IsSame(const Member& aOther) const
  {
    return mName == aOther.mName && mIncarnation == aOther.mIncarnation;
  }
};

/// Entries of which a majority must acknowledge a change. While the roster is not
/// accepted, a majority of the previous one is required as well, so that all quorums
/// intersect.
struct Roster
{
  units::Version mVersion;
  std::vector<Member> mMembers;
  std::vector<Member> mPrevious;
  bool mAccepted{ false };
};

using MemberPredicate = std::function<bool(const Member&)>;

/// Maximum number of members of a roster.
inline constexpr std::size_t kMaxMembers = 9;

/// Returns true if the predicate holds for more than half of the members.
bool HasMajority(const std::vector<Member>& aMembers, const MemberPredicate& aHolds);

/// Returns true if the predicate holds for a majority of the roster and, while the roster
/// is not accepted, for a majority of its predecessor.
bool HasQuorum(const Roster& aRoster, const MemberPredicate& aHolds);

/// Returns the members of the roster and, while it is not accepted, of its predecessor,
/// each once.
std::vector<Member> Electors(const Roster& aRoster);

/// Returns true if the list contains the member in the same incarnation.
bool Contains(const std::vector<Member>& aMembers, const Member& aMember);

/// Returns the next roster if the accepted one should change, by one member at a time: a
/// member for which aIsLive is false is removed unless it is the only one; a live entry
/// is added while there are fewer than kMaxMembers; otherwise a member of the
/// availability zone with the most members is removed if a live entry is in a zone with
/// at least two fewer.
std::optional<Roster> PlanRoster(const Roster& aCurrent,
                                 const std::vector<Member>& aEntries,
                                 const MemberPredicate& aIsLive);

/// Returns the roster marked as accepted, to be written once a quorum acknowledged it.
Roster AcceptedRoster(const Roster& aCurrent);

std::string EncodeRoster(const Roster& aRoster);

/// Returns nothing for a value that cannot be parsed as a roster record.
std::optional<Roster> DecodeRoster(std::string_view aValue);

std::string EncodeEntry(const Member& aMember);

/// Returns nothing for a value that cannot be parsed as an entry record.
std::optional<Member> DecodeEntry(std::string_view aValue);

}

#endif

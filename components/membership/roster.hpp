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

/// Entry as it announces itself; another incarnation is another member.
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

/// Entries whose majority acknowledges changes. While a roster is not accepted, a
/// majority of its predecessor is needed as well, so that all majorities intersect.
struct Roster
{
  units::Version mVersion;
  std::vector<Member> mMembers;
  std::vector<Member> mPrevious;
  bool mAccepted{ false };
};

using MemberPredicate = std::function<bool(const Member&)>;

/// Largest number of members of a roster.
inline constexpr std::size_t kMaxMembers = 9;

/// Returns true if the predicate holds for more than half of the members.
bool HasMajority(const std::vector<Member>& aMembers, const MemberPredicate& aHolds);

/// Returns true if the predicate holds for a majority of the roster and, while the roster
/// is not accepted, for a majority of its predecessor.
bool HasQuorum(const Roster& aRoster, const MemberPredicate& aHolds);

/// Returns all entries that a quorum may need, each once.
std::vector<Member> Electors(const Roster& aRoster);

bool Contains(const std::vector<Member>& aMembers, const Member& aMember);

/// Returns the next roster, which differs by one member, if the accepted roster should
/// change: a member that aIsLive does not confirm leaves, an entry joins while there is
/// room or where it evens out the availability zones.
std::optional<Roster> PlanRoster(const Roster& aCurrent,
                                 const std::vector<Member>& aEntries,
                                 const MemberPredicate& aIsLive);

/// Returns the roster with the accepted mark, to be written once it is acknowledged.
Roster AcceptedRoster(const Roster& aCurrent);

std::string EncodeRoster(const Roster& aRoster);

/// Returns nothing for a value that is not a roster record.
std::optional<Roster> DecodeRoster(std::string_view aValue);

std::string EncodeEntry(const Member& aMember);

/// Returns nothing for a value that is not an entry record.
std::optional<Member> DecodeEntry(std::string_view aValue);

}

#endif

#include "components/membership/roster.hpp"

#include <algorithm>
#include <iterator>
#include <map>

#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::membership {

namespace {

template<typename Message>
void Write(const Member& aMember, Message& aMessage)
{
  aMessage.set_name(aMember.mName.Str());
  aMessage.set_incarnation(aMember.mIncarnation.Count());
  aMessage.set_address(aMember.mAddress);
  aMessage.set_availability_zone(aMember.mAvailabilityZone.Str());
  aMessage.set_vm(aMember.mVm.Str());
}

template<typename Message>
Member Read(const Message& aMessage)
{
  return { ids::ProcessId(aMessage.name()),
           units::Incarnation(aMessage.incarnation()),
           aMessage.address(),
           ids::AvailabilityZoneId(aMessage.availability_zone()),
           ids::VmId(aMessage.vm()) };
}

template<typename List>
std::vector<Member> ReadMembers(const List& aList)
{
  std::vector<Member> members;
  std::ranges::transform(aList,
                         std::back_inserter(members),
                         [](const wire::RosterMember& aMember) { return Read(aMember); });
  return members;
}

using ZoneCounts = std::map<ids::AvailabilityZoneId, std::size_t>;

ZoneCounts CountMembersByZone(const std::vector<Member>& aMembers)
{
  ZoneCounts counts;
  for (const Member& member : aMembers) {
    ++counts[member.mAvailabilityZone];
  }
  return counts;
}

/// Returns the live entry outside the roster whose availability zone has the fewest
/// members, or null if there is none.
const Member* ChooseNewMember(const std::vector<Member>& aMembers,
                              const std::vector<Member>& aEntries,
                              const MemberPredicate& aIsLive,
                              ZoneCounts& aCounts)
{
  const Member* best = nullptr;
  for (const Member& entry : aEntries) {
    if (Contains(aMembers, entry) || !aIsLive(entry)) {
      continue;
    }
    if (best == nullptr ||
        aCounts[entry.mAvailabilityZone] < aCounts[best->mAvailabilityZone]) {
      best = &entry;
    }
  }
  return best;
}

Roster NextRoster(const Roster& aCurrent, std::vector<Member> aMembers)
{
  return {
    aCurrent.mVersion + units::Version(1), std::move(aMembers), aCurrent.mMembers, false
  };
}

Roster RosterWithout(const Roster& aCurrent, const Member& aMember)
{
  std::vector<Member> members = aCurrent.mMembers;
  std::erase_if(members, [&](const Member& aOther) { return aOther.IsSame(aMember); });
  return NextRoster(aCurrent, std::move(members));
}

}

bool HasMajority(const std::vector<Member>& aMembers, const MemberPredicate& aHolds)
{
  const auto count = std::ranges::count_if(aMembers, aHolds);
  return static_cast<std::size_t>(count) > aMembers.size() / 2;
}

bool HasQuorum(const Roster& aRoster, const MemberPredicate& aHolds)
{
#ifndef SAMPHIRESAIL_MUTANT_JOINT_QUORUM
  const bool previous = aRoster.mAccepted || HasMajority(aRoster.mPrevious, aHolds);
#else
  const bool previous = true;
#endif
  return previous && HasMajority(aRoster.mMembers, aHolds);
}

std::vector<Member> Electors(const Roster& aRoster)
{
  std::vector<Member> electors = aRoster.mMembers;
  if (!aRoster.mAccepted) {
    std::ranges::copy_if(
      aRoster.mPrevious, std::back_inserter(electors), [&](const Member& aMember) {
        return !Contains(aRoster.mMembers, aMember);
      });
  }
  return electors;
}

bool Contains(const std::vector<Member>& aMembers, const Member& aMember)
{
  return std::ranges::any_of(
    aMembers, [&](const Member& aOther) { return aOther.IsSame(aMember); });
}

std::optional<Roster> PlanRoster(const Roster& aCurrent,
                                 const std::vector<Member>& aEntries,
                                 const MemberPredicate& aIsLive)
{
  if (!aCurrent.mAccepted) {
    return std::nullopt;
  }
  const std::vector<Member>& members = aCurrent.mMembers;
  const auto ended = std::ranges::find_if_not(members, aIsLive);
  ZoneCounts counts = CountMembersByZone(members);
  const Member* candidate = ChooseNewMember(members, aEntries, aIsLive, counts);
  if (ended != members.end() && members.size() > 1) {
    return RosterWithout(aCurrent, *ended);
  }
  if (candidate == nullptr) {
    return std::nullopt;
  }
  if (members.size() < kMaxMembers) {
    std::vector<Member> next = members;
    next.push_back(*candidate);
    return NextRoster(aCurrent, std::move(next));
  }
  const auto surplus = std::ranges::max_element(members, {}, [&](const Member& aMember) {
    return counts[aMember.mAvailabilityZone];
  });
  if (counts[surplus->mAvailabilityZone] > counts[candidate->mAvailabilityZone] + 1) {
    return RosterWithout(aCurrent, *surplus);
  }
  return std::nullopt;
}

Roster AcceptedRoster(const Roster& aCurrent)
{
  return { aCurrent.mVersion + units::Version(1), aCurrent.mMembers, {}, true };
}

std::string EncodeRoster(const Roster& aRoster)
{
  wire::RosterRecord record;
  record.set_version(aRoster.mVersion.Count());
  for (const Member& member : aRoster.mMembers) {
    Write(member, *record.add_members());
  }
  for (const Member& member : aRoster.mPrevious) {
    Write(member, *record.add_previous());
  }
  record.set_accepted(aRoster.mAccepted);
  return record.SerializeAsString();
}

std::optional<Roster> DecodeRoster(std::string_view aValue)
{
  wire::RosterRecord record;
  if (!record.ParseFromArray(aValue.data(), static_cast<int>(aValue.size()))) {
    return std::nullopt;
  }
  return Roster{ units::Version(record.version()),
                 ReadMembers(record.members()),
                 ReadMembers(record.previous()),
                 record.accepted() };
}

std::string EncodeEntry(const Member& aMember)
{
  wire::EntryRecord record;
  Write(aMember, record);
  return record.SerializeAsString();
}

std::optional<Member> DecodeEntry(std::string_view aValue)
{
  wire::EntryRecord record;
  if (!record.ParseFromArray(aValue.data(), static_cast<int>(aValue.size()))) {
    return std::nullopt;
  }
  return Read(record);
}

}

#ifndef SAMPHIRESAIL_APPS_TESTS_ENTRY_ACCEPTANCE_HPP
#define SAMPHIRESAIL_APPS_TESTS_ENTRY_ACCEPTANCE_HPP

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "apps/tests/entry/fleet.hpp"

namespace samphiresail::tests {

/// Observer with true time: notes when a version became accepted, that is written and
/// acknowledged by a quorum of the roster in the store, and whether an entry serves
/// without knowing a change that was accepted before its evidence.
class Acceptance
{
public:
  explicit Acceptance(Fleet& aFleet);

  /// To be called after each step.
  void Observe();

  /// Returns the highest configuration that was accepted before an instant.
  units::Version AcceptedBefore(timing::Instant aInstant) const;

  /// Returns the violations seen, in words.
  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  void NoteAccepted();
  void CheckNode(std::size_t aNode);

  Fleet& mFleet;
  std::map<std::pair<ids::ProcessId, units::Incarnation>, membership::Versions> mHeld;
  std::map<timing::Instant, membership::Versions> mAccepted;
  std::vector<std::string> mViolations;
};

}

#endif

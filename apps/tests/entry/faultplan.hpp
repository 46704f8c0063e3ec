#ifndef SAMPHIRESAIL_APPS_TESTS_ENTRY_FAULTPLAN_HPP
#define SAMPHIRESAIL_APPS_TESTS_ENTRY_FAULTPLAN_HPP

#include <functional>
#include <map>

#include "apps/tests/entry/fleet.hpp"

namespace samphiresail::tests {

/// Brings seeded faults over a fleet, alone and in pairs, for limited times.
class FaultPlan
{
public:
  explicit FaultPlan(Fleet& aFleet);

  /// To be called at each step.
  void Step();

  /// Ends all faults and brings stopped entries back.
  void End();

private:
  void Begin();
  void BeginFault();
  void BeginNodeFault(int aKind, std::size_t aNode, timing::Duration aTime);
  void BeginFleetFault(int aKind, timing::Duration aTime);
  int Draw(int aFrom, int aTo);
  void After(timing::Duration aTime, std::function<void()> aEvent);

  Fleet& mFleet;
  timing::Instant mNext;
  std::multimap<timing::Instant, std::function<void()>> mEnds;
};

}

#endif

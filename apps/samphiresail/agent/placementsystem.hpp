#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_PLACEMENTSYSTEM_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_PLACEMENTSYSTEM_HPP

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "apps/samphiresail/agent/agentstate.hpp"
#include "apps/samphiresail/agent/intentlog.hpp"

namespace samphiresail::agent {

/// Carries out orders of the planner to load and unload models, one at a time: makes
/// room, reserves, records the intent in the store, sends the order, and replies when it
/// ended.
class PlacementSystem
{
public:
  /// Takes a function that tells whether a model has requests queued or in flight.
  PlacementSystem(AgentState& aState, std::function<bool(const ids::ModelId&)> aIsBusy);

  void OnPlacement(const Route& aRoute,
                   const wire::Placement& aPlacement,
                   timing::Instant aNow);
  void OnStore(const StoreAnswer& aAnswer, timing::Instant aNow);
  void OnOrder(const OrderAnswer& aAnswer, timing::Instant aNow);
  void OnResidents(const ResidentAnswer& aAnswer, timing::Instant aNow);
  void Tick(timing::Instant aNow);

private:
  enum class Step
  {
    Idle,
    Recording,
    Ordered,
    AwaitingRoom,
  };

  /// Order of the planner.
  struct Job
  {
    std::string mId;
    Route mRoute;
    ledger::Order mOrder;
    timing::Instant mDeadline;
    /// True if the next job needs this one, the load of its base model.
    bool mIsBase{ false };
  };

  struct Ended
  {
    std::string mId;
    bool mAccepted{ false };
    std::string mReason;
  };

  std::optional<std::string> CheckPlacement(const wire::Placement& aPlacement) const;
  Job MakeJob(const Route& aRoute,
              const wire::Placement& aPlacement,
              timing::Instant aNow) const;
  bool Repeat(const Route& aRoute, const std::string& aId);
  void Advance(timing::Instant aNow);
  void PlanLoad(timing::Instant aNow);
  void PlanUnload(timing::Instant aNow);
  void MakeRoom(timing::Instant aNow);
  void Order(ledger::Order aOrder, timing::Instant aNow);
  void Abandon();
  std::optional<ids::ModelId> PickVictim() const;
  bool MayUnload(const ids::ModelId& aModel) const;
  bool IsBaseInUse(const ids::ModelId& aModel) const;
  void End(bool aAccepted, std::string aReason);
  void Reply(const Route& aRoute, const Ended& aEnded);
  void QueryResidents(timing::Instant aNow);
  void NoteLoading();
  units::Bytes MemoryOf(const ids::ModelId& aModel) const;

  AgentState& mState;
  std::function<bool(const ids::ModelId&)> mIsBusy;
  IntentLog mIntents;
  std::deque<Job> mJobs;
  Step mStep{ Step::Idle };
  /// Order that is being recorded or carried out for the first job.
  ledger::Order mOrder;
  std::deque<Ended> mEnded;
  timing::Instant mResidentsAskedAt;
  bool mHasResidents{ false };
};

}

#endif

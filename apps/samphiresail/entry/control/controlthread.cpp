#include "apps/samphiresail/entry/control/controlthread.hpp"

#include <future>
#include <utility>
#include <variant>

#include <caf/all.hpp>

#include "apps/samphiresail/entry/control/entrycore.hpp"
#include "apps/samphiresail/entry/placement/placementsystem.hpp"
#include "components/concurrency/serialworker.hpp"

namespace samphiresail::entry {

struct PeerArrived
{
  std::string mRoute;
  wire::Envelope mEnvelope;
};

/// Report of an agent, or its answer to a placement order.
struct AgentArrived
{
  wire::Envelope mEnvelope;
  timing::Instant mAskedAt;
};

/// Which part of the control state a call of the store belongs to.
enum class StoreCaller
{
  Core,
  Placement,
};

struct StoreAnswered
{
  StoreCaller mCaller{ StoreCaller::Core };
  std::uint64_t mId{ 0 };
  store::StoreReply mReply;
};

struct VmsListed
{
  std::vector<membership::ListedVm> mList;
};

struct TickDue
{};

struct CreditWanted
{};

struct HandOverRequested
{};

struct LeaveRequested
{};

/// Input of the control thread.
struct ControlInput
{
  std::variant<PeerArrived,
               AgentArrived,
               StoreAnswered,
               VmsListed,
               TickDue,
               CreditWanted,
               HandOverRequested,
               LeaveRequested>
    mItem;
};

}

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(samphiresail::entry::ControlInput)

namespace samphiresail::entry {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 20 };

caf::actor_system_config& ConfigureActors(caf::actor_system_config& aConfig)
{
  // Only the detached control actor runs; the scheduler stays idle.
  aConfig.set("scheduler.max-threads", 1);
  return aConfig;
}

}

class ControlThread::Loop
{
public:
  Loop(ControlSettings aSettings,
       limits::CreditPool& aPool,
       const timing::Clock& aClock,
       ControlPorts aPorts)
    : mClock(aClock)
    , mPorts(std::move(aPorts))
    , mPlacement(aSettings.mSelf.mName.Str() + "-" +
                 std::to_string(aSettings.mSelf.mIncarnation.Count()))
    , mCore(std::move(aSettings), aPool)
    , mSystem(ConfigureActors(mActorConfig))
    , mActor(mSystem.spawn<caf::detached>(
        [this](caf::event_based_actor* aSelf) { return Behave(aSelf); }))
  {
  }

  ~Loop()
  {
    caf::anon_send_exit(mActor, caf::exit_reason::user_shutdown);
    mSystem.await_all_actors_done();
    // The actor hands calls to the worker until its end.
    mStore.reset();
  }

  template<typename Item>
  void Post(Item aItem)
  {
    caf::anon_send(mActor, ControlInput{ std::move(aItem) });
  }

  void WaitForHandOver(std::chrono::milliseconds aTimeout)
  {
    mHandedOver.get_future().wait_for(aTimeout);
  }

  void WaitForLeave(std::chrono::milliseconds aTimeout)
  {
    mLeft.get_future().wait_for(aTimeout);
  }

private:
  caf::behavior Behave(caf::event_based_actor* aSelf)
  {
    aSelf->delayed_send(aSelf, kTickInterval, ControlInput{ TickDue{} });
    return { [this, aSelf](ControlInput& aInput) {
      if (std::holds_alternative<TickDue>(aInput.mItem)) {
        aSelf->delayed_send(aSelf, kTickInterval, ControlInput{ TickDue{} });
      }
      PerformAll(std::visit([this](auto& aItem) { return Handle(aItem); }, aInput.mItem));
      PerformAll(mPlacement.Take());
    } };
  }

  Actions Handle(const PeerArrived& aItem)
  {
    return mCore.OnPeer(aItem.mRoute, aItem.mEnvelope, mClock.Now());
  }
  Actions Handle(const AgentArrived& aItem)
  {
    if (aItem.mEnvelope.has_load_report()) {
      mPlacement.OnReport(aItem.mEnvelope.load_report(), aItem.mAskedAt, mClock.Now());
    } else if (aItem.mEnvelope.has_placement_reply()) {
      mPlacement.OnPlacementReply(aItem.mEnvelope.placement_reply(), mClock.Now());
    }
    return {};
  }
  Actions Handle(const StoreAnswered& aItem)
  {
    if (aItem.mCaller == StoreCaller::Placement) {
      mPlacement.OnStoreReply(aItem.mId, aItem.mReply);
      return {};
    }
    return mCore.OnStoreReply(aItem.mId, aItem.mReply, mClock.Now());
  }
  Actions Handle(const VmsListed& aItem)
  {
    return mCore.OnVms(aItem.mList, mClock.Now());
  }
  Actions Handle(const TickDue&)
  {
    const timing::Instant now = mClock.Now();
    const ControlState& state = mCore.State();
    mPlacement.Tick(mSnapshot, state.InTouch(now) && state.IsPlanner(now), now);
    mPlacement.OnWanted(mPorts.mWanted(), now);
    return mCore.Tick(now);
  }
  Actions Handle(const CreditWanted&) { return mCore.OnDemand(mClock.Now()); }
  Actions Handle(const HandOverRequested&) { return mCore.BeginStop(mClock.Now()); }
  Actions Handle(const LeaveRequested&) { return mCore.Leave(mClock.Now()); }

  template<typename Items>
  void PerformAll(Items aItems)
  {
    for (auto& action : aItems) {
      std::visit([this](auto& aItem) { Perform(aItem); }, action);
    }
  }

  void CallStore(StoreCaller aCaller, std::uint64_t aId, store::StoreRequest aRequest)
  {
    mStore->Post([this, aCaller, aId, request = std::move(aRequest)] {
      Post(StoreAnswered{ aCaller, aId, mPorts.mExecute(request) });
    });
  }

  void Perform(SendToPeer& aItem) { mPorts.mSend(std::move(aItem)); }
  void Perform(ReplyToPeer& aItem) { mPorts.mReply(std::move(aItem)); }
  void Perform(StoreCall& aItem)
  {
    CallStore(StoreCaller::Core, aItem.mId, std::move(aItem.mRequest));
  }
  void Perform(PlacementStoreCall& aItem)
  {
    CallStore(StoreCaller::Placement, aItem.mId, std::move(aItem.mRequest));
  }
  void Perform(const AskPermit& aItem)
  {
    PerformAll(mCore.RequestPermit(aItem.mId, mClock.Now()));
  }
  void Perform(const GiveBackPermit& aItem)
  {
    PerformAll(mCore.ReleasePermit(aItem.mPermit, mClock.Now()));
  }
  void Perform(SendOrder& aItem)
  {
    SendToPeer message{ .mAddress = aItem.mAddress };
    *message.mEnvelope.mutable_placement() = std::move(aItem.mPlacement);
    mPorts.mSend(std::move(message));
  }
  void Perform(const NotePlacement& aItem)
  {
    mPorts.mNote(
      { .mKind = aItem.mKind, .mDetail = aItem.mEndpoint + " " + aItem.mDetail });
  }
  void Perform(const PublishSnapshot& aItem)
  {
    mSnapshot = aItem.mSnapshot;
    mPorts.mPublish(aItem.mSnapshot);
  }
  void Perform(const PublishEvidence& aItem) { mPorts.mEvidence(aItem.mSince); }
  /// The traffic threads look up the key of each running answer in the published
  /// snapshot.
  void Perform(const WithdrawKeys&) {}
  void Perform(const AnswerPermit& aItem)
  {
    mPlacement.OnPermit(aItem.mId, aItem.mAnswer, mClock.Now());
  }
  void Perform(const HandOverDone&) { mHandedOver.set_value(); }
  void Perform(const LeaveDone&) { mLeft.set_value(); }
  void Perform(const NoteEvent& aItem) { mPorts.mNote(aItem); }

  const timing::Clock& mClock;
  ControlPorts mPorts;
  PlacementSystem mPlacement;
  EntryCore mCore;
  std::shared_ptr<const ControlSnapshot> mSnapshot;
  std::promise<void> mHandedOver;
  std::promise<void> mLeft;
  std::unique_ptr<concurrency::SerialWorker> mStore{
    std::make_unique<concurrency::SerialWorker>()
  };
  caf::actor_system_config mActorConfig;
  caf::actor_system mSystem;
  caf::actor mActor;
};

ControlThread::ControlThread(ControlSettings aSettings,
                             limits::CreditPool& aPool,
                             const timing::Clock& aClock,
                             ControlPorts aPorts)
  : mLoop(std::make_unique<Loop>(std::move(aSettings), aPool, aClock, std::move(aPorts)))
{
}

ControlThread::~ControlThread() = default;

void ControlThread::OnPeer(std::string aRoute, wire::Envelope aEnvelope)
{
  mLoop->Post(PeerArrived{ std::move(aRoute), std::move(aEnvelope) });
}

void ControlThread::OnDemand()
{
  mLoop->Post(CreditWanted{});
}

void ControlThread::OnAgent(wire::Envelope aEnvelope, timing::Instant aAskedAt)
{
  mLoop->Post(AgentArrived{ std::move(aEnvelope), aAskedAt });
}

void ControlThread::OnVms(std::vector<membership::ListedVm> aList)
{
  mLoop->Post(VmsListed{ std::move(aList) });
}

void ControlThread::HandOver(std::chrono::milliseconds aTimeout)
{
  mLoop->Post(HandOverRequested{});
  mLoop->WaitForHandOver(aTimeout);
}

void ControlThread::Leave(std::chrono::milliseconds aTimeout)
{
  mLoop->Post(LeaveRequested{});
  mLoop->WaitForLeave(aTimeout);
}

}

#include "apps/samphiresail/entry/control/controlthread.hpp"

#include <future>
#include <utility>
#include <variant>

#include <caf/all.hpp>

#include "apps/samphiresail/entry/control/entrycore.hpp"
#include "components/concurrency/serialworker.hpp"

namespace samphiresail::entry {

struct PeerArrived
{
  std::string mRoute;
  wire::Envelope mEnvelope;
};

struct StoreAnswered
{
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
    , mCore(std::move(aSettings), aPool)
    , mSystem(ConfigureActors(mActorConfig))
    , mActor(mSystem.spawn<caf::detached>(
        [this](caf::event_based_actor* aSelf) { return Behave(aSelf); }))
  {
  }

  ~Loop()
  {
    mStore.reset();
    caf::anon_send_exit(mActor, caf::exit_reason::user_shutdown);
    mSystem.await_all_actors_done();
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
      Actions actions =
        std::visit([this](auto& aItem) { return Handle(aItem); }, aInput.mItem);
      for (Action& action : actions) {
        std::visit([this](auto& aItem) { Perform(aItem); }, action);
      }
    } };
  }

  Actions Handle(const PeerArrived& aItem)
  {
    return mCore.OnPeer(aItem.mRoute, aItem.mEnvelope, mClock.Now());
  }
  Actions Handle(const StoreAnswered& aItem)
  {
    return mCore.OnStoreReply(aItem.mId, aItem.mReply, mClock.Now());
  }
  Actions Handle(const VmsListed& aItem)
  {
    return mCore.OnVms(aItem.mList, mClock.Now());
  }
  Actions Handle(const TickDue&) { return mCore.Tick(mClock.Now()); }
  Actions Handle(const CreditWanted&) { return mCore.OnDemand(mClock.Now()); }
  Actions Handle(const HandOverRequested&) { return mCore.BeginStop(mClock.Now()); }
  Actions Handle(const LeaveRequested&) { return mCore.Leave(mClock.Now()); }

  void Perform(SendToPeer& aItem) { mPorts.mSend(std::move(aItem)); }
  void Perform(ReplyToPeer& aItem) { mPorts.mReply(std::move(aItem)); }
  void Perform(StoreCall& aItem)
  {
    mStore->Post([this, call = std::move(aItem)] {
      Post(StoreAnswered{ call.mId, mPorts.mExecute(call.mRequest) });
    });
  }
  void Perform(const PublishSnapshot& aItem) { mPorts.mPublish(aItem.mSnapshot); }
  void Perform(const PublishEvidence& aItem) { mPorts.mEvidence(aItem.mSince); }
  /// The traffic threads look up the key of each running answer in the published
  /// snapshot.
  void Perform(const WithdrawKeys&) {}
  void Perform(const AnswerPermit&) {}
  void Perform(const HandOverDone&) { mHandedOver.set_value(); }
  void Perform(const LeaveDone&) { mLeft.set_value(); }
  void Perform(const NoteEvent& aItem) { mPorts.mNote(aItem); }

  const timing::Clock& mClock;
  ControlPorts mPorts;
  EntryCore mCore;
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

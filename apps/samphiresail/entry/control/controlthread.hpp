#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_CONTROLTHREAD_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_CONTROLTHREAD_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "apps/samphiresail/entry/control/actions.hpp"
#include "apps/samphiresail/entry/control/controlstate.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::limits {
class CreditPool;
}

namespace samphiresail::entry {

/// What the control thread does to the rest of the process. All functions are called from
/// the control thread and must not block, except for the store's, which a worker thread
/// calls.
struct ControlPorts
{
  std::function<void(SendToPeer)> mSend;
  std::function<void(ReplyToPeer)> mReply;
  std::function<store::StoreReply(const store::StoreRequest&)> mExecute;
  std::function<void(std::shared_ptr<const ControlSnapshot>)> mPublish;
  std::function<void(timing::Instant)> mEvidence;
  /// Models that requests wait for since the last call.
  std::function<std::vector<ids::ModelId>()> mWanted;
  std::function<void(const NoteEvent&)> mNote;
};

/// Runs the control core on one detached actor.
class ControlThread
{
public:
  ControlThread(ControlSettings aSettings,
                limits::CreditPool& aPool,
                const timing::Clock& aClock,
                ControlPorts aPorts);
  ~ControlThread();

  /// The functions below may be called from any thread; they only queue the input.
  void OnPeer(std::string aRoute, wire::Envelope aEnvelope);
  void OnDemand();
  /// Takes an agent's report or its answer to a placement order. aAskedAt is when the
  /// probe was sent that a report answers.
  void OnAgent(wire::Envelope aEnvelope, timing::Instant aAskedAt);
  void OnVms(std::vector<membership::ListedVm> aList);

  /// Hands the shares over and waits until that is done, or for the timeout.
  void HandOver(std::chrono::milliseconds aTimeout);

  /// Leaves the records of the store and waits until that is done, or for the timeout.
  void Leave(std::chrono::milliseconds aTimeout);

private:
  class Loop;
  std::unique_ptr<Loop> mLoop;
};

}

#endif

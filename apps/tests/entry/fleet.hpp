#ifndef SAMPHIRESAIL_APPS_TESTS_ENTRY_FLEET_HPP
#define SAMPHIRESAIL_APPS_TESTS_ENTRY_FLEET_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "apps/samphiresail/entry/control/entrycore.hpp"
#include "apps/tests/support/faultycarrier.hpp"
#include "apps/tests/support/memorystore.hpp"

namespace samphiresail::tests {

/// Entry in a Fleet with what its traffic threads would hold.
struct Node
{
  membership::Member mMember;
  std::unique_ptr<limits::CreditPool> mPool;
  std::unique_ptr<entry::EntryCore> mCore;
  std::shared_ptr<const entry::ControlSnapshot> mSnapshot;
  std::optional<timing::Instant> mEvidence;
  timing::Instant mLastTick;
  bool mAlive{ false };
  bool mStoreCut{ false };
  bool mHandOverDone{ false };
  bool mLeaveDone{ false };
};

/// Several control cores on one faulty carrier and one store, under injected time.
class Fleet
{
public:
  explicit Fleet(std::uint64_t aSeed, std::size_t aNodes = 3);

  static constexpr timing::Duration kStep{ std::chrono::milliseconds(5) };
  static constexpr timing::Duration kInTouch{ std::chrono::milliseconds(2500) };
  static constexpr timing::Duration kGrantLife{ std::chrono::milliseconds(2000) };

  void Step();
  void Run(timing::Duration aTime, const std::function<void()>& aEachStep = {});

  void Start(std::size_t aNode);
  void Kill(std::size_t aNode);
  void Freeze(std::size_t aNode, bool aFrozen);
  bool IsFrozen(std::size_t aNode) const;
  /// Takes the VM from the platform's list, and its node with it.
  void ReplaceVm(std::size_t aNode);
  void Isolate(std::size_t aNode);
  /// Loses all calls of one node to the store while set.
  void CutStore(std::size_t aNode, bool aCut) { mNodes[aNode].mStoreCut = aCut; }
  void MendAll();

  /// Runs a call of the control core and carries its actions.
  void Apply(std::size_t aNode, const entry::Actions& aActions);

  /// Returns true if the traffic threads of the node would serve a request now.
  bool Serves(std::size_t aNode) const;
  bool ServesKey(std::size_t aNode, const std::string& aKey) const;
  bool RoutesTo(std::size_t aNode, const std::string& aEndpoint) const;

  /// Changes the configuration as an operator does, by compare-and-swap. Returns false if
  /// it was not written as far as the operator knows.
  bool Change(const std::function<void(catalogue::Configuration&)>& aChange);
  catalogue::Configuration StoredConfiguration();

  timing::Instant Now() const { return mClock.Now(); }
  std::vector<Node>& Nodes() { return mNodes; }
  MemoryStore& Store() { return mStore; }
  FaultyCarrier<wire::Envelope>& Carrier() { return mCarrier; }
  std::mt19937_64& Random() { return mRandom; }
  void SetStoreSlow(bool aSlow) { mStoreSlow = aSlow; }
  void SetListDown(bool aDown) { mListDown = aDown; }

private:
  void Deliver();
  void Carry(std::size_t aNode, const entry::StoreCall& aCall);
  void FinishCall(std::size_t aNode,
                  units::Incarnation aIncarnation,
                  std::uint64_t aId,
                  const store::StoreReply& aReply);
  void At(timing::Instant aWhen, std::function<void()> aEvent);
  std::size_t IndexOf(const std::string& aName) const;

  timing::ManualClock mClock;
  std::mt19937_64 mRandom;
  MemoryStore mStore;
  FaultyCarrier<wire::Envelope> mCarrier;
  std::vector<Node> mNodes;
  std::multimap<timing::Instant, std::function<void()>> mEvents;
  timing::Instant mLastList;
  std::uint64_t mLastIncarnation{ 0 };
  int mLastVm{ 0 };
  bool mStoreSlow{ false };
  bool mListDown{ false };
};

}

#endif

#ifndef SAMPHIRESAIL_APPS_LOAD_CAPACITY_COREFLEET_HPP
#define SAMPHIRESAIL_APPS_LOAD_CAPACITY_COREFLEET_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "apps/load/trials/eventqueue.hpp"
#include "apps/samphiresail/entry/control/entrycore.hpp"
#include "apps/tests/support/memorystore.hpp"

namespace samphiresail::load {

struct FleetSize
{
  std::size_t mEntries{ 3 };
  std::size_t mAgents{ 15 };
  std::size_t mModels{ 25 };
  std::size_t mZones{ 3 };
  std::size_t mAccounts{ 20 };
  /// Requests per second of the whole fleet; each charges 300 tokens.
  double mRequests{ 0.0 };
};

/// Control figures of one entry per second: the mean and the entry with the most.
struct ControlFigures
{
  double mMeanCpu{ 0.0 };
  double mMostCpu{ 0.0 };
  double mMeanMessages{ 0.0 };
  double mMostMessages{ 0.0 };
  double mMeanBytes{ 0.0 };
  double mMostBytes{ 0.0 };
  double mStoreReads{ 0.0 };
  double mStoreWrites{ 0.0 };
  std::size_t mConfigurationBytes{ 0 };
  /// From the write of a change until the last entry has adopted it.
  double mChangeSeconds{ 0.0 };
  /// Longest time that one call of a core took, in microseconds of processor time.
  double mLongestCallUs{ 0.0 };
};

/// Control cores of entries on a store and a carrier without faults, under injected time.
/// Processor time is that of the calls of the cores alone; bytes are those of the
/// serialized envelopes, sent and received.
class CoreFleet
{
public:
  explicit CoreFleet(const FleetSize& aSize);
  ~CoreFleet();

  /// Runs until the fleet is steady and then for the time, and returns the figures.
  ControlFigures Measure(std::chrono::seconds aSettle, std::chrono::seconds aTime);

private:
  struct Node;

  void WriteFirstRecords();
  void StartNode(std::size_t aNumber);
  void Tick(Node& aNode);
  void ListVms();
  void Demand();
  void Apply(Node& aNode, const entry::Actions& aActions);
  void Deliver(Node& aFrom, const std::string& aTo, const wire::Envelope& aEnvelope);
  void Carry(Node& aNode, const entry::StoreCall& aCall);
  double MeasureChange();
  void Reset();

  template<typename Call>
  void Run(Node& aNode, Call aCall);

  class EventClock;

  FleetSize mSize;
  EventQueue mEvents;
  std::unique_ptr<EventClock> mClock;
  tests::MemoryStore mStore;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::uint64_t mReads{ 0 };
  std::uint64_t mWrites{ 0 };
  std::uint64_t mDemanded{ 0 };
  double mLongestCall{ 0.0 };
};

}

#endif

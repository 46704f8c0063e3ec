#ifndef SAMPHIRESAIL_APPS_TESTS_AGENT_FAKEENGINE_HPP
#define SAMPHIRESAIL_APPS_TESTS_AGENT_FAKEENGINE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "components/ids/ids.hpp"
#include "components/ledger/order.hpp"
#include "components/timing/clock.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::tests {

/// Engine whose true state the tests observe: memory, calls in flight, and every run.
class FakeEngine
{
public:
  FakeEngine(units::Bytes aCapacity, bool aChecksFencing)
    : mCapacity(aCapacity)
    , mChecksFencing(aChecksFencing)
  {
  }

  /// Takes an order as it arrives. Returns false if it is refused for its number.
  bool Begin(const ledger::Order& aOrder)
  {
    if (mChecksFencing && aOrder.mFencing < mFencing) {
      return false;
    }
    mFencing = std::max(mFencing, aOrder.mFencing);
    if (aOrder.mAction == ledger::OrderAction::Load) {
      mModels.try_emplace(aOrder.mModel, aOrder.mMemory, false);
      mPeak = std::max(mPeak, Used());
      mLoads += 1;
    } else {
      mModels.erase(aOrder.mModel);
    }
    return true;
  }

  /// Ends a load that began.
  void End(const ledger::Order& aOrder)
  {
    const auto it = mModels.find(aOrder.mModel);
    if (aOrder.mAction == ledger::OrderAction::Load && it != mModels.end()) {
      it->second.second = true;
    }
  }

  std::vector<ids::ModelId> Residents() const
  {
    std::vector<ids::ModelId> models;
    for (const auto& [model, state] : mModels) {
      if (state.second) {
        models.push_back(model);
      }
    }
    return models;
  }

  void Put(const ids::ModelId& aModel, units::Bytes aMemory)
  {
    mModels[aModel] = { aMemory, true };
  }

  units::Bytes Used() const
  {
    units::Bytes used;
    for (const auto& [model, state] : mModels) {
      used += state.first;
    }
    return used;
  }

  /// Ends the process and starts another: nothing is resident and the start is cold.
  void Restart(timing::Instant aColdUntil)
  {
    mModels.clear();
    mRunning.clear();
    mColdUntil = aColdUntil;
    ++mGeneration;
  }

  bool IsCold(timing::Instant aNow) const { return aNow < mColdUntil; }
  std::uint64_t Generation() const { return mGeneration; }

  void BeginCall(const ids::AttemptId& aAttempt, const std::string& aBody)
  {
    ++mRuns[aAttempt];
    ++mRunsByBody[aBody];
    mRunning[aAttempt] = mGeneration;
  }
  bool IsRunning(const ids::AttemptId& aAttempt) const
  {
    return mRunning.contains(aAttempt);
  }
  void EndCall(const ids::AttemptId& aAttempt) { mRunning.erase(aAttempt); }
  std::vector<ids::AttemptId> Running() const
  {
    std::vector<ids::AttemptId> attempts;
    for (const auto& [attempt, generation] : mRunning) {
      attempts.push_back(attempt);
    }
    return attempts;
  }
  std::size_t InFlight() const { return mRunning.size(); }

  int Runs(const ids::AttemptId& aAttempt) const
  {
    const auto it = mRuns.find(aAttempt);
    return it == mRuns.end() ? 0 : it->second;
  }
  const std::map<std::string, int>& RunsByBody() const { return mRunsByBody; }

  units::Bytes Capacity() const { return mCapacity; }
  units::Bytes Peak() const { return mPeak; }
  int Loads() const { return mLoads; }

private:
  units::Bytes mCapacity;
  bool mChecksFencing;
  units::FencingNumber mFencing;
  /// Memory of each model and whether its load has ended.
  std::map<ids::ModelId, std::pair<units::Bytes, bool>> mModels;
  units::Bytes mPeak;
  int mLoads{ 0 };
  timing::Instant mColdUntil;
  std::uint64_t mGeneration{ 1 };
  std::map<ids::AttemptId, std::uint64_t> mRunning;
  std::map<ids::AttemptId, int> mRuns;
  std::map<std::string, int> mRunsByBody;
};

}

#endif

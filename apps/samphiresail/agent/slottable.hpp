#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_SLOTTABLE_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_SLOTTABLE_HPP

#include <cstdint>
#include <unordered_map>

#include "components/attempts/attempt.hpp"

namespace samphiresail::agent {

/// Counts the attempts that the back end has in flight, by model and by class.
class SlotTable
{
public:
  void Take(const attempts::Attempt& aAttempt) { Add(aAttempt, 1); }
  void Release(const attempts::Attempt& aAttempt) { Add(aAttempt, -1); }

  std::uint32_t InFlight() const { return static_cast<std::uint32_t>(mTotal); }
  std::uint32_t BatchInFlight() const { return static_cast<std::uint32_t>(mBatch); }
  std::uint32_t InFlight(const ids::ModelId& aModel) const
  {
    const auto it = mByModel.find(aModel);
    return it == mByModel.end() ? 0 : static_cast<std::uint32_t>(it->second);
  }

private:
  void Add(const attempts::Attempt& aAttempt, int aStep)
  {
    mTotal += aStep;
    if (aAttempt.mClass == catalogue::RequestClass::Batch) {
      mBatch += aStep;
    }
    const auto it = mByModel.try_emplace(aAttempt.mModel, 0).first;
    it->second += aStep;
    if (it->second == 0) {
      mByModel.erase(it);
    }
  }

  int mTotal{ 0 };
  int mBatch{ 0 };
  std::unordered_map<ids::ModelId, int> mByModel;
};

}

#endif

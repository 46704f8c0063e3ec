#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_LOADONDEMAND_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_LOADONDEMAND_HPP

#include <map>
#include <mutex>
#include <vector>

#include "components/ids/ids.hpp"

namespace samphiresail::entry {

/// Models that requests wait for because no endpoint holds them. The traffic threads ask;
/// the control thread takes the questions and has the models loaded.
class LoadOnDemand
{
public:
  void Request(const ids::ModelId& aModel)
  {
    const std::lock_guard lock(mMutex);
    ++mWanted[aModel];
  }

  /// Returns the models asked for since the last call.
  std::vector<ids::ModelId> Take()
  {
    const std::lock_guard lock(mMutex);
    std::vector<ids::ModelId> models;
    for (const auto& [model, count] : mWanted) {
      models.push_back(model);
    }
    mWanted.clear();
    return models;
  }

private:
  std::mutex mMutex;
  std::map<ids::ModelId, int> mWanted;
};

}

#endif

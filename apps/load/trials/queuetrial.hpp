#ifndef SAMPHIRESAIL_APPS_LOAD_TRIALS_QUEUETRIAL_HPP
#define SAMPHIRESAIL_APPS_LOAD_TRIALS_QUEUETRIAL_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "components/catalogue/catalogue.hpp"

namespace samphiresail::load {

enum class QueuePolicy
{
  Fair,
  FirstInFirstOut,
};

struct QueueTrialOptions
{
  std::uint64_t mSeed{ 1 };
  QueuePolicy mPolicy{ QueuePolicy::Fair };
  /// Offered work of the well-behaved accounts over the capacity.
  double mLoad{ 0.8 };
  /// Factor by which the account "federation" exceeds its part of that load.
  double mExcess{ 1.0 };
  /// Offered work of the batch class over the capacity, on top.
  double mBatch{ 0.2 };
  int mSeconds{ 300 };
};

struct Attained
{
  std::size_t mRequests{ 0 };
  std::size_t mInTime{ 0 };

  double Share() const
  {
    return mRequests == 0 ? 1.0
                          : static_cast<double>(mInTime) / static_cast<double>(mRequests);
  }
};

struct QueueTrialResult
{
  std::map<catalogue::RequestClass, Attained> mByClass;
  /// Without batch; the account that sends in excess is "federation".
  std::map<std::string, Attained> mByAccount;
};

/// Runs the queue of one endpoint with 32 slots.
QueueTrialResult RunQueueTrial(const QueueTrialOptions& aOptions);

}

#endif

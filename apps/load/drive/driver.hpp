#ifndef SAMPHIRESAIL_APPS_LOAD_DRIVE_DRIVER_HPP
#define SAMPHIRESAIL_APPS_LOAD_DRIVE_DRIVER_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "apps/load/drive/workload.hpp"

namespace samphiresail::load {

/// Entry with the weight that the balancer would give it.
struct Target
{
  std::string mHost;
  std::uint16_t mPort{ 0 };
  unsigned mWeight{ 1 };
};

struct DriverOptions
{
  std::vector<Target> mTargets;
  /// Key of each client account.
  std::map<std::string, std::string> mKeys;
  std::size_t mThreads{ 256 };
  std::uint64_t mSeed{ 1 };
};

enum class Outcome
{
  /// Answered whole.
  Answered,
  /// Refused with status 429.
  RateRefused,
  /// Refused otherwise with a statement that nothing ran.
  NotRun,
  /// Failed otherwise.
  Failed,
};

struct Measured
{
  Outcome mOutcome{ Outcome::Failed };
  int mStatus{ 0 };
  /// From the planned instant, so that a late start counts.
  double mFirstMs{ 0.0 };
  double mTotalMs{ 0.0 };
  std::size_t mTokens{ 0 };
  /// Start of the answer of a failed request.
  std::string mError;
};

/// Sends the plan open-loop and returns a measurement for each request, in its order.
std::vector<Measured> Drive(const std::vector<PlannedRequest>& aPlan,
                            const DriverOptions& aOptions);

}

#endif

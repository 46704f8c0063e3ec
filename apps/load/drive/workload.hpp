#ifndef SAMPHIRESAIL_APPS_LOAD_DRIVE_WORKLOAD_HPP
#define SAMPHIRESAIL_APPS_LOAD_DRIVE_WORKLOAD_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "components/catalogue/catalogue.hpp"

namespace samphiresail::load {

/// What the scenario changes of the steady demand.
enum class Demand
{
  Steady,
  /// The intensity alternates, and each model's demand moves tenfold.
  Burst,
  /// The first account that is not urgent sends five times its part.
  Overload,
  /// A queue of batch requests arrives in the first tenth of the run.
  BatchNight,
};

struct WorkloadOptions
{
  std::uint64_t mSeed{ 1 };
  Demand mDemand{ Demand::Steady };
  /// Requests per second of all accounts, calls of plain services included.
  double mPerSecond{ 40.0 };
  std::chrono::seconds mDuration{ 30 };
  std::size_t mPromptWords{ 60 };
  std::size_t mOutputTokens{ 24 };
};

/// One request of the open-loop plan.
struct PlannedRequest
{
  std::chrono::microseconds mAt{ 0 };
  std::string mAccount;
  catalogue::RequestClass mClass{ catalogue::RequestClass::Streamed };
  /// Empty for a call of a plain service.
  std::string mModel;
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  std::string mIdempotencyKey;
  bool mStream{ false };
  /// Repeats the action of an earlier request with the same key.
  bool mRepeated{ false };
  /// Beyond the account's part in the scenario of the overload.
  bool mExcess{ false };
};

/// Draws the plan in the order of time; the same options give the same plan.
std::vector<PlannedRequest> PlanWorkload(const catalogue::Catalogue& aCatalogue,
                                         const WorkloadOptions& aOptions);

}

#endif

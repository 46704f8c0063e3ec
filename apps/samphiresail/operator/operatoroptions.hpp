#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_OPERATOROPTIONS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_OPERATOROPTIONS_HPP

#include <chrono>
#include <memory>
#include <string>

#include "components/settings/processsettings.hpp"

namespace CLI {
class App;
}

namespace samphiresail::operators {

/// Options of the commands that speak to the store and to the processes.
struct OperatorOptions
{
  std::string mStoreUrl;
  std::int64_t mStoreTimeoutMs{ 2000 };
  /// Longest wait for a change to be accepted.
  std::int64_t mAcceptTimeoutMs{ 7000 };
  settings::CurveSettings mCurve;

  std::chrono::milliseconds StoreTimeout() const
  {
    return std::chrono::milliseconds(mStoreTimeoutMs);
  }
  std::chrono::milliseconds AcceptTimeout() const
  {
    return std::chrono::milliseconds(mAcceptTimeoutMs);
  }
};

/// Adds the options to a command; the returned object is filled when the command line is
/// parsed.
std::shared_ptr<OperatorOptions> AddOperatorOptions(CLI::App& aCommand);

}

#endif

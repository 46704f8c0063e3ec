#ifndef SAMPHIRESAIL_COMPONENTS_DUTIES_USAGEPORT_HPP
#define SAMPHIRESAIL_COMPONENTS_DUTIES_USAGEPORT_HPP

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "components/duties/usagereporter.hpp"

namespace samphiresail::duties {

/// The platform's interface for reports of usage.
class UsagePort
{
public:
  virtual ~UsagePort() = default;

  /// Returns the body of a window's report.
  virtual std::string Encode(Window aWindow, const UsageCounts& aCounts) const = 0;
  /// Returns the sum of the counts in a body; none if it cannot be read.
  virtual std::optional<std::uint64_t> SumIn(const std::string& aBody) const = 0;
  /// Sends a report under a fencing token.
  virtual boost::asio::awaitable<ReportOutcome> Send(std::string aBody,
                                                     std::int64_t aToken) = 0;
};

}

#endif

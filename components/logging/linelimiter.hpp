#ifndef SAMPHIRESAIL_COMPONENTS_LOGGING_LINELIMITER_HPP
#define SAMPHIRESAIL_COMPONENTS_LOGGING_LINELIMITER_HPP

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "components/timing/clock.hpp"

namespace samphiresail::logging {

/// Bounds the log lines of one kind that are written in any second, and counts those that
/// are left out by their reason.
class LineLimiter
{
public:
  static constexpr timing::Duration kWindow = std::chrono::seconds(1);

  using Counts = std::map<std::string, std::size_t, std::less<>>;

  /// Returns true if a line may be written now, with at most aMax in any second.
  /// Otherwise it counts as left out.
  bool Allow(std::string_view aReason, std::size_t aMax, timing::Instant aNow);

  /// Returns what was left out, once a second has passed since the first of it; else
  /// nothing.
  Counts TakeLeftOut(timing::Instant aNow);

private:
  /// When the lines of the last second were written.
  std::deque<timing::Instant> mWritten;
  Counts mLeftOut;
  timing::Instant mFirstLeftOut{};
};

}

#endif

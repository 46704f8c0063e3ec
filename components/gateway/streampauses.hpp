#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_STREAMPAUSES_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_STREAMPAUSES_HPP

#include <optional>
#include <string_view>

#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Where a pause between two events of a stream arose.
enum class PauseCause
{
  Endpoint,
  /// This entry read or wrote late.
  EntryBehind,
  /// The event before was not taken by the caller.
  CallerNotReading,
  /// The stream went on at another attempt.
  ResumedElsewhere,
};

/// Returns the cause as it stands in log lines and metrics.
std::string_view Name(PauseCause aCause);

/// Finds the longest pause between two events of a stream and where it arose.
class StreamPauses
{
public:
  /// Records that events were read. aBeginsAttempt says whether they are the first of an
  /// attempt, aLag how far the entry was behind since the events before.
  void OnEvents(timing::Instant aNow, bool aBeginsAttempt, timing::Duration aLag);
  /// Records that the events were written to the caller.
  void OnWritten(timing::Instant aNow) { mWritten = aNow; }

  /// The longest pause; 0 if there were no two events.
  timing::Duration Longest() const { return mLongest; }
  PauseCause Cause() const { return mCause; }

private:
  std::optional<timing::Instant> mRead;
  timing::Instant mWritten{};
  timing::Duration mLongest{ 0 };
  PauseCause mCause{ PauseCause::Endpoint };
};

}

#endif

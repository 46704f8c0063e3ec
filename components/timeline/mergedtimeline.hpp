#ifndef SAMPHIRESAIL_COMPONENTS_TIMELINE_MERGEDTIMELINE_HPP
#define SAMPHIRESAIL_COMPONENTS_TIMELINE_MERGEDTIMELINE_HPP

#include <string>
#include <vector>

#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::timeline {

/// Merges the events of many processes into one line, ordered by Lamport stamp, then wall
/// time, then process: an event stands after all that caused it. An event that arrived
/// twice stands once. Events later than aToWallUs are left out; 0 for no bound.
std::vector<wire::TimelineEvent> MergeEvents(
  const std::vector<wire::TimelineReply>& aReplies,
  std::int64_t aToWallUs = 0);

/// Returns one aligned line of text for each event.
std::string FormatText(const std::vector<wire::TimelineEvent>& aEvents);

/// Returns one JSON object on a line for each event.
std::string FormatJsonLines(const std::vector<wire::TimelineEvent>& aEvents);

/// Returns a wall time in microseconds as UTC, such as 2026-01-31T12:00:00.000001Z.
std::string FormatWallTime(std::int64_t aWallUs);

}

#endif

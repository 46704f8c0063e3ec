#include "components/timeline/mergedtimeline.hpp"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <sstream>
#include <tuple>

#include <nlohmann/json.hpp>

namespace samphiresail::timeline {

namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

bool Before(const wire::TimelineEvent& aLeft, const wire::TimelineEvent& aRight)
{
  return std::tuple(
           aLeft.stamp(), aLeft.wall_us(), aLeft.process(), aLeft.incarnation()) <
         std::tuple(
           aRight.stamp(), aRight.wall_us(), aRight.process(), aRight.incarnation());
}

/// A process gives each stamp to one event.
bool Same(const wire::TimelineEvent& aLeft, const wire::TimelineEvent& aRight)
{
  return aLeft.stamp() == aRight.stamp() && aLeft.process() == aRight.process() &&
         aLeft.incarnation() == aRight.incarnation();
}

std::string Labelled(const char* aLabel, const std::string& aValue)
{
  return aValue.empty() ? std::string() : std::string(" ") + aLabel + "=" + aValue;
}

std::size_t WidestProcess(const std::vector<wire::TimelineEvent>& aEvents)
{
  const auto size = [](const wire::TimelineEvent& aEvent) {
    return aEvent.process().size();
  };
  const auto it = std::ranges::max_element(aEvents, {}, size);
  return it == aEvents.end() ? 0 : size(*it);
}

}

std::vector<wire::TimelineEvent> MergeEvents(
  const std::vector<wire::TimelineReply>& aReplies,
  std::int64_t aToWallUs)
{
  std::vector<wire::TimelineEvent> events;
  for (const wire::TimelineReply& reply : aReplies) {
    std::ranges::copy_if(
      reply.events(), std::back_inserter(events), [&](const wire::TimelineEvent& aEvent) {
        return aToWallUs == 0 || aEvent.wall_us() <= aToWallUs;
      });
  }
  std::ranges::sort(events, Before);
  events.erase(std::unique(events.begin(), events.end(), Same), events.end());
  return events;
}

std::string FormatWallTime(std::int64_t aWallUs)
{
  const std::time_t seconds = aWallUs / kMicrosecondsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S.") << std::setw(6) << std::setfill('0')
       << aWallUs % kMicrosecondsPerSecond << 'Z';
  return text.str();
}

std::string FormatText(const std::vector<wire::TimelineEvent>& aEvents)
{
  const auto width = static_cast<int>(WidestProcess(aEvents));
  std::ostringstream text;
  for (const wire::TimelineEvent& event : aEvents) {
    text << std::right << std::setw(8) << event.stamp() << "  "
         << FormatWallTime(event.wall_us()) << "  " << std::left << std::setw(width)
         << event.process() << "  " << event.kind()
         << Labelled("request", event.request_id())
         << Labelled("account", event.client_account())
         << Labelled("endpoint", event.endpoint()) << Labelled("detail", event.detail())
         << '\n';
  }
  return text.str();
}

std::string FormatJsonLines(const std::vector<wire::TimelineEvent>& aEvents)
{
  std::string text;
  for (const wire::TimelineEvent& event : aEvents) {
    const nlohmann::ordered_json line{ { "stamp", event.stamp() },
                                       { "wall_us", event.wall_us() },
                                       { "process", event.process() },
                                       { "incarnation", event.incarnation() },
                                       { "kind", event.kind() },
                                       { "request", event.request_id() },
                                       { "account", event.client_account() },
                                       { "endpoint", event.endpoint() },
                                       { "detail", event.detail() } };
    text +=
      line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
  }
  return text;
}

}

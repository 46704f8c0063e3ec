#include <catch2/catch.hpp>

#include "components/timeline/mergedtimeline.hpp"
#include "components/timeline/timelinepicture.hpp"

namespace {

using namespace samphiresail;

wire::TimelineEvent MakeEvent(const std::string& aProcess,
                              std::uint64_t aStamp,
                              std::int64_t aWallUs,
                              const std::string& aKind)
{
  wire::TimelineEvent event;
  event.set_process(aProcess);
  event.set_stamp(aStamp);
  event.set_wall_us(aWallUs);
  event.set_kind(aKind);
  return event;
}

wire::TimelineReply MakeReply(const std::vector<wire::TimelineEvent>& aEvents)
{
  wire::TimelineReply reply;
  reply.mutable_events()->Add(aEvents.begin(), aEvents.end());
  return reply;
}

}

TEST_CASE("merged time line follows causes before clocks")
{
  // The clock of the agent is behind that of the entry.
  const wire::TimelineReply entry = MakeReply(
    { MakeEvent("entry", 1, 9'000, "receive"), MakeEvent("entry", 4, 9'500, "answer") });
  const wire::TimelineReply agent = MakeReply(
    { MakeEvent("agent", 2, 1'000, "start"), MakeEvent("agent", 4, 1'500, "idle") });
  const auto events = timeline::MergeEvents({ entry, agent, entry });
  REQUIRE(events.size() == 4);
  CHECK(events.at(0).kind() == "receive");
  CHECK(events.at(1).kind() == "start");
  CHECK(events.at(2).kind() == "idle");
  CHECK(events.at(3).kind() == "answer");
  CHECK(timeline::MergeEvents({ entry, agent }, 2'000).size() == 2);
}

TEST_CASE("time line is written as text, JSON lines and picture")
{
  wire::TimelineEvent event = MakeEvent("entry", 7, 1'000'001, "refuse");
  event.set_request_id("r1");
  event.set_detail("<rate & burst>");
  CHECK(timeline::FormatText({ event }) ==
        "       7  1970-01-01T00:00:01.000001Z  entry  refuse request=r1 "
        "detail=<rate & burst>\n");
  const std::string json = timeline::FormatJsonLines({ event, event });
  CHECK(std::ranges::count(json, '\n') == 2);
  CHECK(json.find(R"("request":"r1")") != std::string::npos);

  const std::string svg =
    timeline::RenderSvg({ event, MakeEvent("agent", 8, 1'000'002, "x") });
  CHECK(svg.find("&lt;rate &amp; burst&gt;") != std::string::npos);
  CHECK(svg.find("<rate") == std::string::npos);
  CHECK(svg.find(">agent</text>") != std::string::npos);
  CHECK(timeline::RenderHtml({}).find("</html>") != std::string::npos);
}

#include <catch2/catch.hpp>

#include "components/gateway/eventsplitter.hpp"

using samphiresail::gateway::EventSplitter;

TEST_CASE("events: only complete events are returned", "[gateway]")
{
  EventSplitter splitter;
  CHECK(splitter.Feed("id: 1\ndata: a\n").empty());
  CHECK(splitter.Partial());
  CHECK(splitter.Feed("\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(splitter.LastId() == "1");
  CHECK(splitter.Feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(splitter.LastId() == "2");
  CHECK_FALSE(splitter.Partial());
}

TEST_CASE("events: a restart discards the incomplete event and keeps the last identifier",
          "[gateway]")
{
  EventSplitter splitter;
  splitter.Feed("id: 7\ndata: a\n\nid: 8\nda");
  splitter.Restart();
  CHECK_FALSE(splitter.Partial());
  CHECK(splitter.LastId() == "7");
  CHECK(splitter.Feed("id: 8\ndata: b\n\n") == "id: 8\ndata: b\n\n");
}

TEST_CASE("events: an identifier inside of data is ignored", "[gateway]")
{
  EventSplitter splitter;
  splitter.Feed("id: 3\r\ndata: id: 9\r\n\r\n");
  CHECK(splitter.LastId() == "3");
}

// Guards against wrong counts of events when several arrive at once or one in parts.
TEST_CASE("events: they are counted, however they arrive", "[gateway]")
{
  EventSplitter splitter;
  splitter.Feed("id: 1\ndata: a\n\ndata: b\r\n\r\nda");
  CHECK(splitter.Count() == 2);
  splitter.Feed("ta: c\n");
  CHECK(splitter.Count() == 2);
  splitter.Feed("\n");
  CHECK(splitter.Count() == 3);
  splitter.Restart();
  CHECK(splitter.Count() == 0);
}

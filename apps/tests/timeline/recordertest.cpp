#include <thread>

#include <catch2/catch.hpp>

#include "components/credentials/key.hpp"
#include "components/timeline/recorder.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace {

using namespace samphiresail;

timeline::Recorder MakeRecorder(const timing::Clock& aClock, std::size_t aCapacity)
{
  return { ids::ProcessId("e1"), units::Incarnation(3), aClock, aCapacity };
}

}

TEST_CASE("recorder keeps the latest events and filters them")
{
  timing::ManualClock clock;
  timeline::Recorder recorder = MakeRecorder(clock, 3);
  recorder.Record("a", { .mRequest = "r1" });
  recorder.Record("b", { .mRequest = "r1", .mAccount = "north" });
  clock.Advance(std::chrono::seconds(1));
  recorder.Record("c", { .mRequest = "r2", .mEndpoint = "p1" });
  recorder.Record("d", { .mRequest = "r1", .mDetail = "x" });

  wire::TimelineRequest request;
  request.set_nonce(9);
  wire::TimelineReply reply = recorder.Answer(request);
  CHECK(reply.nonce() == 9);
  REQUIRE(reply.events_size() == 3);
  CHECK(reply.events(0).kind() == "b");
  CHECK(reply.events(2).kind() == "d");
  CHECK(reply.events(0).process() == "e1");
  CHECK(reply.events(0).incarnation() == 3);

  request.set_request_id("r1");
  CHECK(recorder.Answer(request).events_size() == 2);
  request.set_client_account("north");
  CHECK(recorder.Answer(request).events(0).kind() == "b");
  request.Clear();
  request.set_endpoint("p1");
  CHECK(recorder.Answer(request).events(0).kind() == "c");
  request.Clear();
  request.set_limit(1);
  CHECK(recorder.Answer(request).events(0).kind() == "d");
  request.Clear();
  request.set_from_wall_us(reply.events(1).wall_us());
  CHECK(recorder.Answer(request).events_size() == 2);
}

TEST_CASE("an event is stamped above all that caused it")
{
  const timing::ManualClock clock;
  timeline::Recorder sender = MakeRecorder(clock, 10);
  timeline::Recorder receiver = MakeRecorder(clock, 10);
  for (int i = 0; i < 5; ++i) {
    sender.Record("work");
  }
  const std::uint64_t sent = sender.Record("send");
  receiver.Observe(sent);
  receiver.Observe(1);
  CHECK(receiver.Record("receive") > sent);
}

TEST_CASE("recorder is safe from many threads")
{
  const timing::ManualClock clock;
  timeline::Recorder recorder = MakeRecorder(clock, 1000);
  {
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
      threads.emplace_back([&] {
        for (int n = 0; n < 200; ++n) {
          recorder.Record("work");
        }
      });
    }
  }
  const wire::TimelineReply reply = recorder.Answer({});
  REQUIRE(reply.events_size() == 800);
  CHECK(reply.events(0).stamp() == 1);
  CHECK(reply.events(799).stamp() == 800);
}

TEST_CASE("keys: no event on the time line holds a key", "[must-hold]")
{
  const timing::ManualClock clock;
  timeline::Recorder recorder = MakeRecorder(clock, 2);
  const std::string key = credentials::GenerateKey();
  recorder.Record("refuse", { .mDetail = "Bearer " + key });
  CHECK(recorder.Answer({}).events(0).detail() == "Bearer [key]");
}

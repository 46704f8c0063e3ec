#include <catch2/catch.hpp>

#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "platform/enginecalls.hpp"
#include "platform/store.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using frontend::testing::ScriptedEndpoint;
using store::StoreOutcome;

namespace {

/// Far longer than a response on the loopback address takes.
constexpr auto kLongTimeout = 20s;
constexpr auto kShortTimeout = 50ms;
constexpr platform::CallLimits kLongLimits{ kLongTimeout,
                                            kLongTimeout,
                                            kLongTimeout,
                                            1U << 20U };

std::string JsonResponse(unsigned aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

struct Fixture
{
  template<typename T>
  T Await(frontend::asio::awaitable<T> aCall)
  {
    std::optional<T> result;
    frontend::asio::co_spawn(
      mIo,
      [&]() -> frontend::asio::awaitable<void> { result = co_await std::move(aCall); },
      frontend::asio::detached);
    while (!result) {
      mIo.run_one();
    }
    return std::move(*result);
  }

  store::StoreReply Write(std::chrono::milliseconds aLimit = kLongTimeout)
  {
    store::StoreRequest request =
      store::TransactionRequest{ { { "k", 7 } }, { store::PutOperation{ "k", "v", 3 } } };
    return Await(mStore.Execute(std::move(request), aLimit));
  }

  frontend::asio::io_context mIo{ 1 };
  ScriptedEndpoint mServer{ mIo };
  timing::ManualClock mClock;
  platform::HttpClient mClient{ mIo, mClock };
  settings::SocketAddress mAddress{ "127.0.0.1", mServer.Port() };
  platform::PlatformStore mStore{ mClient, mAddress };
};

}

TEST_CASE_METHOD(Fixture, "store: a write sends its condition and lease", "[platform]")
{
  mServer.AddScript({ JsonResponse(200, R"({"revision":12})") });
  const store::StoreReply reply = Write();
  CHECK(reply.mOutcome == StoreOutcome::Answered);
  CHECK(reply.mSucceeded);
  CHECK(reply.mRevision == 12);
  const std::string& sent = mServer.Requests().at(0);
  CHECK(sent.starts_with("POST /kv-txn "));
  CHECK(sent.find(R"("precondition":[{"key":"k","revision":7}])") != std::string::npos);
  CHECK(sent.find(R"("lease":3)") != std::string::npos);
  CHECK(sent.find(R"("value":"dg==")") != std::string::npos);
}

TEST_CASE_METHOD(Fixture,
                 "store: a failed condition returns the current record",
                 "[platform]")
{
  mServer.AddScript({ JsonResponse(
    412,
    R"({"items":[{"key":"k","value":"dw==","revision":9,"createRev":5,"lease":4}]})") });
  const store::StoreReply reply = Write();
  CHECK(reply.mOutcome == StoreOutcome::Answered);
  CHECK_FALSE(reply.mSucceeded);
  REQUIRE(reply.mRecords.size() == 1);
  CHECK(reply.mRecords[0].mValue == "w");
  CHECK(reply.mRecords[0].mCreateRevision == 5);
}

TEST_CASE_METHOD(Fixture,
                 "store: the outcome is unknown only if the write may have taken effect",
                 "[platform]")
{
  SECTION("a busy store has not written")
  {
    mServer.AddScript({ JsonResponse(GENERATE(429U, 503U), "") });
    CHECK(Write().mOutcome == StoreOutcome::NotSent);
  }
  SECTION("a lost response")
  {
    mServer.AddScript({ "", true });
    CHECK(Write().mOutcome == StoreOutcome::Unknown);
  }
  SECTION("a silent store: the call ends at the timeout")
  {
    mServer.AddScript({ "", false, true });
    CHECK(Write(kShortTimeout).mOutcome == StoreOutcome::Unknown);
  }
  SECTION("a malformed response")
  {
    mServer.AddScript({ JsonResponse(200, "{") });
    CHECK(Write().mOutcome == StoreOutcome::Unknown);
  }
  SECTION("a truncated response without a length")
  {
    ScriptedEndpoint::Script script{ "HTTP/1.1 200 OK\r\n\r\n{\"revision\":13}" };
    script.mResetAfterEnd = std::chrono::milliseconds(0);
    mServer.AddScript(script);
    CHECK(Write().mOutcome == StoreOutcome::Unknown);
  }
  SECTION("a malformed status, which does not say that nothing was written")
  {
    const std::string status = GENERATE("000", "099", "600", "999");
    mServer.AddScript({ "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\n{}" });
    CHECK(Write().mOutcome == StoreOutcome::Unknown);
  }
}

TEST_CASE_METHOD(Fixture,
                 "store: a call after a lost response receives its own response",
                 "[platform]")
{
  mServer.AddScript({ "", false, true });
  CHECK(Write(kShortTimeout).mOutcome == StoreOutcome::Unknown);
  mServer.AddScript({ JsonResponse(200, R"({"revision":13})") });
  CHECK(Write().mRevision == 13);
}

TEST_CASE_METHOD(Fixture,
                 "store: connections that went silent together cost one call only",
                 "[platform]")
{
  for (int i = 0; i < 2; ++i) {
    mServer.AddScript({ JsonResponse(200, R"({"revision":13})") });
  }
  const auto both = [this]() -> frontend::asio::awaitable<bool> {
    int answered = 0;
    for (int i = 0; i < 2; ++i) {
      frontend::asio::co_spawn(
        mIo,
        [&]() -> frontend::asio::awaitable<void> {
          store::StoreRequest request = store::LeaseKeepAliveRequest{ 5 };
          co_await mStore.Execute(std::move(request), kLongTimeout);
          ++answered;
        },
        frontend::asio::detached);
    }
    while (answered < 2) {
      co_await frontend::asio::post(mIo, frontend::asio::use_awaitable);
    }
    co_return true;
  };
  CHECK(Await(both()));
  CHECK(mServer.Connections() == 2);
  mServer.AddScript({ "", false, true });
  CHECK(Write(kShortTimeout).mOutcome == StoreOutcome::Unknown);
  mServer.AddScript({ JsonResponse(200, R"({"revision":14})") });
  CHECK(Write().mRevision == 14);
  CHECK(mServer.Connections() == 3);
}

TEST_CASE_METHOD(Fixture,
                 "store: a connection that was idle for long carries no call",
                 "[platform]")
{
  const auto write = [this] {
    mServer.AddScript({ JsonResponse(200, R"({"revision":13})") });
    CHECK(Write().mSucceeded);
  };
  write();
  mClock.Advance(1s);
  write();
  CHECK(mServer.Connections() == 1);
  mClock.Advance(10s);
  write();
  CHECK(mServer.Connections() == 2);
}

TEST_CASE_METHOD(Fixture,
                 "store: an answer without a length is whole only with its body",
                 "[platform]")
{
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  SECTION("of a write")
  {
    const std::string body = R"({"revision":12})";
    for (std::size_t n = 0; n < body.size(); ++n) {
      INFO(n << " of " << body.size());
      mServer.AddScript({ head + body.substr(0, n), true });
      CHECK(Write().mOutcome == StoreOutcome::Unknown);
    }
    mServer.AddScript({ head + body, true });
    const store::StoreReply reply = Write();
    CHECK(reply.mOutcome == StoreOutcome::Answered);
    CHECK(reply.mRevision == 12);
  }
  SECTION("of a page and of a watch")
  {
    const bool page = GENERATE(true, false);
    const std::string list = page ? "items" : "events";
    const std::string body =
      R"({")" + list + R"(":[{"key":"a","revision":3}],"storeRevision":9})";
    const auto read = [&] {
      return Await(page ? mStore.ReadPage("", kLongLimits)
                        : mStore.Watch(7, 1ms, kLongLimits));
    };
    for (std::size_t n = 0; n < body.size(); ++n) {
      INFO(n << " of " << body.size());
      mServer.AddScript({ head + body.substr(0, n), true });
      CHECK(read().mOutcome != platform::StoreReading::Outcome::Answered);
    }
    mServer.AddScript({ head + body, true });
    CHECK(read().mOutcome == platform::StoreReading::Outcome::Answered);
  }
}

TEST_CASE_METHOD(Fixture, "store: pages and changes are decoded", "[platform]")
{
  mServer.AddScript({ JsonResponse(
    200,
    R"({"items":[{"key":"a b","value":"eA==","revision":2}],"truncated":true,)"
    R"("storeRevision":8})") });
  const auto page = Await(mStore.ReadPage("a/1", kLongLimits));
  CHECK(page.mOutcome == platform::StoreReading::Outcome::Answered);
  CHECK(page.mTruncated);
  CHECK(page.mRevision == 8);
  CHECK(page.mEvents.at(0).mRecord.mValue == "x");
  CHECK(mServer.Requests().at(0).find("after=a%2F1") != std::string::npos);

  mServer.AddScript({ JsonResponse(
    200,
    R"({"events":[{"key":"a b","revision":9,"tombstone":true}],"storeRevision":9})") });
  const auto changes = Await(mStore.Watch(8, 10ms, kLongLimits));
  CHECK(changes.mEvents.at(0).mDeleted);
  CHECK(changes.mRevision == 9);
}

TEST_CASE_METHOD(Fixture,
                 "store: a watch distinguishes lost history from failure",
                 "[platform]")
{
  using Outcome = platform::StoreReading::Outcome;
  mServer.AddScript({ JsonResponse(410, "") });
  CHECK(Await(mStore.Watch(8, 10ms, kLongLimits)).mOutcome == Outcome::HistoryLost);
  mServer.AddScript({ JsonResponse(503, "") });
  CHECK(Await(mStore.Watch(8, 10ms, kLongLimits)).mOutcome == Outcome::Failed);
  const char* malformed = GENERATE(R"({"events":5,"storeRevision":9})",
                                   R"({"storeRevision":9})",
                                   R"({"events":[]})",
                                   R"({"events":[],"storeRevision":"9"})",
                                   R"({"events":[],"storeRevision":-1})",
                                   R"({"events":[],"storeRevision":1e300})",
                                   R"({"events":[{"key":5}],"storeRevision":)");
  mServer.AddScript({ JsonResponse(200, malformed) });
  CHECK(Await(mStore.Watch(8, 10ms, kLongLimits)).mOutcome == Outcome::Failed);
}

TEST_CASE_METHOD(Fixture,
                 "store: an odd item of the current records does not lose the answer",
                 "[platform]")
{
  mServer.AddScript({ JsonResponse(
    412,
    R"({"items":[5,{"key":7},{"key":"k","value":"dw==","revision":9,"createRev":5}]})") });
  const store::StoreReply reply = Write();
  CHECK(reply.mOutcome == StoreOutcome::Answered);
  REQUIRE(reply.mRecords.size() == 1);
  CHECK(reply.mRecords[0].mModRevision == 9);
}

TEST_CASE_METHOD(Fixture,
                 "engine calls: an order carries its endpoint, token and precondition",
                 "[platform]")
{
  platform::EngineCalls calls(mClient, ids::ProcessId("entry-1"), [](const auto&) {});
  gateway::EndpointReport endpoint;
  endpoint.mId = ids::EndpointId("e1");
  endpoint.mAddress = mAddress;
  const gateway::EngineAction action{
    endpoint.mId,
    gateway::EngineOrder{ gateway::OrderKind::Load, ids::ModelId("m"), "a1" },
    4
  };
  const auto [status, outcome] =
    GENERATE(std::pair(202U, gateway::OrderOutcome::Accepted),
             std::pair(200U, gateway::OrderOutcome::AlreadyInState),
             std::pair(409U, gateway::OrderOutcome::Conflict),
             std::pair(412U, gateway::OrderOutcome::Fenced),
             std::pair(421U, gateway::OrderOutcome::Rejected));
  mServer.AddScript({ JsonResponse(status, "") });
  CHECK(Await(calls.Order(endpoint, action, 41)) == outcome);
  const std::string& sent = mServer.Requests().at(0);
  CHECK(sent.find("Expect-Instance: e1") != std::string::npos);
  CHECK(sent.find(R"("fencingToken":41)") != std::string::npos);
  CHECK(sent.find(R"("precondition":4)") != std::string::npos);
}

TEST_CASE_METHOD(Fixture,
                 "engine calls: an order without a response has an unknown outcome",
                 "[platform]")
{
  platform::EngineCalls calls(mClient, ids::ProcessId("entry-1"), [](const auto&) {});
  gateway::EndpointReport endpoint;
  endpoint.mAddress = mAddress;
  mServer.AddScript({ "", true });
  const gateway::EngineAction action{ endpoint.mId, gateway::EngineOrder{}, 0 };
  CHECK(Await(calls.Order(endpoint, action, 41)) == gateway::OrderOutcome::Unknown);
  mServer.AddScript({ JsonResponse(200, "no report") });
  CHECK_FALSE(Await(calls.Report(endpoint)));
}

TEST_CASE_METHOD(
  Fixture,
  "engine calls: an endpoint that says it is leaving in any response is noted",
  "[platform]")
{
  std::vector<std::int64_t> leaving;
  platform::EngineCalls calls(mClient, ids::ProcessId("entry-1"), [&](const auto& aFrom) {
    leaving.push_back(aFrom.mIncarnation);
  });
  gateway::EndpointReport endpoint;
  endpoint.mAddress = mAddress;
  endpoint.mIncarnation = 7;
  const gateway::EngineAction action{ endpoint.mId, gateway::EngineOrder{}, 0 };
  const std::string head = "HTTP/1.1 409 Conflict\r\nServer-Leaving: ";
  mServer.AddScript({ head + "1\r\nContent-Length: 0\r\n\r\n" });
  Await(calls.Order(endpoint, action, 41));
  CHECK(leaving == std::vector<std::int64_t>{ 7 });
  mServer.AddScript({ head + "1\r\nContent-Length: 0\r\n\r\n" });
  Await(calls.Report(endpoint));
  CHECK(leaving.size() == 2);
  mServer.AddScript({ head + "0\r\nContent-Length: 0\r\n\r\n" });
  mServer.AddScript({ JsonResponse(200, "{}") });
  Await(calls.Report(endpoint));
  Await(calls.Order(endpoint, action, 41));
  CHECK(leaving.size() == 2);
}

TEST_CASE_METHOD(Fixture,
                 "store: a write across a restore of the store has no known outcome",
                 "[platform]")
{
  const auto response = [](int aGeneration) {
    return "HTTP/1.1 200 X\r\nStore-Era: " + std::to_string(aGeneration) +
           "\r\nContent-Length: 15\r\n\r\n{\"revision\":12}";
  };
  for (const int generation : { 1, 2, 2 }) {
    mServer.AddScript({ response(generation) });
  }
  int restores = 0;
  mStore.SetRestoreHandler([&restores] { ++restores; });
  CHECK(Write().mSucceeded);
  // Its condition was one on revisions that are given out again.
  const store::StoreReply across = Write();
  CHECK(across.mOutcome == StoreOutcome::Unknown);
  CHECK_FALSE(across.mSucceeded);
  CHECK(restores == 1);
  CHECK(mStore.Generation() == 2);
  CHECK(Write().mSucceeded);
  CHECK(restores == 1);
}

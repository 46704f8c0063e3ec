#include <future>
#include <thread>
#include <utility>

#include <catch2/catch.hpp>

#include "apps/samphiresail/agent/backendcalls.hpp"
#include "apps/samphiresail/agent/backendcontrol.hpp"
#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/support/responseheads.hpp"

using namespace samphiresail;
using frontend::testing::ScriptedEndpoint;

namespace {

const std::string kStatus000 = "HTTP/1.1 000 OK\r\n";

std::string WithBody(const std::string& aHead, const std::string& aBody)
{
  return aHead + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// A back end on a thread of its own that answers one call.
class Backend
{
public:
  explicit Backend(const ScriptedEndpoint::Script& aScript)
  {
    mServer.AddScript(aScript);
    mThread = std::thread([this] { mIo.run(); });
  }
  ~Backend()
  {
    mIo.stop();
    mThread.join();
  }
  std::string Url() const { return "http://127.0.0.1:" + std::to_string(mServer.Port()); }

private:
  boost::asio::io_context mIo{ 1 };
  ScriptedEndpoint mServer{ mIo };
  std::thread mThread;
};

/// Returns the event of the type to which a question leads.
template<typename Event>
Event Ask(const std::string& aBytes,
          const std::function<void(agent::BackendControl&)>& aQuestion)
{
  const Backend backend({ aBytes, true });
  const timing::SystemClock clock;
  std::promise<agent::BackendEvent> event;
  agent::BackendControl control(backend.Url(), clock, [&](agent::BackendEvent aEvent) {
    event.set_value(std::move(aEvent));
  });
  aQuestion(control);
  return std::get<Event>(event.get_future().get());
}

agent::BackendState Health(const std::string& aBytes)
{
  return Ask<agent::HealthAnswer>(aBytes, [](auto& aControl) { aControl.QueryHealth(); })
    .mState;
}

bool ListsModels(const std::string& aBytes)
{
  return Ask<agent::ResidentAnswer>(aBytes,
                                    [](auto& aControl) { aControl.QueryResidents(); })
    .mAnswered;
}

ledger::OrderOutcome Order(const std::string& aBytes)
{
  return Ask<agent::OrderAnswer>(aBytes,
                                 [](auto& aControl) { aControl.Send(ledger::Order{}); })
    .mOutcome;
}

/// Returns the data that a call of a request brings, and its end.
std::pair<std::string, agent::BackendDone> RunCall(
  const ScriptedEndpoint::Script& aScript,
  const std::string& aBody = {})
{
  const Backend backend(aScript);
  std::promise<agent::BackendDone> end;
  std::string data;
  agent::BackendCalls calls(backend.Url(), [&](agent::BackendEvent aEvent) {
    if (const auto* done = std::get_if<agent::BackendDone>(&aEvent)) {
      end.set_value(*done);
    } else {
      data += std::get<agent::BackendChunk>(aEvent).mData;
    }
  });
  agent::StartBackend call;
  call.mAttempt = ids::AttemptId("a");
  call.mCall.mMethod = "POST";
  call.mCall.mPath = "/act";
  call.mCall.mBody = aBody;
  call.mCall.mIrreversible = true;
  calls.Start(call);
  agent::BackendDone done = end.get_future().get();
  return { data, std::move(done) };
}

}

// Any status but 503 counted as ready, also 000, and an order as carried out.
TEST_CASE("backend control: a malformed answer says nothing of the back end", "[agent]")
{
  for (const testing::HeadBegin& head : testing::MalformedHeads()) {
    INFO(head.mWhat);
    const std::string begin = head.mStatusLine + head.mFields;
    CHECK(Health(WithBody(begin, R"({"state":"ready"})")) == agent::BackendState::Silent);
    CHECK_FALSE(ListsModels(WithBody(begin, R"({"data":[{"id":"m"}]})")));
    CHECK(Order(WithBody(begin, "{}")) == ledger::OrderOutcome::Unknown);
  }
}

TEST_CASE("backend control: a sound odd answer counts", "[agent]")
{
  for (const testing::HeadBegin& head : testing::OddSoundHeads()) {
    INFO(head.mWhat);
    const std::string begin = head.mStatusLine + head.mFields;
    const bool isOk = head.mStatusLine.find(" 200 ") != std::string::npos;
    CHECK(Health(WithBody(begin, R"({"state":"ready"})")) == agent::BackendState::Ready);
    CHECK(ListsModels(WithBody(begin, R"({"data":[{"id":"m"}]})")) == isOk);
    CHECK(Order(WithBody(begin, "{}")) ==
          (isOk ? ledger::OrderOutcome::Confirmed : ledger::OrderOutcome::Unknown));
  }
}

TEST_CASE("backend calls: no part of a malformed answer is passed on", "[agent]")
{
  for (const testing::HeadBegin& head : testing::MalformedHeads()) {
    INFO(head.mWhat);
    const auto [data, done] =
      RunCall({ WithBody(head.mStatusLine + head.mFields, "foreign"), true });
    CHECK(data.empty());
    CHECK(done.mOutcome == agent::BackendOutcome::Malformed);
    CHECK(done.mFault.starts_with("bad "));
  }
}

TEST_CASE("backend calls: a sound odd answer is passed on", "[agent]")
{
  for (const testing::HeadBegin& head : testing::OddSoundHeads()) {
    INFO(head.mWhat);
    const auto [data, done] =
      RunCall({ WithBody(head.mStatusLine + head.mFields, "sound"), true });
    CHECK(data == "sound");
    CHECK(done.mOutcome == agent::BackendOutcome::Answered);
    CHECK(done.mHttpStatus / 100 == 2);
  }
}

TEST_CASE("backend calls: a truncated answer is not a whole one", "[agent]")
{
  ScriptedEndpoint::Script script{ "HTTP/1.1 200 OK\r\n\r\npart" };
  script.mBeforeBody = true;
  script.mResetAfterEnd = std::chrono::milliseconds(200);
  const auto [data, done] = RunCall(script, std::string(400'000, 'x'));
  CHECK(done.mOutcome == agent::BackendOutcome::Truncated);
  CHECK_FALSE(done.mFault.empty());
}

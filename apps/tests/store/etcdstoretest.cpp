#include <thread>

#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/support/responseheads.hpp"
#include "components/store/etcdstore.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using frontend::testing::ScriptedEndpoint;
using store::StoreOutcome;

namespace {

/// Runs one write against a server that answers it with the bytes.
store::StoreReply Write(const std::string& aBytes)
{
  boost::asio::io_context io(1);
  ScriptedEndpoint server(io);
  server.AddScript({ aBytes, true });
  store::EtcdStore store("http://127.0.0.1:" + std::to_string(server.Port()));
  std::thread thread([&] { io.run(); });
  store::TransactionRequest request;
  request.mWrites.emplace_back(store::PutOperation{ "k", "v" });
  auto reply = store.Execute(request, 5s);
  io.stop();
  thread.join();
  return reply;
}

std::string Answer(const testing::HeadBegin& aHead)
{
  const std::string body = R"({"header":{"revision":"7"},"succeeded":true})";
  return aHead.mStatusLine + aHead.mFields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}

// The name of a field with a blank in it, or a line without a colon, was read over, and
// the write counted as done.
TEST_CASE("etcd store: a malformed answer leaves the outcome unknown", "[store]")
{
  for (const testing::HeadBegin& head : testing::MalformedHeads()) {
    INFO(head.mWhat);
    CHECK(Write(Answer(head)).mOutcome == StoreOutcome::Unknown);
  }
}

TEST_CASE("etcd store: a sound odd answer counts", "[store]")
{
  for (const testing::HeadBegin& head : testing::OddSoundHeads()) {
    INFO(head.mWhat);
    const bool isOk = head.mStatusLine.find(" 200 ") != std::string::npos;
    const auto reply = Write(Answer(head));
    CHECK(reply.mOutcome == (isOk ? StoreOutcome::Answered : StoreOutcome::Unknown));
    CHECK(reply.mSucceeded == isOk);
  }
}

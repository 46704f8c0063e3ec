#include <condition_variable>
#include <mutex>
#include <vector>

#include <catch2/catch.hpp>

#include "components/transport/curve.hpp"
#include "components/transport/peerclient.hpp"
#include "components/transport/peerserver.hpp"

namespace {

using namespace samphiresail;

/// Collects envelopes from a transport thread and lets the test wait for them.
class Inbox
{
public:
  void Add(wire::Envelope aEnvelope)
  {
    const std::lock_guard lock(mMutex);
    mEnvelopes.push_back(std::move(aEnvelope));
    mChanged.notify_all();
  }

  std::vector<wire::Envelope> WaitFor(std::size_t aCount)
  {
    std::unique_lock lock(mMutex);
    mChanged.wait_for(
      lock, std::chrono::seconds(10), [&] { return mEnvelopes.size() >= aCount; });
    return mEnvelopes;
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::vector<wire::Envelope> mEnvelopes;
};

wire::Envelope MakeProbe(std::uint64_t aNonce)
{
  wire::Envelope envelope;
  envelope.mutable_probe()->set_nonce(aNonce);
  return envelope;
}

std::string Text(const settings::SocketAddress& aAddress)
{
  return aAddress.mHost + ":" + std::to_string(aAddress.mPort);
}

void CheckRoundTrip(const settings::CurveSettings& aCurve)
{
  transport::PeerServer* answerer = nullptr;
  transport::PeerServer server(
    {}, aCurve, [&](const transport::Route& aRoute, const wire::Envelope& aEnvelope) {
      answerer->Send(aRoute, MakeProbe(aEnvelope.probe().nonce() + 1));
    });
  answerer = &server;
  Inbox answers;
  transport::PeerClient client(
    aCurve,
    [&](const std::string&, wire::Envelope aEnvelope) {
      answers.Add(std::move(aEnvelope));
    },
    [](const std::string&, const wire::Envelope&) {});
  client.Send(Text(server.Address()), MakeProbe(1));
  auto received = answers.WaitFor(1);
  REQUIRE(received.size() == 1);
  CHECK(received[0].probe().nonce() == 2);

  client.Reopen(Text(server.Address()));
  client.Send(Text(server.Address()), MakeProbe(7));
  received = answers.WaitFor(2);
  REQUIRE(received.size() == 2);
  CHECK(received[1].probe().nonce() == 8);
}

}

TEST_CASE("peers exchange envelopes in the clear")
{
  CheckRoundTrip({});
}

TEST_CASE("peers exchange envelopes under CURVE")
{
  CheckRoundTrip(transport::MakeCurveKeys());
}

TEST_CASE("not-run: an envelope for an absent peer is given back as not sent",
          "[must-hold]")
{
  Inbox unsent;
  transport::PeerClient client(
    {},
    [](const std::string&, const wire::Envelope&) {},
    [&](const std::string&, wire::Envelope aEnvelope) {
      unsent.Add(std::move(aEnvelope));
    });
  settings::SocketAddress closed;
  {
    const transport::PeerServer server({}, {}, [](const auto&, const auto&) {});
    closed = server.Address();
  }
  client.Send(Text(closed), MakeProbe(3));
  const auto returned = unsent.WaitFor(1);
  REQUIRE(returned.size() == 1);
  CHECK(returned[0].probe().nonce() == 3);
}

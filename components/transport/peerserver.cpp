#include "components/transport/peerserver.hpp"

#include <atomic>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

#include <zmq.hpp>

#include "components/transport/curve.hpp"
#include "components/transport/framecodec.hpp"
#include "components/transport/wakeup.hpp"

namespace samphiresail::transport {

namespace {

/// Messages that may wait for one connection before further ones are dropped.
constexpr int kHighWaterMark = 20000;

struct OutgoingFrame
{
  Route mRoute;
  std::string mFrame;
};

std::string BindText(const settings::SocketAddress& aAddress)
{
  const std::string port = aAddress.mPort == 0 ? "*" : std::to_string(aAddress.mPort);
  return "tcp://" + aAddress.mHost + ":" + port;
}

}

class PeerServer::Loop
{
public:
  Loop(const settings::SocketAddress& aAddress,
       const settings::CurveSettings& aCurve,
       Handler aHandler)
    : mAddress(aAddress)
    , mHandler(std::move(aHandler))
    , mSocket(mContext, zmq::socket_type::router)
  {
    mSocket.set(zmq::sockopt::linger, 0);
    mSocket.set(zmq::sockopt::router_mandatory, true);
    mSocket.set(zmq::sockopt::router_handover, true);
    mSocket.set(zmq::sockopt::sndhwm, kHighWaterMark);
    mSocket.set(zmq::sockopt::rcvhwm, kHighWaterMark);
    ApplyServerCurve(mSocket, aCurve);
    mSocket.bind(BindText(aAddress));
    const std::string bound = mSocket.get(zmq::sockopt::last_endpoint);
    mAddress.mPort =
      static_cast<std::uint16_t>(std::stoul(bound.substr(bound.rfind(':') + 1)));
    mThread = std::jthread([this](const std::stop_token& aStop) { Run(aStop); });
  }

  ~Loop()
  {
    mThread.request_stop();
    mWakeup.Signal();
    mThread.join();
  }

  void Send(const Route& aRoute, wire::Envelope aEnvelope)
  {
    std::string frame = EncodeFrame(std::move(aEnvelope));
    {
      const std::lock_guard lock(mMutex);
      mOutgoing.push_back({ aRoute, std::move(frame) });
    }
    mWakeup.Signal();
  }

  settings::SocketAddress Address() const { return mAddress; }

  TransportCounts Counts() const { return { mBadFrames.load(), mUndeliverable.load() }; }

private:
  void Run(const std::stop_token& aStop)
  {
    while (!aStop.stop_requested()) {
      zmq::pollitem_t items[] = { { mSocket.handle(), 0, ZMQ_POLLIN, 0 },
                                  { nullptr, mWakeup.Descriptor(), ZMQ_POLLIN, 0 } };
      zmq::poll(items, std::size(items), std::chrono::milliseconds(-1));
      mWakeup.Clear();
      SendQueued();
      Receive();
    }
    SendQueued();
  }

  void SendQueued()
  {
    std::deque<OutgoingFrame> frames;
    {
      const std::lock_guard lock(mMutex);
      frames.swap(mOutgoing);
    }
    for (const OutgoingFrame& outgoing : frames) {
      SendFrame(outgoing);
    }
  }

  void SendFrame(const OutgoingFrame& aOutgoing)
  {
    try {
      const auto flags = zmq::send_flags::dontwait;
      if (mSocket.send(zmq::buffer(aOutgoing.mRoute), flags | zmq::send_flags::sndmore) &&
          mSocket.send(zmq::buffer(aOutgoing.mFrame), flags)) {
        return;
      }
    } catch (const zmq::error_t&) {
      // The connection is closed; its peer asks again on a new one.
    }
    ++mUndeliverable;
  }

  void Receive()
  {
    zmq::message_t route;
    while (mSocket.recv(route, zmq::recv_flags::dontwait)) {
      zmq::message_t frame;
      bool more = route.more();
      while (more) {
        static_cast<void>(mSocket.recv(frame, zmq::recv_flags::none));
        more = frame.more();
      }
      if (auto envelope = DecodeFrame(frame.to_string_view())) {
        mHandler(route.to_string(), *std::move(envelope));
      } else {
        ++mBadFrames;
      }
    }
  }

  settings::SocketAddress mAddress;
  Handler mHandler;
  zmq::context_t mContext;
  zmq::socket_t mSocket;
  Wakeup mWakeup;
  std::mutex mMutex;
  std::deque<OutgoingFrame> mOutgoing;
  std::atomic<std::uint64_t> mBadFrames{ 0 };
  std::atomic<std::uint64_t> mUndeliverable{ 0 };
  std::jthread mThread;
};

PeerServer::PeerServer(const settings::SocketAddress& aAddress,
                       const settings::CurveSettings& aCurve,
                       Handler aHandler)
  : mLoop(std::make_unique<Loop>(aAddress, aCurve, std::move(aHandler)))
{
}

PeerServer::~PeerServer() = default;

void PeerServer::Send(const Route& aRoute, wire::Envelope aEnvelope)
{
  mLoop->Send(aRoute, std::move(aEnvelope));
}

settings::SocketAddress PeerServer::Address() const
{
  return mLoop->Address();
}

TransportCounts PeerServer::Counts() const
{
  return mLoop->Counts();
}

}

#include "components/transport/peerclient.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <zmq.hpp>

#include "components/transport/curve.hpp"
#include "components/transport/framecodec.hpp"
#include "components/transport/wakeup.hpp"

namespace samphiresail::transport {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr int kHighWaterMark = 20000;
/// Time within which a connection must come up before its envelopes are given back.
constexpr std::chrono::milliseconds kConnectTimeout{ 500 };
/// Time without traffic after which a connection is closed.
constexpr std::chrono::seconds kIdleTimeout{ 120 };
constexpr std::chrono::milliseconds kPollTimeout{ 100 };

struct OutgoingFrame
{
  std::string mFrame;
  SteadyClock::time_point mQueuedAt;
};

struct Connection
{
  zmq::socket_t mSocket;
  std::deque<OutgoingFrame> mPending;
  SteadyClock::time_point mUsedAt;
};

enum class CommandKind
{
  Send,
  Reopen,
};

struct Command
{
  CommandKind mKind;
  PeerAddress mAddress;
  std::string mFrame;
};

}

class PeerClient::Loop
{
public:
  Loop(const settings::CurveSettings& aCurve, Handler aHandler, UnsentHandler aUnsent)
    : mCurve(aCurve)
    , mHandler(std::move(aHandler))
    , mUnsent(std::move(aUnsent))
  {
    mThread = std::jthread([this](const std::stop_token& aStop) { Run(aStop); });
  }

  ~Loop()
  {
    mThread.request_stop();
    mWakeup.Signal();
    mThread.join();
  }

  void Queue(Command aCommand)
  {
    {
      const std::lock_guard lock(mMutex);
      mCommands.push_back(std::move(aCommand));
    }
    mWakeup.Signal();
  }

  TransportCounts Counts() const { return { mBadFrames.load(), mUndeliverable.load() }; }

private:
  void Run(const std::stop_token& aStop)
  {
    while (!aStop.stop_requested()) {
      Poll();
      TakeCommands();
      for (auto& [address, connection] : mConnections) {
        SendPending(address, connection);
        Receive(address, connection);
      }
      CloseIdle();
    }
  }

  void Poll()
  {
    std::vector<zmq::pollitem_t> items{
      { nullptr, mWakeup.Descriptor(), ZMQ_POLLIN, 0 }
    };
    for (auto& [address, connection] : mConnections) {
      const short events =
        connection.mPending.empty() ? ZMQ_POLLIN : (ZMQ_POLLIN | ZMQ_POLLOUT);
      items.push_back({ connection.mSocket.handle(), 0, events, 0 });
    }
    zmq::poll(items, kPollTimeout);
    mWakeup.Clear();
  }

  void TakeCommands()
  {
    std::deque<Command> commands;
    {
      const std::lock_guard lock(mMutex);
      commands.swap(mCommands);
    }
    for (Command& command : commands) {
      if (command.mKind == CommandKind::Reopen) {
        Close(command.mAddress);
        continue;
      }
      Connection& connection = Open(command.mAddress);
      connection.mPending.push_back({ std::move(command.mFrame), SteadyClock::now() });
    }
  }

  Connection& Open(const PeerAddress& aAddress)
  {
    const auto it = mConnections.find(aAddress);
    if (it != mConnections.end()) {
      return it->second;
    }
    zmq::socket_t socket(mContext, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    // Without this option ZeroMQ would queue for a peer that is away.
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::sndhwm, kHighWaterMark);
    socket.set(zmq::sockopt::rcvhwm, kHighWaterMark);
    ApplyClientCurve(socket, mCurve);
    socket.connect("tcp://" + aAddress);
    Connection connection{ std::move(socket), {}, SteadyClock::now() };
    return mConnections.emplace(aAddress, std::move(connection)).first->second;
  }

  void Close(const PeerAddress& aAddress)
  {
    const auto node = mConnections.extract(aAddress);
    if (!node.empty()) {
      GiveBack(aAddress, node.mapped().mPending);
    }
  }

  void SendPending(const PeerAddress& aAddress, Connection& aConnection)
  {
    auto& pending = aConnection.mPending;
    while (!pending.empty() && TrySend(aConnection, pending.front().mFrame)) {
      pending.pop_front();
    }
    const auto oldest = SteadyClock::now() - kConnectTimeout;
    if (!pending.empty() && pending.front().mQueuedAt < oldest) {
      GiveBack(aAddress, pending);
    }
  }

  bool TrySend(Connection& aConnection, const std::string& aFrame)
  {
    const auto sent =
      aConnection.mSocket.send(zmq::buffer(aFrame), zmq::send_flags::dontwait);
    if (sent) {
      aConnection.mUsedAt = SteadyClock::now();
    }
    return sent.has_value();
  }

  void GiveBack(const PeerAddress& aAddress, std::deque<OutgoingFrame>& aPending)
  {
    std::deque<OutgoingFrame> frames;
    frames.swap(aPending);
    for (const OutgoingFrame& outgoing : frames) {
      ++mUndeliverable;
      if (auto envelope = DecodeFrame(outgoing.mFrame)) {
        mUnsent(aAddress, *std::move(envelope));
      }
    }
  }

  void Receive(const PeerAddress& aAddress, Connection& aConnection)
  {
    zmq::message_t frame;
    while (aConnection.mSocket.recv(frame, zmq::recv_flags::dontwait)) {
      aConnection.mUsedAt = SteadyClock::now();
      if (auto envelope = DecodeFrame(frame.to_string_view())) {
        mHandler(aAddress, *std::move(envelope));
      } else {
        ++mBadFrames;
      }
    }
  }

  void CloseIdle()
  {
    const auto oldest = SteadyClock::now() - kIdleTimeout;
    std::erase_if(mConnections, [oldest](const auto& aItem) {
      const Connection& connection = aItem.second;
      return connection.mPending.empty() && connection.mUsedAt < oldest;
    });
  }

  settings::CurveSettings mCurve;
  Handler mHandler;
  UnsentHandler mUnsent;
  zmq::context_t mContext;
  std::unordered_map<PeerAddress, Connection> mConnections;
  Wakeup mWakeup;
  std::mutex mMutex;
  std::deque<Command> mCommands;
  std::atomic<std::uint64_t> mBadFrames{ 0 };
  std::atomic<std::uint64_t> mUndeliverable{ 0 };
  std::jthread mThread;
};

PeerClient::PeerClient(const settings::CurveSettings& aCurve,
                       Handler aHandler,
                       UnsentHandler aUnsentHandler)
  : mLoop(std::make_unique<Loop>(aCurve, std::move(aHandler), std::move(aUnsentHandler)))
{
}

PeerClient::~PeerClient() = default;

void PeerClient::Send(const PeerAddress& aAddress, wire::Envelope aEnvelope)
{
  mLoop->Queue({ CommandKind::Send, aAddress, EncodeFrame(std::move(aEnvelope)) });
}

void PeerClient::Reopen(const PeerAddress& aAddress)
{
  mLoop->Queue({ CommandKind::Reopen, aAddress, {} });
}

TransportCounts PeerClient::Counts() const
{
  return mLoop->Counts();
}

}

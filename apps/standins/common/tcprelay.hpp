#ifndef SAMPHIRESAIL_APPS_STANDINS_COMMON_TCPRELAY_HPP
#define SAMPHIRESAIL_APPS_STANDINS_COMMON_TCPRELAY_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace samphiresail::standins {

struct TcpAddress
{
  std::string mHost{ "127.0.0.1" };
  std::uint16_t mPort{ 0 };

  auto operator<=>(const TcpAddress&) const = default;
  std::string Text() const { return mHost + ":" + std::to_string(mPort); }
};

/// Reads "host:port" or "port". Throws std::invalid_argument.
TcpAddress ParseAddress(const std::string& aText);

/// State of one relayed connection, shared by its two directions.
struct RelayedConnection
{
  std::uint64_t mNumber{ 0 };
  int mNear{ -1 };
  int mFar{ -1 };
  TcpAddress mTarget;
  /// Carries nothing in either direction and closes nothing.
  std::atomic<bool> mSilent{ false };
  std::atomic<int> mOpenDirections{ 2 };

  ~RelayedConnection();
};

/// Accepts TCP connections and carries each to a target chosen for it.
class TcpRelay
{
public:
  /// Chooses the target of a new connection; nothing closes it at once.
  using Choose = std::function<std::optional<TcpAddress>()>;

  TcpRelay(const TcpAddress& aListen, Choose aChoose);

  std::uint16_t Port() const { return mPort; }

  /// Accepts for ever on the calling thread.
  [[noreturn]] void Run();

  /// Makes the connection with the number, or all for none, carry nothing from now on.
  std::size_t Silence(std::optional<std::uint64_t> aNumber);
  /// Closes the connection with the number, or all for none.
  std::size_t Cut(std::optional<std::uint64_t> aNumber);
  /// New connections carry nothing while this is set.
  void SetHoldNew(bool aHold) { mHoldNew = aHold; }
  /// Connections that carry data.
  std::vector<std::shared_ptr<RelayedConnection>> Open();

private:
  void Start(int aNear);

  Choose mChoose;
  int mListener{ -1 };
  std::uint16_t mPort{ 0 };
  std::atomic<bool> mHoldNew{ false };
  std::uint64_t mNext{ 0 };
  std::mutex mMutex;
  std::vector<std::shared_ptr<RelayedConnection>> mConnections;
};

}

#endif

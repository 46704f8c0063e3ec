#ifndef SAMPHIRESAIL_APPS_STANDINS_BALANCER_ROTATION_HPP
#define SAMPHIRESAIL_APPS_STANDINS_BALANCER_ROTATION_HPP

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "apps/standins/common/tcprelay.hpp"

namespace samphiresail::standins {

struct BalancedAddress
{
  TcpAddress mAddress;
  /// Connections in a row before the next address has its turn; 0 for none.
  std::size_t mWeight{ 1 };
  bool mReady{ false };
};

/// Weighted round robin over the addresses that answer their readiness check.
/// Thread-safe.
class Rotation
{
public:
  explicit Rotation(std::vector<BalancedAddress> aAddresses)
    : mAddresses(std::move(aAddresses))
  {
  }

  /// Returns the address for the next connection; nothing if none is ready.
  std::optional<TcpAddress> Next();
  /// Asks every address for GET /ready once.
  void Check();
  /// Returns false for an unknown address.
  bool SetWeight(const TcpAddress& aAddress, std::size_t aWeight);
  std::vector<BalancedAddress> Addresses() const;

private:
  mutable std::mutex mMutex;
  std::vector<BalancedAddress> mAddresses;
  std::size_t mCurrent{ 0 };
  std::size_t mGiven{ 0 };
};

}

#endif

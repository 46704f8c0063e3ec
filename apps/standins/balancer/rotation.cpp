#include "apps/standins/balancer/rotation.hpp"

#include <algorithm>
#include <chrono>

#include <httplib.h>

namespace samphiresail::standins {

namespace {

constexpr std::chrono::milliseconds kCheckTimeout{ 500 };

bool IsReady(const TcpAddress& aAddress)
{
  httplib::Client client(aAddress.mHost, aAddress.mPort);
  client.set_connection_timeout(kCheckTimeout);
  client.set_read_timeout(kCheckTimeout);
  const auto result = client.Get("/ready");
  return result && result->status == 200;
}

}

std::optional<TcpAddress> Rotation::Next()
{
  const std::lock_guard lock(mMutex);
  for (std::size_t it = 0; it <= mAddresses.size(); ++it) {
    const auto& candidate = mAddresses[mCurrent];
    if (candidate.mReady && mGiven < candidate.mWeight) {
      ++mGiven;
      return candidate.mAddress;
    }
    mCurrent = (mCurrent + 1) % mAddresses.size();
    mGiven = 0;
  }
  return std::nullopt;
}

void Rotation::Check()
{
  for (const auto& address : Addresses()) {
    const bool ready = IsReady(address.mAddress);
    const std::lock_guard lock(mMutex);
    const auto it =
      std::ranges::find(mAddresses, address.mAddress, &BalancedAddress::mAddress);
    it->mReady = ready;
  }
}

bool Rotation::SetWeight(const TcpAddress& aAddress, std::size_t aWeight)
{
  const std::lock_guard lock(mMutex);
  const auto it = std::ranges::find(mAddresses, aAddress, &BalancedAddress::mAddress);
  if (it == mAddresses.end()) {
    return false;
  }
  it->mWeight = aWeight;
  return true;
}

std::vector<BalancedAddress> Rotation::Addresses() const
{
  const std::lock_guard lock(mMutex);
  return mAddresses;
}

}

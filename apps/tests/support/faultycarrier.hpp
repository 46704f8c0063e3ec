#ifndef SAMPHIRESAIL_APPS_TESTS_SUPPORT_FAULTYCARRIER_HPP
#define SAMPHIRESAIL_APPS_TESTS_SUPPORT_FAULTYCARRIER_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "components/timing/clock.hpp"

namespace samphiresail::tests {

/// How a carrier treats messages; probabilities from 0 to 1.
struct CarrierFaults
{
  timing::Duration mMinDelay{ std::chrono::microseconds(500) };
  timing::Duration mMaxDelay{ std::chrono::milliseconds(3) };
  double mDrop{ 0.0 };
  double mRepeat{ 0.0 };
  /// Messages that take up to mLongDelay, and so overtake each other.
  double mDelay{ 0.0 };
  timing::Duration mLongDelay{ std::chrono::seconds(3) };
};

/// Carries messages between named nodes under injected time and seeded faults. A link may
/// be cut in one direction; a frozen node receives its messages when it is thawed.
template<typename Message>
class FaultyCarrier
{
public:
  struct Delivery
  {
    std::string mFrom;
    std::string mTo;
    Message mMessage;
  };

  explicit FaultyCarrier(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  CarrierFaults& Faults() { return mFaults; }

  void Cut(const std::string& aFrom, const std::string& aTo)
  {
    mCut.insert({ aFrom, aTo });
  }
  void Mend(const std::string& aFrom, const std::string& aTo)
  {
    mCut.erase({ aFrom, aTo });
  }
  void MendAll() { mCut.clear(); }
  void Freeze(const std::string& aNode) { mFrozen.insert(aNode); }
  void Thaw(const std::string& aNode) { mFrozen.erase(aNode); }
  bool IsFrozen(const std::string& aNode) const { return mFrozen.contains(aNode); }

  /// Forgets what is under way to a node that has ended.
  void Forget(const std::string& aNode)
  {
    std::erase_if(mQueue, [&](const auto& aItem) { return aItem.second.mTo == aNode; });
  }

  void Send(const std::string& aFrom,
            const std::string& aTo,
            const Message& aMessage,
            timing::Instant aNow)
  {
    if (mCut.contains({ aFrom, aTo }) || Draw(mFaults.mDrop)) {
      return;
    }
    Schedule(aFrom, aTo, aMessage, aNow);
    if (Draw(mFaults.mRepeat)) {
      Schedule(aFrom, aTo, aMessage, aNow + std::chrono::milliseconds(10));
    }
  }

  /// Returns the messages that have arrived by now.
  std::vector<Delivery> Arrivals(timing::Instant aNow)
  {
    std::vector<Delivery> arrived;
    const auto end = mQueue.upper_bound(aNow);
    for (auto it = mQueue.begin(); it != end;) {
      if (mFrozen.contains(it->second.mTo)) {
        ++it;
      } else {
        arrived.push_back(std::move(it->second));
        it = mQueue.erase(it);
      }
    }
    return arrived;
  }

private:
  bool Draw(double aProbability)
  {
    return aProbability > 0.0 && std::bernoulli_distribution(aProbability)(mRandom);
  }

  void Schedule(const std::string& aFrom,
                const std::string& aTo,
                const Message& aMessage,
                timing::Instant aNow)
  {
    const timing::Duration most =
      Draw(mFaults.mDelay) ? mFaults.mLongDelay : mFaults.mMaxDelay;
    std::uniform_int_distribution<timing::Duration::rep> delay(
      mFaults.mMinDelay.count(), std::max(mFaults.mMinDelay, most).count());
    mQueue.emplace(aNow + timing::Duration(delay(mRandom)),
                   Delivery{ aFrom, aTo, aMessage });
  }

  std::mt19937_64 mRandom;
  CarrierFaults mFaults;
  std::set<std::pair<std::string, std::string>> mCut;
  std::set<std::string> mFrozen;
  std::multimap<timing::Instant, Delivery> mQueue;
};

}

#endif

#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_SUSPECTTESTS_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_SUSPECTTESTS_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// When the next request may be sent that has some of the causes that are suspected
/// together. All entries send one at a time, ever more rarely until one is answered.
class SuspectTests
{
public:
  /// Time for the first test until its outcome is known everywhere, and the longest time
  /// between two tests.
  static constexpr timing::Duration kFirstPause = std::chrono::seconds(1);
  static constexpr timing::Duration kMaxPause = std::chrono::seconds(16);
  static constexpr int kBackoff = 2;
  /// Tests that begin within this time at several entries count as one.
  static constexpr timing::Duration kSameTest = std::chrono::milliseconds(700);
  /// Reports state the age of a test to this accuracy.
  static constexpr timing::Duration kReportAccuracy = std::chrono::milliseconds(100);
  /// How long a cause is remembered after its last test.
  static constexpr timing::Duration kMemory = std::chrono::minutes(2);

  /// Allows no test of the causes before aUntil.
  void Delay(const std::vector<std::uint64_t>& aCauses, timing::Instant aUntil);
  bool MayTest(const std::vector<std::uint64_t>& aCauses, timing::Instant aNow) const;
  /// Records that a test of the causes began, at this entry or another one.
  void Begin(const std::vector<std::uint64_t>& aCauses, timing::Instant aAt);
  /// Records that the test of the causes that began at aBegan has not run.
  void TakeBack(const std::vector<std::uint64_t>& aCauses, timing::Instant aBegan);
  /// Records that a test of the causes was answered.
  void Reset(const std::vector<std::uint64_t>& aCauses);
  void Tick(timing::Instant aNow);

private:
  struct Row
  {
    timing::Instant mBegan{ timing::Instant::min() };
    /// When the last test began that has not run.
    timing::Instant mTakenBack{ timing::Instant::min() };
    timing::Instant mNext{};
    timing::Duration mPause{ kFirstPause };
  };

  std::map<std::uint64_t, Row> mRows;
};

}

#endif

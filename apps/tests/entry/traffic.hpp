#ifndef SAMPHIRESAIL_APPS_TESTS_ENTRY_TRAFFIC_HPP
#define SAMPHIRESAIL_APPS_TESTS_ENTRY_TRAFFIC_HPP

#include <cstdint>
#include <map>
#include <vector>

#include "apps/tests/entry/fleet.hpp"

namespace samphiresail::tests {

/// Requests of one client account that arrive at the entries of a fleet, and an observer
/// that knows the true time and the final cost of each admission.
class Traffic
{
public:
  /// aLoad is the offered load as a multiple of the account's rate in final cost.
  /// aBurst must be the burst that the configuration holds.
  Traffic(Fleet& aFleet, double aLoad, double aBurst = 9000.0);

  /// To be called after each step.
  void Step();

  /// Makes every request use all that it is charged, so that nothing is refunded.
  void UseAll() { mUseAll = true; }

  /// Sets the probability with which the balancer picks each entry.
  void SetWeights(std::vector<double> aWeights) { mWeights = std::move(aWeights); }

  /// Returns by how many tokens the worst window of any length exceeds burst plus
  /// rate times its length; negative if none does.
  double WorstExcess() const;

  std::uint64_t Offered() const { return mOffered; }
  std::uint64_t Refused() const { return mRefused; }
  /// Refusals of the same requests by one bucket that sees all entries without delay.
  std::uint64_t IdealRefused() const { return mIdealRefused; }

private:
  struct IdealRequest
  {
    std::uint64_t mNumber;
    std::int64_t mCharge;
    std::int64_t mFinal;
    timing::Duration mTime;
    timing::Instant mDeadline;
  };

  struct Waiting
  {
    std::size_t mNode;
    units::Incarnation mIncarnation;
    std::int64_t mCharge;
    std::int64_t mFinal;
    timing::Duration mTime;
    timing::Instant mDeadline;
  };

  struct Running
  {
    std::size_t mNode;
    units::Incarnation mIncarnation;
    limits::Charge mCharge;
    std::int64_t mUnused;
  };

  struct Admission
  {
    timing::Instant mAt;
    double mCost;
  };

  void Arrive();
  bool Admit(const Waiting& aRequest);
  void RetryWaiting();
  void StepIdeal();
  bool AdmitIdeal(const IdealRequest& aRequest);
  void FinishRunning();
  bool IsThere(std::size_t aNode, units::Incarnation aIncarnation) const;

  Fleet& mFleet;
  double mBurst;
  double mArrivalsPerStep;
  std::vector<double> mWeights;
  std::vector<Waiting> mWaiting;
  std::multimap<timing::Instant, Running> mRunning;
  std::vector<Admission> mAdmissions;
  bool mUseAll{ false };
  std::uint64_t mOffered{ 0 };
  std::uint64_t mRefused{ 0 };
  limits::RateBucket mIdeal;
  std::vector<IdealRequest> mIdealWaiting;
  std::multimap<timing::Instant, IdealRequest> mIdealRunning;
  std::uint64_t mIdealRefused{ 0 };
};

}

#endif

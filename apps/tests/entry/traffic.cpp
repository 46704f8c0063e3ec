#include "apps/tests/entry/traffic.hpp"

#include <algorithm>

namespace samphiresail::tests {

using namespace std::chrono_literals;

namespace {

const ids::ClientAccountId kAccount("north");
constexpr double kRate = 3000.0;
constexpr int kMaxOutput = 600;
constexpr int kMaxPrompt = 100;
constexpr double kMeanFinal = (kMaxOutput + kMaxPrompt) / 2.0;
constexpr timing::Duration kCreditWait = 250ms;

}

Traffic::Traffic(Fleet& aFleet, double aLoad, double aBurst)
  : mFleet(aFleet)
  , mBurst(aBurst)
  , mArrivalsPerStep(aLoad * kRate / kMeanFinal *
                     std::chrono::duration<double>(Fleet::kStep).count())
  , mWeights(aFleet.Nodes().size(), 1.0)
  , mIdeal(aFleet.Now(), Fleet::kGrantLife)
{
  mIdeal.SetLimits(units::TokensPerSecond(kRate),
                   units::Tokens(static_cast<std::int64_t>(aBurst)),
                   aFleet.Now());
  mIdeal.Fill();
}

void Traffic::Step()
{
  FinishRunning();
  RetryWaiting();
  StepIdeal();
  std::poisson_distribution<int> arrivals(mArrivalsPerStep);
  for (int i = arrivals(mFleet.Random()); i > 0; --i) {
    Arrive();
  }
}

void Traffic::Arrive()
{
  std::discrete_distribution<std::size_t> pick(mWeights.begin(), mWeights.end());
  const std::size_t index = pick(mFleet.Random());
  const Node& node = mFleet.Nodes()[index];
  if (!node.mAlive || mFleet.IsFrozen(index)) {
    return;
  }
  const int prompt = std::uniform_int_distribution<int>(0, kMaxPrompt)(mFleet.Random());
  const int output =
    mUseAll ? kMaxOutput
            : std::uniform_int_distribution<int>(0, kMaxOutput)(mFleet.Random());
  const int time = std::uniform_int_distribution<int>(10, 3000)(mFleet.Random());
  const Waiting request{
    index,           node.mMember.mIncarnation,       prompt + kMaxOutput,
    prompt + output, std::chrono::milliseconds(time), mFleet.Now() + kCreditWait
  };
  ++mOffered;
  mIdealWaiting.push_back(
    { mOffered, request.mCharge, request.mFinal, request.mTime, request.mDeadline });
  if (!Admit(request)) {
    node.mPool->ChangeWaiting(kAccount, units::Tokens(request.mCharge));
    mWaiting.push_back(request);
    mFleet.Apply(index, node.mCore->OnDemand(mFleet.Now()));
  }
}

bool Traffic::Admit(const Waiting& aRequest)
{
  if (!mFleet.Serves(aRequest.mNode)) {
    return false;
  }
  limits::CreditPool& pool = *mFleet.Nodes()[aRequest.mNode].mPool;
  const auto charge =
    pool.TryCharge(kAccount, units::Tokens(aRequest.mCharge), mFleet.Now());
  if (!charge) {
    return false;
  }
  mAdmissions.push_back({ mFleet.Now(), static_cast<double>(aRequest.mFinal) });
  mRunning.emplace(mFleet.Now() + aRequest.mTime,
                   Running{ aRequest.mNode,
                            aRequest.mIncarnation,
                            *charge,
                            aRequest.mCharge - aRequest.mFinal });
  return true;
}

void Traffic::RetryWaiting()
{
  std::erase_if(mWaiting, [&](const Waiting& aRequest) {
    if (!IsThere(aRequest.mNode, aRequest.mIncarnation)) {
      return true;
    }
    if (mFleet.IsFrozen(aRequest.mNode)) {
      return false;
    }
    const bool admitted = Admit(aRequest);
    const bool refused = !admitted && mFleet.Now() >= aRequest.mDeadline;
    if (admitted || refused) {
      mFleet.Nodes()[aRequest.mNode].mPool->ChangeWaiting(
        kAccount, units::Tokens(-aRequest.mCharge));
    }
    mRefused += refused ? 1 : 0;
    return admitted || refused;
  });
}

void Traffic::FinishRunning()
{
  const auto end = mRunning.upper_bound(mFleet.Now());
  for (auto it = mRunning.begin(); it != end;) {
    const Running& running = it->second;
    if (mFleet.IsFrozen(running.mNode)) {
      ++it;
      continue;
    }
    if (IsThere(running.mNode, running.mIncarnation)) {
      mFleet.Nodes()[running.mNode].mPool->RefundUnused(running.mCharge,
                                                        units::Tokens(running.mUnused));
    }
    it = mRunning.erase(it);
  }
}

void Traffic::StepIdeal()
{
  const auto end = mIdealRunning.upper_bound(mFleet.Now());
  for (auto it = mIdealRunning.begin(); it != end; it = mIdealRunning.erase(it)) {
    const IdealRequest& done = it->second;
    mIdeal.Refund({ ids::ProcessId("ideal"), {}, done.mNumber },
                  units::Tokens(done.mCharge),
                  units::Tokens(done.mCharge - done.mFinal),
                  mFleet.Now());
  }
  std::erase_if(mIdealWaiting, [&](const IdealRequest& aRequest) {
    const bool admitted = AdmitIdeal(aRequest);
    const bool refused = !admitted && mFleet.Now() >= aRequest.mDeadline;
    mIdealRefused += refused ? 1 : 0;
    return admitted || refused;
  });
}

bool Traffic::AdmitIdeal(const IdealRequest& aRequest)
{
  const units::Tokens charge(aRequest.mCharge);
  if (mIdeal.Level(mFleet.Now()) < charge) {
    return false;
  }
  const limits::GrantKey key{ ids::ProcessId("ideal"), {}, aRequest.mNumber };
  mIdeal.Grant(key, charge, mFleet.Now());
  mIdeal.Report(key, charge, true, mFleet.Now());
  mIdealRunning.emplace(mFleet.Now() + aRequest.mTime, aRequest);
  return true;
}

bool Traffic::IsThere(std::size_t aNode, units::Incarnation aIncarnation) const
{
  const Node& node = mFleet.Nodes()[aNode];
  return node.mAlive && node.mMember.mIncarnation == aIncarnation;
}

double Traffic::WorstExcess() const
{
  // Largest sum of cost minus rate times time over all ranges of admissions.
  double worst = -mBurst;
  double best = 0.0;
  timing::Instant last;
  for (const Admission& admission : mAdmissions) {
    const double seconds = std::chrono::duration<double>(admission.mAt - last).count();
    best = std::max(0.0, best - kRate * seconds) + admission.mCost;
    last = admission.mAt;
    worst = std::max(worst, best - mBurst);
  }
  return worst;
}

}

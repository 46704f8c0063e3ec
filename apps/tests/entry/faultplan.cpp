#include "apps/tests/entry/faultplan.hpp"

namespace samphiresail::tests {

using namespace std::chrono_literals;

namespace {

constexpr int kNodeFaults = 6;
constexpr int kFaults = 13;

}

FaultPlan::FaultPlan(Fleet& aFleet)
  : mFleet(aFleet)
  , mNext(aFleet.Now() + 4s)
{
}

void FaultPlan::Step()
{
  while (!mEnds.empty() && mEnds.begin()->first <= mFleet.Now()) {
    const auto event = std::move(mEnds.begin()->second);
    mEnds.erase(mEnds.begin());
    event();
  }
  if (mNext <= mFleet.Now()) {
    mNext = mFleet.Now() + std::chrono::milliseconds(Draw(300, 5000));
    Begin();
  }
}

void FaultPlan::Begin()
{
  BeginFault();
  if (Draw(0, 1) == 1) {
    BeginFault();
  }
}

void FaultPlan::BeginFault()
{
  const int kind = Draw(0, kFaults - 1);
  const auto time = std::chrono::milliseconds(Draw(50, 6000));
  if (kind < kNodeFaults) {
    const int last = static_cast<int>(mFleet.Nodes().size()) - 1;
    BeginNodeFault(kind, static_cast<std::size_t>(Draw(0, last)), time);
  } else {
    BeginFleetFault(kind, time);
  }
}

void FaultPlan::BeginNodeFault(int aKind, std::size_t aNode, timing::Duration aTime)
{
  Node& node = mFleet.Nodes()[aNode];
  if (!node.mAlive) {
    return;
  }
  const std::size_t other = (aNode + 1) % mFleet.Nodes().size();
  const std::string name = node.mMember.mName.Str();
  const std::string next = mFleet.Nodes()[other].mMember.mName.Str();
  switch (aKind) {
    case 0:
    case 1:
      mFleet.Freeze(aNode, true);
      After(aTime, [=, this] { mFleet.Freeze(aNode, false); });
      break;
    case 2:
      mFleet.Kill(aNode);
      After(aTime, [=, this] { mFleet.Start(aNode); });
      break;
    case 3:
      mFleet.ReplaceVm(aNode);
      After(aTime, [=, this] { mFleet.Start(aNode); });
      break;
    case 4:
      mFleet.Carrier().Cut(name, next);
      After(aTime, [=, this] { mFleet.Carrier().Mend(name, next); });
      break;
    default:
      mFleet.Isolate(aNode);
      mFleet.CutStore(aNode, Draw(0, 1) == 1);
      After(2 * aTime, [=, this] {
        mFleet.Carrier().MendAll();
        mFleet.CutStore(aNode, false);
      });
      break;
  }
}

void FaultPlan::BeginFleetFault(int aKind, timing::Duration aTime)
{
  CarrierFaults& faults = mFleet.Carrier().Faults();
  switch (aKind) {
    case 6:
      faults.mDrop = 0.3;
      After(aTime, [&faults] { faults.mDrop = 0.0; });
      break;
    case 7:
      faults.mRepeat = 0.3;
      After(aTime, [&faults] { faults.mRepeat = 0.0; });
      break;
    case 8:
      faults.mDelay = 0.2;
      After(aTime, [&faults] { faults.mDelay = 0.0; });
      break;
    case 9:
      mFleet.Store().SetDown(true);
      After(2 * aTime, [this] { mFleet.Store().SetDown(false); });
      break;
    case 10:
      mFleet.Store().SetLoseAnswers(true);
      After(aTime, [this] { mFleet.Store().SetLoseAnswers(false); });
      break;
    case 11:
      mFleet.SetStoreSlow(true);
      After(aTime, [this] { mFleet.SetStoreSlow(false); });
      break;
    default:
      mFleet.Store().LapseLeases();
      break;
  }
}

void FaultPlan::End()
{
  while (!mEnds.empty()) {
    const auto event = std::move(mEnds.begin()->second);
    mEnds.erase(mEnds.begin());
    event();
  }
  mFleet.MendAll();
  for (std::size_t i = 0; i < mFleet.Nodes().size(); ++i) {
    if (!mFleet.Nodes()[i].mAlive) {
      mFleet.Start(i);
    }
  }
}

int FaultPlan::Draw(int aFrom, int aTo)
{
  return std::uniform_int_distribution<int>(aFrom, aTo)(mFleet.Random());
}

void FaultPlan::After(timing::Duration aTime, std::function<void()> aEvent)
{
  mEnds.emplace(mFleet.Now() + aTime, std::move(aEvent));
}

}

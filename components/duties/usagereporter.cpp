#include "components/duties/usagereporter.hpp"

#include <iterator>
#include <utility>

namespace samphiresail::duties {

using std::chrono::milliseconds;

void UsageReporter::OnStoreRestored(timing::Duration aDelay, timing::Instant aNow)
{
  mRecords.clear();
  mRewriteFrom = aNow + aDelay;
  mReadsRestored = true;
  for (auto& [window, report] : mReports) {
    report.mLost = report.mState == State::Recorded || report.mState == State::Done;
  }
}

void UsageReporter::OnRecord(Window aWindow, const std::optional<std::string>& aBody)
{
  if (!aBody) {
    mRecords.erase(aWindow);
    return;
  }
  mRecords.insert(aWindow);
  mFirst = std::min(mFirst, aWindow);
  Report& report = mReports[aWindow];
  const bool mayDiffer = std::exchange(report.mLost, false) && !report.mInFlight &&
                         report.mState == State::Recorded;
  if (mayDiffer || report.mState == State::Open || report.mState == State::Unread) {
    report.mState = State::Recorded;
    report.mBody = *aBody;
    report.mBackoff = kMinBackoff;
  }
}

void UsageReporter::OnDoneBefore(Window aWindow, milliseconds aTime)
{
  if (aWindow <= aTime / mTerms.mWindow) {
    mDoneBefore = std::max(mDoneBefore, aWindow);
  }
}

Window UsageReporter::FirstOpen(milliseconds aTime) const
{
  return std::max({ mFirst, mDoneBefore, OldestOpen(aTime) });
}

bool UsageReporter::IsFixed(Window aWindow, milliseconds aTime) const
{
  return aWindow < FirstOpen(aTime) || mRecords.contains(aWindow);
}

Window UsageReporter::FirstNotDone(Window aFirst) const
{
  const auto isDone = [this](Window aWindow) {
    const auto it = mReports.find(aWindow);
    return it != mReports.end() && it->second.mState == State::Done;
  };
  while (isDone(aFirst)) {
    ++aFirst;
  }
  return aFirst;
}

std::vector<Window> UsageReporter::Expired(milliseconds aTime) const
{
  const milliseconds age = kKeepFactor * kGiveUpFactor * mTerms.mLate;
  std::vector<Window> expired;
  for (const Window window : mRecords) {
    if (expired.size() < kMaxDeletions && EndOf(window) + age < aTime) {
      expired.push_back(window);
    }
  }
  return expired;
}

std::vector<UsageReporter::Action> UsageReporter::Next(std::optional<std::int64_t> aToken,
                                                       milliseconds aTime,
                                                       timing::Instant aNow,
                                                       const Source& aSource)
{
  std::vector<Action> actions;
  mDoneBefore = std::max(mDoneBefore, FirstNotDone(FirstOpen(aTime)));
  const Window first = FirstOpen(aTime);
  for (auto it = mReports.begin(); it != mReports.end() && it->first < first;) {
    const State state = it->second.mState;
    if (it->first >= OldestOpen(aTime) &&
        (state == State::Recorded || state == State::Done)) {
      // Kept for a restore of the store that loses the record.
      it->second.mState = State::Done;
      ++it;
      continue;
    }
    if (state != State::Done && it->second.mLate) {
      actions.push_back({ Step::GiveUp, it->first, it->second.mBody, {}, 0 });
    }
    it = mReports.erase(it);
  }
  AppendLost(actions, aNow);
  if (!aToken || !MayUse(*aToken)) {
    return actions;
  }
  for (Window window = first; EndOf(window) + kSettleTime <= aTime; ++window) {
    Report& report = mReports[window];
    if (report.mState != State::Done && !report.mLate &&
        aTime > EndOf(window) + mTerms.mLate) {
      report.mLate = true;
      actions.push_back({ Step::Late, window, report.mBody, {}, 0 });
    }
    if (auto action = StepOf(window, report, aTime, aNow, aSource)) {
      report.mInFlight = true;
      actions.push_back(std::move(*action));
    }
  }
  return actions;
}

void UsageReporter::AppendLost(std::vector<Action>& aActions, timing::Instant aNow)
{
  if (mReadsRestored || aNow < mRewriteFrom) {
    return;
  }
  for (auto& [window, report] : mReports) {
    if (report.mLost && !report.mInFlight && aNow >= report.mNextAt) {
      report.mInFlight = true;
      aActions.push_back({ Step::Fix, window, report.mBody, {}, 0 });
    }
  }
}

std::optional<UsageReporter::Action> UsageReporter::StepOf(Window aWindow,
                                                           Report& aReport,
                                                           milliseconds aTime,
                                                           timing::Instant aNow,
                                                           const Source& aSource)
{
  if (aReport.mInFlight || aNow < aReport.mNextAt) {
    return std::nullopt;
  }
  switch (aReport.mState) {
    case State::Open:
      if (aTime < EndOf(aWindow) + mTerms.mLate - kFixMargin &&
          !aSource.mIsComplete(aWindow)) {
        return std::nullopt;
      }
      if (aReport.mBody.empty()) {
        aReport.mBody = aSource.mBody(aWindow);
      }
      return Action{ Step::Fix, aWindow, aReport.mBody, Expired(aTime), mDoneBefore };
    case State::Unread:
      return Action{ Step::Read, aWindow, {}, {}, 0 };
    case State::Recorded:
      if (aReport.mLost || aNow < mNextCallAt) {
        return std::nullopt;
      }
      mNextCallAt = aNow + mTerms.mCallInterval;
      return Action{ Step::Send, aWindow, aReport.mBody, {}, 0 };
    case State::Done:
      break;
  }
  return std::nullopt;
}

void UsageReporter::Retry(Report& aReport, timing::Instant aNow)
{
  aReport.mNextAt = aNow + aReport.mBackoff;
  aReport.mBackoff = std::min(2 * aReport.mBackoff, kMaxBackoff);
}

void UsageReporter::OnFixed(Window aWindow, timing::Instant aNow)
{
  const auto it = mReports.find(aWindow);
  if (it != mReports.end()) {
    OnExists(aWindow, it->second.mBody, aNow);
  }
}

void UsageReporter::OnExists(Window aWindow,
                             const std::optional<std::string>& aBody,
                             timing::Instant aNow)
{
  const auto it = mReports.find(aWindow);
  if (it == mReports.end()) {
    return;
  }
  Report& report = it->second;
  report.mInFlight = false;
  report.mNextAt = aNow;
  if (aBody) {
    OnRecord(aWindow, aBody);
  } else if (report.mState == State::Open) {
    report.mState = State::Unread;
  } else if (report.mLost) {
    Retry(report, aNow);
  }
}

void UsageReporter::OnStoreFailed(Window aWindow, timing::Instant aNow)
{
  const auto it = mReports.find(aWindow);
  if (it == mReports.end()) {
    return;
  }
  it->second.mInFlight = false;
  if (it->second.mState == State::Unread) {
    // The record may have been deleted since; creating it again tells.
    it->second.mState = State::Open;
  }
  Retry(it->second, aNow);
}

void UsageReporter::OnSent(Window aWindow,
                           ReportOutcome aOutcome,
                           std::int64_t aToken,
                           timing::Instant aNow)
{
  if (aOutcome == ReportOutcome::Fenced) {
    mFencedToken = std::max(mFencedToken, aToken);
  }
  const auto it = mReports.find(aWindow);
  if (it == mReports.end()) {
    return;
  }
  it->second.mInFlight = false;
  if (aOutcome == ReportOutcome::Accepted) {
    it->second.mState = State::Done;
  } else {
    Retry(it->second, aNow);
  }
}

}

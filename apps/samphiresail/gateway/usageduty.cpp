#include "apps/samphiresail/gateway/usageduty.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "apps/samphiresail/gateway/recordkeys.hpp"
#include "components/gateway/peercodec.hpp"

namespace samphiresail::gatewayapp {

namespace asio = boost::asio;
using duties::ReportOutcome;
using duties::UsageReporter;
using duties::Window;
using std::chrono::milliseconds;

namespace {

/// Interval at which the counts are sent.
constexpr milliseconds kSendInterval{ 500 };
/// Entries besides the leader that keep replicas of the counts.
constexpr std::size_t kReplicas = 2;
/// Time without a message after which an entry whose registration has ended is not waited
/// for.
constexpr milliseconds kLeftSilence{ 1500 };
/// Age of a window from which its report is overdue, as reports are recorded a few
/// hundred milliseconds after the counts of a window are complete.
constexpr milliseconds kOverdue = 2 * UsageDuty::kMaxBackdating;
/// Size of the rows of a message, in bytes, well below the largest datagram, and of a row
/// and an item besides their names.
constexpr std::size_t kMaxMessageBytes = 32U << 10U;
constexpr std::size_t kItemBytes = 32;

metrics::Counter AddWindows(metrics::Registry& aRegistry, const std::string& aOutcome)
{
  return aRegistry.AddCounter("samphiresail_usage_windows_total",
                              "Windows of usage, by what became of their report",
                              { { "outcome", aOutcome } });
}

std::string Names(const std::vector<ids::ProcessId>& aProcesses)
{
  std::string names;
  for (const ids::ProcessId& process : aProcesses) {
    names.append(names.empty() ? "" : " ").append(process.Str());
  }
  return names;
}

std::string_view NameOf(ReportOutcome aOutcome)
{
  switch (aOutcome) {
    case ReportOutcome::Accepted:
      return "accepted";
    case ReportOutcome::Fenced:
      return "fenced";
    case ReportOutcome::Throttled:
      return "throttled";
    case ReportOutcome::Rejected:
      return "rejected";
    case ReportOutcome::Unknown:
      return "unknown";
    case ReportOutcome::NotSent:
      return "not sent";
  }
  return "";
}

}

UsageDuty::UsageDuty(Context aContext,
                     duties::UsageTerms aTerms,
                     ids::ProcessId aOwn,
                     std::uint64_t aIncarnation)
  : mContext(std::move(aContext))
  , mTerms(aTerms)
  , mOwn(aOwn)
  , mIncarnation(aIncarnation)
  , mTime(aTerms.mWindow)
  , mCounter(std::move(aOwn), aIncarnation)
  , mReporter(aTerms,
              std::chrono::duration_cast<milliseconds>(
                mContext.mClock.WallNow().time_since_epoch()) /
                aTerms.mWindow)
  , mFixed(AddWindows(mContext.mRegistry, "fixed"))
  , mSent(AddWindows(mContext.mRegistry, "sent"))
  , mLate(AddWindows(mContext.mRegistry, "late"))
  , mGivenUp(AddWindows(mContext.mRegistry, "given_up"))
{
  SampleTime(mContext.mClock.Now());
}

void UsageDuty::SampleTime(timing::Instant aNow)
{
  const timing::Instant before = mContext.mClock.Now();
  const timing::WallTime wall = mContext.mClock.WallNow();
  const timing::Instant after = mContext.mClock.Now();
  const auto log = [this](std::string_view aMessage, timing::Duration aBy) {
    mContext.mLogger.Warn(
      aMessage, { { "by_ms", std::chrono::duration_cast<milliseconds>(aBy).count() } });
  };
  if (const auto jump = mTime.Sample(before, wall, after)) {
    log("wall clock jumped; usage does not follow it", *jump);
  }
  if (const auto correction = mTime.Check(aNow)) {
    log("time for usage corrected after the other entries", *correction);
  }
}

void UsageDuty::Count(const ids::ClientAccountId& aAccount, timing::Instant aBegan)
{
  const timing::Instant now = mContext.mClock.Now();
  mCounter.Count(aAccount, mTime.WindowAt(std::max(aBegan, now - kMaxBackdating)));
}

void UsageDuty::OnReport(const gateway::PeerReport& aReport, timing::Instant aNow)
{
  // The sums of a zone are passed on, and so come later than they were sent.
  if (aReport.mTrueTime.count() > 0 && aReport.mZone.Empty()) {
    mTime.OnPeerTime(aReport.mProcess, aReport.mTrueTime, aNow);
  }
  const Window first = mReporter.FirstOpen(mTime.At(aNow));
  for (const duties::UsageRow& row : aReport.mUsage.mRows) {
    if (row.mWindow >= first && !mReporter.IsFixed(row.mWindow, mTime.At(aNow))) {
      mLedger.Merge(row);
    }
  }
  if (aReport.mUsage.mCompleteBefore > 0) {
    mLedger.OnHeard(
      aReport.mProcess, aReport.mIncarnation, aReport.mUsage.mCompleteBefore, aNow);
  }
}

void UsageDuty::OnRecord(const std::string& aKey,
                         const std::optional<std::string>& aValue)
{
  if (const auto window = UsageWindowOf(aKey)) {
    mReporter.OnRecord(*window, aValue);
  } else if (const auto done = ParseWindow(aValue.value_or(std::string()));
             done && aKey == kUsageDoneKey) {
    mReporter.OnDoneBefore(*done, mTime.At(mContext.mClock.Now()));
  }
}

void UsageDuty::RetainRecords(const std::set<std::string>& aKeys)
{
  std::set<Window> windows;
  for (const std::string& key : aKeys) {
    if (const auto window = UsageWindowOf(key)) {
      windows.insert(*window);
    }
  }
  mReporter.RetainRecords(windows);
}

void UsageDuty::Tick(timing::Instant aNow, const ids::ProcessId& aLeader, bool aStopping)
{
  SampleTime(aNow);
  const Window complete = mCounter.CompleteBefore();
  mCounter.Complete(mTime.WindowAt(aNow - kMaxBackdating));
  ForgetFixed(aNow);
  // The report of a window that has just become complete waits for its counts.
  if (aNow >= mNextSend || mCounter.CompleteBefore() != complete) {
    SendCounts(aNow, aLeader);
  }
  Hold(aNow, aStopping);
}

void UsageDuty::SendLast(timing::Instant aNow, const ids::ProcessId& aLeader)
{
  // Nothing is counted any more, so the window that runs is complete as well.
  mCounter.Complete(mTime.WindowAt(aNow) + 1);
  SendCounts(aNow, aLeader);
}

void UsageDuty::ForgetFixed(timing::Instant aNow)
{
  const milliseconds time = mTime.At(aNow);
  const Window first = mReporter.FirstOpen(time);
  mCounter.ForgetBefore(first);
  mLedger.ForgetBefore(first);
  mMissing.erase(mMissing.begin(), mMissing.lower_bound(first));
  for (Window window = first; window <= mTime.WindowOf(time); ++window) {
    if (mReporter.IsFixed(window, time)) {
      mCounter.Forget(window);
      mLedger.Forget(window);
    }
  }
}

void UsageDuty::MergeOwn(timing::Instant aNow)
{
  for (const duties::UsageRow& row : mCounter.Rows()) {
    mLedger.Merge(row);
  }
  mLedger.OnHeard(mOwn, mIncarnation, mCounter.CompleteBefore(), aNow);
}

void UsageDuty::SendCounts(timing::Instant aNow, const ids::ProcessId& aLeader)
{
  mNextSend = aNow + kSendInterval;
  MergeOwn(aNow);
  const std::vector<duties::UsageRow> rows = mCounter.Rows();
  for (const auto& [process, address] :
       mContext.mPeers.StrongestEntries(kReplicas, aLeader)) {
    SendRows(rows, aNow, address);
  }
  if (const auto leader = mContext.mPeers.AddressOf(aLeader)) {
    std::vector<ids::ProcessId> present = mContext.mPeers.Registered();
    present.push_back(mOwn);
    std::vector<duties::UsageRow> all =
      mLedger.RowsToForward(present, mTime.WindowAt(aNow - kOverdue));
    std::erase_if(all, [this](const auto& aRow) {
      return aRow.mProcess == mOwn && aRow.mIncarnation == mIncarnation;
    });
    all.insert(all.end(), rows.begin(), rows.end());
    SendRows(all, aNow, *leader);
  }
}

void UsageDuty::SendRows(const std::vector<duties::UsageRow>& aRows,
                         timing::Instant aNow,
                         const settings::SocketAddress& aTo)
{
  gateway::PeerReport message;
  message.mProcess = mOwn;
  message.mIncarnation = mIncarnation;
  message.mNotice = true;
  message.mTrueTime = mTime.At(aNow);
  message.mUsage.mCompleteBefore = mCounter.CompleteBefore();
  // Every message has the totals of this entry's rows, so that a lost part is noticed.
  std::vector<duties::UsageRow> totals;
  for (const duties::UsageRow& row : aRows) {
    if (row.mProcess == mOwn && row.mIncarnation == mIncarnation) {
      totals.push_back({ row.mProcess, row.mIncarnation, row.mWindow, row.mTotal, {} });
    }
  }
  std::size_t bytes = 0;
  message.mUsage.mRows = totals;
  const auto flush = [&] {
    mContext.mSend(gateway::EncodePeerReport(message), aTo);
    message.mUsage.mRows = totals;
    bytes = 0;
  };
  for (const duties::UsageRow& row : aRows) {
    const duties::UsageRow header{
      row.mProcess, row.mIncarnation, row.mWindow, row.mTotal, {}
    };
    message.mUsage.mRows.push_back(header);
    bytes += kItemBytes + row.mProcess.Str().size();
    for (const auto& [account, count] : row.mCounts) {
      if (bytes > kMaxMessageBytes) {
        flush();
        message.mUsage.mRows.push_back(header);
      }
      message.mUsage.mRows.back().mCounts.emplace(account, count);
      bytes += kItemBytes + account.size();
    }
  }
  flush();
}

std::vector<ids::ProcessId> UsageDuty::Awaited(timing::Instant aNow) const
{
  std::vector<ids::ProcessId> awaited = mContext.mPeers.Registered();
  for (const ids::ProcessId& heard : mLedger.HeardSince(aNow - kLeftSilence)) {
    if (std::ranges::count(awaited, heard) == 0) {
      awaited.push_back(heard);
    }
  }
  return awaited;
}

void UsageDuty::Hold(timing::Instant aNow, bool aStopping)
{
  std::optional<std::int64_t> token = mContext.mLeadership.Token(aNow);
  if (token && !mReporter.MayUse(*token)) {
    // A leader without the duty would keep all others from it.
    mContext.mLeadership.OnFenced(aNow);
  }
  if (aStopping || (token && !mReporter.MayUse(*token))) {
    token.reset();
  }
  if (token != mToken) {
    mContext.mLogger.Info(token ? "usage duty begins" : "usage duty ends",
                          { { "token", token.value_or(mToken.value_or(0)) } });
    mToken = token;
  }
  if (token) {
    MergeOwn(aNow);
    if (const auto first = mLedger.FirstWindow()) {
      mReporter.OnCountsFrom(*first);
    }
  }
  const std::vector<ids::ProcessId> awaited =
    token ? Awaited(aNow) : std::vector<ids::ProcessId>();
  const UsageReporter::Source source{
    [&](Window aWindow) { return mLedger.MissingFrom(aWindow, awaited).empty(); },
    [&](Window aWindow) {
      mMissing[aWindow] = Names(mLedger.MissingFrom(aWindow, awaited));
      return mContext.mPort.Encode(aWindow, mLedger.CountsOf(aWindow));
    }
  };
  for (auto& action : mReporter.Next(token, mTime.At(aNow), aNow, source)) {
    Execute(std::move(action), token.value_or(0));
  }
}

void UsageDuty::Execute(UsageReporter::Action aAction, std::int64_t aToken)
{
  switch (aAction.mStep) {
    case UsageReporter::Step::Fix:
      asio::co_spawn(mContext.mIo, Fix(std::move(aAction)), asio::detached);
      break;
    case UsageReporter::Step::Read:
      asio::co_spawn(mContext.mIo, Read(aAction.mWindow), asio::detached);
      break;
    case UsageReporter::Step::Send:
      asio::co_spawn(mContext.mIo, Send(std::move(aAction), aToken), asio::detached);
      break;
    case UsageReporter::Step::Late:
      mLate.Increment();
      mContext.mLogger.Warn("usage report is late",
                            { { "window", aAction.mWindow },
                              { "sum", SumIn(aAction.mBody) },
                              { "missing", mMissing[aAction.mWindow] } });
      break;
    case UsageReporter::Step::GiveUp:
      mGivenUp.Increment();
      mContext.mLogger.Error("usage report given up",
                             { { "window", aAction.mWindow },
                               { "sum", SumIn(aAction.mBody) },
                               { "missing", mMissing[aAction.mWindow] } });
      break;
  }
}

asio::awaitable<void> UsageDuty::Fix(UsageReporter::Action aAction)
{
  const std::string key = UsageKey(aAction.mWindow);
  store::TransactionRequest write;
  write.mCompares.push_back({ key, 0 });
  write.mWrites.emplace_back(store::PutOperation{ key, aAction.mBody, 0 });
  if (aAction.mDoneBefore > 0) {
    write.mWrites.emplace_back(store::PutOperation{
      std::string(kUsageDoneKey), std::to_string(aAction.mDoneBefore), 0 });
  }
  for (const Window expired : aAction.mExpired) {
    write.mWrites.emplace_back(store::DeleteOperation{ UsageKey(expired) });
  }
  store::StoreRequest request = std::move(write);
  const store::StoreReply reply =
    co_await mContext.mStore.Execute(std::move(request), kStoreTimeout);
  const timing::Instant now = mContext.mClock.Now();
  const auto log = [&](std::string_view aMessage, const std::string& aBody) {
    mContext.mLogger.Info(aMessage,
                          { { "window", aAction.mWindow },
                            { "sum", SumIn(aBody) },
                            { "missing", mMissing[aAction.mWindow] } });
  };
  if (reply.mOutcome != store::StoreOutcome::Answered) {
    mContext.mLogger.Warn("usage report not recorded; the store is asked again",
                          { { "window", aAction.mWindow } });
    mReporter.OnStoreFailed(aAction.mWindow, now);
  } else if (reply.mSucceeded) {
    mFixed.Increment();
    log("usage report fixed", aAction.mBody);
    mReporter.OnFixed(aAction.mWindow, now);
  } else {
    const auto record = std::ranges::find(reply.mRecords, key, &store::KeyValue::mKey);
    if (record == reply.mRecords.end()) {
      mReporter.OnExists(aAction.mWindow, std::nullopt, now);
    } else {
      log("usage report was recorded before", record->mValue);
      mReporter.OnExists(aAction.mWindow, record->mValue, now);
    }
  }
}

asio::awaitable<void> UsageDuty::Read(Window aWindow)
{
  const std::string key = UsageKey(aWindow);
  store::StoreRequest request = store::RangeRequest{ key, {}, 0 };
  const store::StoreReply reply =
    co_await mContext.mStore.Execute(std::move(request), kStoreTimeout);
  const timing::Instant now = mContext.mClock.Now();
  const auto record = std::ranges::find(reply.mRecords, key, &store::KeyValue::mKey);
  if (reply.mOutcome == store::StoreOutcome::Answered && record != reply.mRecords.end()) {
    mReporter.OnExists(aWindow, record->mValue, now);
  } else {
    mReporter.OnStoreFailed(aWindow, now);
  }
}

asio::awaitable<void> UsageDuty::Send(UsageReporter::Action aAction, std::int64_t aToken)
{
  const ReportOutcome outcome = co_await mContext.mPort.Send(aAction.mBody, aToken);
  const timing::Instant now = mContext.mClock.Now();
  mReporter.OnSent(aAction.mWindow, outcome, aToken, now);
  const milliseconds after = mTime.At(now) - mTime.EndOf(aAction.mWindow);
  const auto log = [&](auto aLevel, std::string_view aMessage) {
    (mContext.mLogger.*aLevel)(aMessage,
                               { { "window", aAction.mWindow },
                                 { "sum", SumIn(aAction.mBody) },
                                 { "missing", mMissing[aAction.mWindow] },
                                 { "after_ms", after.count() },
                                 { "token", aToken },
                                 { "outcome", NameOf(outcome) } });
  };
  if (outcome == ReportOutcome::Accepted) {
    mSent.Increment();
    log(&logging::Logger::Info, "usage report sent");
  } else {
    log(&logging::Logger::Warn, "usage report not accepted");
  }
  if (outcome == ReportOutcome::Fenced && mContext.mLeadership.Token(now) == aToken) {
    mContext.mLeadership.OnFenced(now);
  }
}

std::int64_t UsageDuty::SumIn(const std::string& aBody) const
{
  return static_cast<std::int64_t>(mContext.mPort.SumIn(aBody).value_or(0));
}

}

#ifndef SAMPHIRESAIL_APPS_TESTS_DUTIES_USAGEWORLD_HPP
#define SAMPHIRESAIL_APPS_TESTS_DUTIES_USAGEWORLD_HPP

#include <deque>
#include <random>
#include <sstream>

#include "apps/samphiresail/gateway/usageduty.hpp"
#include "components/frontend/signal.hpp"
#include "components/gateway/peercodec.hpp"

namespace samphiresail::duties::testing {

namespace asio = frontend::asio;
using namespace std::chrono_literals;
using gateway::Leadership;
using std::chrono::milliseconds;

inline constexpr milliseconds kEpoch{ 1'700'000'000'000 };
inline constexpr milliseconds kWindow{ 5000 };
inline constexpr milliseconds kLate{ 10'000 };
inline constexpr milliseconds kOrderLease{ 3000 };
inline constexpr milliseconds kCallTimeout{ 3000 };
inline constexpr milliseconds kTick{ 40 };
inline constexpr milliseconds kWatchDelay{ 400 };
inline const timing::Instant kBegin{ 1h };
inline const std::string kLeaderKey = "samphiresail/leader";
inline const std::string kEntryPrefix = "samphiresail/entries/";

/// A fleet whose entries run the real UsageDuty and Leadership, over a store, a network
/// and an interface of the platform in memory, on one clock.
struct World
{
  struct Entry;
  struct Record
  {
    std::string mValue;
    /// Revision at which it was written.
    std::int64_t mRevision{ 0 };
    std::int64_t mLease{ 0 };
  };
  struct Call
  {
    timing::Instant mEffectAt;
    std::int64_t mToken;
    std::string mHolder;
    std::string mBody;
  };
  struct Report
  {
    std::uint64_t mCount;
    milliseconds mAfterEnd;
  };

  explicit World(std::size_t aEntries, unsigned aSeed = 1);
  ~World();
  void Run(timing::Duration aTime);
  void Step();
  void Restart(std::size_t aEntry);
  void Lead(Entry& aEntry);
  void Apply(Entry& aEntry, const std::string& aKey, const std::optional<Record>& aTo);
  store::StoreReply Write(const store::TransactionRequest& aRequest);
  void Put(const std::string& aKey, const std::optional<Record>& aRecord);
  /// Sets the store back to aRecords and aRevision, and ends all leases. Every entry
  /// notices it within a second.
  void RestoreStore(std::map<std::string, Record> aRecords, std::int64_t aRevision);
  /// Has an entry notice the restore and read the store again.
  void NoticeRestore(Entry& aEntry);
  ReportOutcome Take(const Call& aCall);
  asio::awaitable<void> WaitUntil(const Entry& aEntry, timing::Instant aTime);
  Entry& At(std::size_t aEntry) { return *mEntries.at(aEntry - 1); }
  /// The entry that the leader's record names.
  std::size_t Leader() const
  {
    return std::stoul(mRecords.at(kLeaderKey).mValue.substr(6));
  }
  milliseconds TrueTime() const
  {
    return kEpoch + std::chrono::duration_cast<milliseconds>(mNow - kBegin);
  }
  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<double>()(mRandom) < aProbability;
  }
  /// The windows that are due and were not reported in time, or whose count deviates by
  /// more than the fraction, and all that broke a rule.
  std::string Wrong(double aTolerance) const;

  double mStoreLoss{ 0.0 };
  double mDatagramLoss{ 0.0 };
  /// Two entries that do not get each other's datagrams.
  std::pair<std::size_t, std::size_t> mCutOff;
  /// Calls take effect only then, although their senders have given them up.
  timing::Instant mApiSlowUntil{};
  /// The next entry that records a report is killed once the record is there.
  bool mKillAfterRecord{ false };
  std::string mFaults;
  std::map<Window, Report> mReports;
  /// Requests that ran.
  std::map<Window, std::uint64_t> mTruth;
  std::map<std::string, Record> mRecords;

  asio::io_context mIo{ 1 };
  frontend::Signal mStepped{ mIo };
  timing::Instant mNow{ kBegin };
  std::mt19937 mRandom;
  std::ostringstream mLog;
  logging::Logger mLogger{ "world", logging::Level::Info, mLog };
  std::int64_t mRevision{ 10 };
  store::StoreGeneration mGeneration{ 0 };
  std::map<std::int64_t, timing::Instant> mLeases;
  std::vector<Call> mCalls;
  std::int64_t mHighestToken{ 0 };
  std::map<std::int64_t, std::string> mHolders;
  std::vector<std::pair<timing::Instant, std::string>> mActs;
  /// Those killed are kept, since their coroutines refer to them.
  std::vector<std::unique_ptr<Entry>> mEntries, mDead;
};

struct World::Entry final
  : timing::Clock
  , store::AsyncStore
  , UsagePort
{
  Entry(World& aWorld, std::size_t aNumber)
    : mWorld(aWorld)
    , mNumber(aNumber)
    , mName("entry-" + std::to_string(aNumber))
    , mPeers(mName, aWorld.mNow)
  {
    const auto send = [this](const std::string& aBytes, const auto& aTo) {
      const std::size_t to = aTo.mPort;
      const bool cut = mWorld.mCutOff == std::pair(mNumber, to) ||
                       mWorld.mCutOff == std::pair(to, mNumber);
      if (!cut && !mWorld.Chance(mWorld.mDatagramLoss)) {
        mWorld.At(to).mInbox.push_back(aBytes);
      }
    };
    const gatewayapp::UsageDuty::Context context{ aWorld.mIo, *this,       aWorld.mLogger,
                                                  mRegistry,  *this,       *this,
                                                  mPeers,     mLeadership, send };
    const auto incarnation = static_cast<std::uint64_t>(aWorld.TrueTime().count());
    mDuty.emplace(context, UsageTerms{ kWindow, kLate, 100ms }, mName, incarnation);
    mLeadership.SetGeneration(aWorld.mGeneration);
    for (const auto& [key, record] : aWorld.mRecords) {
      mEvents.push_back({ aWorld.mNow, key, record });
    }
  }

  timing::Instant Now() const override { return mWorld.mNow; }
  timing::WallTime WallNow() const override
  {
    return timing::WallTime(mWorld.TrueTime() + mJump);
  }
  asio::awaitable<store::StoreReply> Execute(store::StoreRequest aRequest,
                                             milliseconds) override
  {
    co_await mWorld.WaitUntil(*this, mWorld.mNow);
    store::StoreReply reply = mWorld.Write(std::get<store::TransactionRequest>(aRequest));
    mDead = mDead || (reply.mSucceeded && std::exchange(mWorld.mKillAfterRecord, false));
    if (mWorld.Chance(mWorld.mStoreLoss)) {
      reply = { store::StoreOutcome::Unknown };
    }
    co_await mWorld.WaitUntil(*this, mWorld.mNow + kTick);
    co_return reply;
  }
  std::string Encode(Window aWindow, const UsageCounts& aCounts) const override
  {
    return std::to_string(aWindow) + " " + std::to_string(SumOf(aCounts));
  }
  std::optional<std::uint64_t> SumIn(const std::string&) const override { return 0; }
  asio::awaitable<ReportOutcome> Send(std::string aBody, std::int64_t aToken) override
  {
    // A process that was stopped before it wrote sends the call when it resumes.
    co_await mWorld.WaitUntil(*this, mWorld.mNow);
    const Call call{
      std::max(mWorld.mNow, mWorld.mApiSlowUntil), aToken, mName.Str(), aBody
    };
    if (call.mEffectAt > mWorld.mNow + kCallTimeout) {
      mWorld.mCalls.push_back(call);
      co_await mWorld.WaitUntil(*this, mWorld.mNow + kCallTimeout);
      co_return ReportOutcome::Unknown;
    }
    co_await mWorld.WaitUntil(*this, call.mEffectAt);
    co_return mWorld.Take(call);
  }

  struct Event
  {
    timing::Instant mAt;
    std::string mKey;
    std::optional<Record> mRecord;
  };

  World& mWorld;
  std::size_t mNumber;
  ids::ProcessId mName;
  bool mDead{ false };
  bool mFrozen{ false };
  /// What the wall clock is ahead.
  milliseconds mJump{ 0 };
  metrics::Registry mRegistry;
  gateway::PeerTable mPeers;
  Leadership mLeadership{ kOrderLease + 300ms, false, mName, 1 };
  /// When it notices the restore of the store; none if it has.
  std::optional<timing::Instant> mNoticesRestoreAt;
  std::optional<gatewayapp::UsageDuty> mDuty;
  std::deque<std::string> mInbox;
  std::deque<Event> mEvents;
  ids::ProcessId mLeader;
};

inline World::World(std::size_t aEntries, unsigned aSeed)
  : mRandom(aSeed)
{
  for (std::size_t i = 1; i <= aEntries; ++i) {
    mEntries.push_back(std::make_unique<Entry>(*this, i));
  }
}

inline World::~World() = default;

inline asio::awaitable<void> World::WaitUntil(const Entry& aEntry, timing::Instant aTime)
{
  while (aEntry.mDead || aEntry.mFrozen || mNow < aTime) {
    co_await mStepped.Wait();
  }
}

inline void World::Restart(std::size_t aEntry)
{
  At(aEntry).mDead = true;
  auto next = std::make_unique<Entry>(*this, aEntry);
  mDead.push_back(std::exchange(mEntries[aEntry - 1], std::move(next)));
}

inline void World::Put(const std::string& aKey, const std::optional<Record>& aRecord)
{
  if (aRecord) {
    mRecords[aKey] = *aRecord;
  } else {
    mRecords.erase(aKey);
  }
  for (const auto& entry : mEntries) {
    entry->mEvents.push_back({ mNow + kWatchDelay, aKey, aRecord });
  }
}

inline store::StoreReply World::Write(const store::TransactionRequest& aRequest)
{
  store::StoreReply reply{ store::StoreOutcome::Answered, true };
  for (const store::Compare& compare : aRequest.mCompares) {
    const auto it = mRecords.find(compare.mKey);
    const bool present = it != mRecords.end();
    reply.mSucceeded =
      reply.mSucceeded && (present ? it->second.mRevision : 0) == compare.mModRevision;
    if (present) {
      const Record& record = it->second;
      reply.mRecords.push_back(
        { it->first, record.mValue, record.mRevision, record.mRevision, record.mLease });
    }
  }
  reply.mRevision = ++mRevision;
  for (const store::WriteOperation& write : aRequest.mWrites) {
    if (const auto* put = std::get_if<store::PutOperation>(&write)) {
      if (reply.mSucceeded) {
        Put(put->mKey, Record{ put->mValue, mRevision, put->mLease });
      }
    } else if (reply.mSucceeded) {
      Put(std::get<store::DeleteOperation>(write).mKey, std::nullopt);
    }
  }
  return reply;
}

inline void World::RestoreStore(std::map<std::string, Record> aRecords,
                                std::int64_t aRevision)
{
  std::erase_if(aRecords, [](const auto& aRow) { return aRow.second.mLease != 0; });
  mRecords = std::move(aRecords);
  mRevision = aRevision;
  mLeases.clear();
  ++mGeneration;
  std::uniform_int_distribution<int> delay(0, 1000);
  for (const auto& entry : mEntries) {
    // What the watch reports from now on is the restored store's.
    entry->mEvents.clear();
    entry->mNoticesRestoreAt = mNow + milliseconds(delay(mRandom));
  }
}

inline void World::NoticeRestore(Entry& aEntry)
{
  aEntry.mNoticesRestoreAt.reset();
  aEntry.mLeadership.OnStoreRestored(mGeneration, 0ms, mNow);
  aEntry.mDuty->OnStoreRestored(100ms * aEntry.mNumber, mNow);
  aEntry.mEvents.clear();
  std::set<std::string> keys;
  for (const auto& [key, record] : mRecords) {
    keys.insert(key);
    Apply(aEntry, key, record);
  }
  if (!keys.contains(kLeaderKey)) {
    aEntry.mLeadership.OnLeaderRecord({});
  }
  aEntry.mDuty->RetainRecords(keys);
}

inline ReportOutcome World::Take(const Call& aCall)
{
  if (aCall.mToken < mHighestToken) {
    return ReportOutcome::Fenced;
  }
  mHighestToken = aCall.mToken;
  if (mHolders.emplace(aCall.mToken, aCall.mHolder).first->second != aCall.mHolder) {
    mFaults += "token of two holders; ";
  }
  if (!mActs.empty() && mActs.back().second != aCall.mHolder &&
      std::ranges::any_of(mActs, [&](const auto& aAct) {
        return aAct.second == aCall.mHolder && aAct.first + kOrderLease > mNow;
      })) {
    mFaults += "holder acts again within the lease; ";
  }
  mActs.emplace_back(mNow, aCall.mHolder);
  std::istringstream body(aCall.mBody);
  Window window = 0;
  std::uint64_t count = 0;
  body >> window >> count;
  const Report report{ count, TrueTime() - (window + 1) * kWindow };
  const auto [it, added] = mReports.emplace(window, report);
  if (!added && it->second.mCount != count) {
    mFaults += "two reports of window " + std::to_string(window) + "; ";
  }
  return ReportOutcome::Accepted;
}

inline void World::Lead(Entry& aEntry)
{
  Leadership& leadership = aEntry.mLeadership;
  const std::int64_t lease = leadership.Lease();
  switch (leadership.Next(mNow)) {
    case Leadership::Step::GrantLease:
      mLeases[++mRevision] = mNow + Leadership::kLeaseTimeToLive;
      leadership.OnLeaseGranted(mRevision, Leadership::kLeaseTimeToLive, mNow, mNow);
      break;
    case Leadership::Step::KeepLease:
      if (mLeases.contains(lease)) {
        mLeases[lease] = mNow + Leadership::kLeaseTimeToLive;
        leadership.OnLeaseKept(mNow);
      } else {
        leadership.OnLeaseLost();
      }
      break;
    case Leadership::Step::WriteMember:
      Put(kEntryPrefix + aEntry.mName.Str(), Record{ "", ++mRevision, lease });
      leadership.OnMemberWritten();
      break;
    case Leadership::Step::CreateLeader: {
      const store::PutOperation put{ kLeaderKey,
                                     gateway::FormatLeaderClaim(leadership.OwnClaim()),
                                     lease };
      const auto reply =
        Write({ { { kLeaderKey, leadership.ReplacedRevision() } }, { put } });
      if (reply.mSucceeded && !Chance(mStoreLoss)) {
        leadership.OnLeaderCreated(reply.mRevision, mNow);
      } else {
        leadership.OnStepFailed(mNow);
      }
      break;
    }
    case Leadership::Step::None:
      break;
  }
}

inline void World::Apply(Entry& aEntry,
                         const std::string& aKey,
                         const std::optional<Record>& aTo)
{
  const Record record = aTo.value_or(Record{});
  if (aKey == kLeaderKey) {
    const gateway::LeaderClaim claim = gateway::ParseLeaderClaim(record.mValue);
    aEntry.mLeader = claim.mProcess;
    aEntry.mLeadership.OnLeaderRecord(
      { aTo.has_value(), claim, record.mLease, record.mRevision });
  } else if (!aKey.starts_with(kEntryPrefix)) {
    aEntry.mDuty->OnRecord(aKey, aTo ? std::optional(aTo->mValue) : std::nullopt);
  } else if (const ids::ProcessId name(aKey.substr(kEntryPrefix.size())); aTo) {
    const auto port = static_cast<std::uint16_t>(std::stoul(name.Str().substr(6)));
    aEntry.mPeers.Register(name, { "127.0.0.1", port }, 1.0, mNow);
  } else {
    aEntry.mPeers.Unregister(name, mNow);
  }
}

inline void World::Step()
{
  mNow += kTick;
  std::erase_if(mLeases, [this](const auto& aLease) { return aLease.second <= mNow; });
  for (const auto& [key, record] : std::map(mRecords)) {
    if (record.mLease != 0 && !mLeases.contains(record.mLease)) {
      Put(key, std::nullopt);
    }
  }
  std::erase_if(mCalls, [this](const Call& aCall) {
    return aCall.mEffectAt <= mNow && (Take(aCall), true);
  });
  for (const auto& entry : mEntries) {
    if (entry->mDead || entry->mFrozen) {
      continue;
    }
    if (entry->mNoticesRestoreAt && *entry->mNoticesRestoreAt <= mNow) {
      NoticeRestore(*entry);
    }
    for (; !entry->mEvents.empty() && entry->mEvents.front().mAt <= mNow;
         entry->mEvents.pop_front()) {
      Apply(*entry, entry->mEvents.front().mKey, entry->mEvents.front().mRecord);
    }
    if (!mRecords.contains(kLeaderKey) && entry->mEvents.empty()) {
      entry->mLeadership.OnLeaderRecord({});
    }
    for (; !entry->mInbox.empty(); entry->mInbox.pop_front()) {
      entry->mDuty->OnReport(*gateway::DecodePeerReport(entry->mInbox.front()), mNow);
    }
    entry->mPeers.Tick(mNow);
    Lead(*entry);
    entry->mDuty->Count(ids::ClientAccountId("account"), mNow);
    ++mTruth[TrueTime() / kWindow];
    entry->mDuty->Tick(mNow, entry->mLeader, false);
  }
  mStepped.Notify();
  mIo.restart();
  mIo.poll();
}

inline void World::Run(timing::Duration aTime)
{
  for (const timing::Instant end = mNow + aTime; mNow < end;) {
    Step();
  }
}

inline std::string World::Wrong(double aTolerance) const
{
  std::string wrong = mFaults;
  for (const auto& [window, truth] : mTruth) {
    if ((window + 1) * kWindow + kLate >= TrueTime()) {
      break;
    }
    const auto it = mReports.find(window);
    const Report report = it == mReports.end() ? Report{ 0, 1h } : it->second;
    const auto part = static_cast<double>(report.mCount) / static_cast<double>(truth);
    if (report.mAfterEnd > kLate || std::abs(part - 1.0) > aTolerance) {
      wrong += std::to_string(window) + ": " + std::to_string(part) + " after " +
               std::to_string(report.mAfterEnd.count()) + " ms; ";
    }
  }
  return wrong;
}

}

#endif

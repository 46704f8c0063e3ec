#include "apps/tests/duties/usageworld.hpp"

#include <algorithm>

#include "components/gateway/peercodec.hpp"

namespace samphiresail::duties::testing {

namespace asio = frontend::asio;
using namespace std::chrono_literals;
using gateway::Leadership;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kEpoch{ 1'700'000'000'000 };
constexpr milliseconds kLate{ 10'000 };
constexpr milliseconds kOrderLease{ 3000 };
constexpr milliseconds kCallTimeout{ 3000 };
constexpr timing::Duration kWatchDelay = 400ms;
constexpr timing::Duration kStoreDelay = 4ms;
const std::string kLeaderKey = "samphiresail/leader";
const std::string kEntryPrefix = "samphiresail/entries/";

}

struct World::Entry final
  : timing::Clock
  , store::AsyncStore
  , UsagePort
{
  Entry(World& aWorld, std::string aName)
    : mWorld(aWorld)
    , mName(std::move(aName))
    , mPeers(mName, aWorld.mNow)
  {
    mDuty.emplace(
      gatewayapp::UsageDuty::Context{
        aWorld.mIo,
        *this,
        aWorld.mLogger,
        mRegistry,
        *this,
        *this,
        mPeers,
        mLeadership,
        [this](const std::string& aBytes, const settings::SocketAddress& aTo) {
          const std::size_t to = aTo.mPort;
          const std::size_t own = std::stoul(mName.Str().substr(6));
          const bool cut =
            mWorld.mCutOff == std::pair(own, to) || mWorld.mCutOff == std::pair(to, own);
          if (!cut && !mWorld.Chance(mWorld.mDatagramLoss)) {
            mWorld.mEntries.at(to - 1)->mInbox.push_back(aBytes);
          }
        } },
      UsageTerms{ kWindow, kLate, 100ms },
      mName,
      static_cast<std::uint64_t>(aWorld.mNow.time_since_epoch().count()));
    for (const auto& [key, record] : aWorld.mRecords) {
      mEvents.push_back({ aWorld.mNow, key, record });
    }
  }

  timing::Instant Now() const override { return mWorld.mNow; }
  timing::WallTime WallNow() const override
  {
    return timing::WallTime(
      std::chrono::duration_cast<timing::WallTime::duration>(mWorld.TrueTime() + mJump));
  }
  asio::awaitable<store::StoreReply> Execute(store::StoreRequest aRequest,
                                             milliseconds) override
  {
    const auto request = std::get<store::TransactionRequest>(aRequest);
    co_await mWorld.WaitUntil(*this, mWorld.mNow + kStoreDelay);
    store::StoreReply reply = mWorld.Apply(request);
    if (mWorld.mKillAfterRecord && reply.mSucceeded) {
      mWorld.mKillAfterRecord = false;
      mDead = true;
    }
    if (mWorld.Chance(mWorld.mStoreLoss)) {
      reply = { store::StoreOutcome::Unknown };
    }
    co_await mWorld.WaitUntil(*this, mWorld.mNow + kStoreDelay);
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
  ids::ProcessId mName;
  bool mDead{ false };
  bool mFrozen{ false };
  timing::Duration mJump{ 0 };
  metrics::Registry mRegistry;
  gateway::PeerTable mPeers;
  Leadership mLeadership{ kOrderLease + 300ms, false };
  std::optional<gatewayapp::UsageDuty> mDuty;
  std::deque<std::string> mInbox;
  std::deque<Event> mEvents;
  ids::ProcessId mLeader;
};

World::World(std::size_t aEntries, unsigned aSeed)
  : mRandom(aSeed)
  , mLogger("world", logging::Level::Info, mLog)
{
  for (std::size_t i = 1; i <= aEntries; ++i) {
    mEntries.push_back(std::make_unique<Entry>(*this, "entry-" + std::to_string(i)));
  }
}

World::~World() = default;

bool World::Chance(double aProbability)
{
  return std::uniform_real_distribution<double>()(mRandom) < aProbability;
}

milliseconds World::TrueTime() const
{
  return kEpoch + std::chrono::duration_cast<milliseconds>(mNow.time_since_epoch() - 1h);
}

asio::awaitable<void> World::WaitUntil(const Entry& aEntry, timing::Instant aTime)
{
  while (aEntry.mDead || aEntry.mFrozen || mNow < aTime) {
    co_await mStepped.Wait();
  }
}

void World::Put(const std::string& aKey, const std::optional<Record>& aRecord)
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

store::StoreReply World::Apply(const store::TransactionRequest& aRequest)
{
  store::StoreReply reply{ store::StoreOutcome::Answered, true };
  for (const store::Compare& compare : aRequest.mCompares) {
    // All comparisons of the duty and of the leader are for absence.
    if (const auto it = mRecords.find(compare.mKey); it != mRecords.end()) {
      reply.mSucceeded = false;
      const auto& [key, record] = *it;
      reply.mRecords.push_back(
        { key, record.mValue, record.mCreated, record.mCreated, record.mLease });
    }
  }
  if (!reply.mSucceeded) {
    return reply;
  }
  reply.mRevision = ++mRevision;
  for (const store::WriteOperation& write : aRequest.mWrites) {
    if (const auto* put = std::get_if<store::PutOperation>(&write)) {
      Put(put->mKey, Record{ put->mValue, mRevision, put->mLease });
    } else {
      Put(std::get<store::DeleteOperation>(write).mKey, std::nullopt);
    }
  }
  return reply;
}

ReportOutcome World::Take(const Call& aCall)
{
  if (aCall.mToken < mHighestToken) {
    ++mRejections;
    return ReportOutcome::Fenced;
  }
  mHighestToken = aCall.mToken;
  if (mHolders.emplace(aCall.mToken, aCall.mHolder).first->second != aCall.mHolder) {
    mFaults += "token of two holders; ";
  }
  if (!mActs.empty() && mActs.back().second != aCall.mHolder) {
    const bool again = std::ranges::any_of(mActs, [&](const auto& aAct) {
      return aAct.second == aCall.mHolder && aAct.first + kOrderLease > mNow;
    });
    mFaults += again ? "holder acts again within the lease; " : "";
  }
  mActs.emplace_back(mNow, aCall.mHolder);
  std::istringstream body(aCall.mBody);
  Window window = 0;
  std::uint64_t count = 0;
  body >> window >> count;
  const auto end = (window + 1) * kWindow;
  const auto [it, added] = mReports.emplace(window, Report{ count, TrueTime() - end });
  if (!added && it->second.mCount != count) {
    mFaults += "two reports of window " + std::to_string(window) + "; ";
  }
  return ReportOutcome::Accepted;
}

std::size_t World::Leader() const
{
  const auto it = mRecords.find(kLeaderKey);
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    if (it != mRecords.end() && mEntries[i]->mName.Str() == it->second.mValue) {
      return i + 1;
    }
  }
  return 0;
}

void World::Kill(std::size_t aEntry)
{
  mEntries.at(aEntry - 1)->mDead = true;
}

void World::Restart(std::size_t aEntry)
{
  auto& entry = mEntries.at(aEntry - 1);
  auto next = std::make_unique<Entry>(*this, entry->mName.Str());
  mDead.push_back(std::exchange(entry, std::move(next)));
}

void World::Freeze(std::size_t aEntry, bool aFrozen)
{
  mEntries.at(aEntry - 1)->mFrozen = aFrozen;
}

void World::RecordUnseen(Window aWindow, std::uint64_t aCount)
{
  mRecords["samphiresail/usage/" + std::to_string(aWindow)] = {
    std::to_string(aWindow) + " " + std::to_string(aCount), ++mRevision, 0
  };
}

void World::SetWallClockForward(std::size_t aEntry, timing::Duration aBy)
{
  mEntries.at(aEntry - 1)->mJump += aBy;
}

void World::Lead(Entry& aEntry)
{
  Leadership& leadership = aEntry.mLeadership;
  const std::int64_t lease = leadership.Lease();
  switch (leadership.Next(mNow)) {
    case Leadership::Step::GrantLease:
      mLeases[++mRevision] = mNow + Leadership::kLeaseTimeToLive;
      leadership.OnLeaseGranted(mRevision, Leadership::kLeaseTimeToLive, mNow);
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
      const auto reply =
        Apply({ { { kLeaderKey, 0 } },
                { store::PutOperation{ kLeaderKey, aEntry.mName.Str(), lease } } });
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

void World::Step()
{
  mNow += kTick;
  for (const auto& [lease, end] : std::map(mLeases)) {
    if (end <= mNow) {
      mLeases.erase(lease);
      for (const auto& [key, record] : std::map(mRecords)) {
        if (record.mLease == lease) {
          Put(key, std::nullopt);
        }
      }
    }
  }
  std::erase_if(mCalls, [this](const Call& aCall) {
    const bool now = aCall.mEffectAt <= mNow;
    if (now) {
      Take(aCall);
    }
    return now;
  });
  for (const auto& owned : mEntries) {
    Entry& entry = *owned;
    if (entry.mDead || entry.mFrozen) {
      continue;
    }
    while (!entry.mEvents.empty() && entry.mEvents.front().mAt <= mNow) {
      const Entry::Event event = entry.mEvents.front();
      entry.mEvents.pop_front();
      const auto& record = event.mRecord;
      if (event.mKey == kLeaderKey) {
        entry.mLeader = ids::ProcessId(record ? record->mValue : "");
        entry.mLeadership.OnLeaderRecord(
          record.has_value(), record ? record->mLease : 0, record ? record->mCreated : 0);
      } else if (event.mKey.starts_with(kEntryPrefix)) {
        const ids::ProcessId name(event.mKey.substr(kEntryPrefix.size()));
        const auto port = std::stoi(name.Str().substr(6));
        if (record) {
          entry.mPeers.Register(
            name, { "127.0.0.1", static_cast<std::uint16_t>(port) }, 1.0, mNow);
        } else {
          entry.mPeers.Unregister(name, mNow);
        }
      } else {
        entry.mDuty->OnRecord(event.mKey,
                              record ? std::optional(record->mValue) : std::nullopt);
      }
    }
    if (!mRecords.contains(kLeaderKey) && entry.mEvents.empty()) {
      entry.mLeadership.OnLeaderRecord(false, 0, 0);
    }
    for (; !entry.mInbox.empty(); entry.mInbox.pop_front()) {
      if (const auto report = gateway::DecodePeerReport(entry.mInbox.front())) {
        entry.mDuty->OnReport(*report, mNow);
      }
    }
    entry.mPeers.Tick(mNow);
    Lead(entry);
    entry.mDuty->Count(ids::ClientAccountId("account"), mNow);
    ++mTruth[TrueTime() / kWindow];
    entry.mDuty->Tick(mNow, entry.mLeader, false);
  }
  mStepped.Notify();
  mIo.restart();
  mIo.poll();
}

void World::Run(timing::Duration aTime)
{
  for (const timing::Instant end = mNow + aTime; mNow < end;) {
    Step();
  }
}

std::string World::Wrong(double aTolerance, timing::Duration aBefore) const
{
  const auto last =
    (TrueTime() - std::chrono::duration_cast<milliseconds>(aBefore)) / kWindow;
  std::string wrong;
  for (const auto& [window, truth] : mTruth) {
    const auto report = mReports.find(window);
    if (window >= last) {
      break;
    }
    const double count =
      report == mReports.end() ? 0.0 : static_cast<double>(report->second.mCount);
    const bool late = report == mReports.end() || report->second.mAfterEnd > kLate;
    if (late || std::abs(count / static_cast<double>(truth) - 1.0) > aTolerance) {
      wrong += std::to_string(window) + (late ? " late" : "") + ": " +
               std::to_string(count) + " of " + std::to_string(truth) + "; ";
    }
  }
  return wrong;
}

}

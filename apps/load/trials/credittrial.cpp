#include "apps/load/trials/credittrial.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include "apps/load/trials/eventqueue.hpp"
#include "components/limits/creditpool.hpp"
#include "components/limits/creditrequester.hpp"
#include "components/limits/shareholder.hpp"
#include "components/limits/shareplanner.hpp"

namespace samphiresail::load {

namespace {

using namespace std::chrono_literals;
using units::Tokens;

constexpr timing::Duration kOneWay = 1500us;
constexpr timing::Duration kTick = 10ms;
constexpr timing::Duration kCreditWait = 250ms;
constexpr timing::Duration kGrantLife = 2s;
constexpr double kRate = 60000.0;
constexpr std::int64_t kBurst = 240000;
constexpr std::size_t kHolders = 3;
const ids::ClientAccountId kAccount("account");

struct Request
{
  timing::Instant mAt;
  std::size_t mEntry{ 0 };
  std::int64_t mCharge{ 0 };
  std::int64_t mUsed{ 0 };
  timing::Duration mService{ 0 };
  bool mInside{ false };
};

/// Token bucket that serves as the ideal and as the observer.
class Bucket
{
public:
  explicit Bucket(timing::Instant aStart)
    : mLast(aStart)
  {
  }

  /// Returns the tokens in use after those that drained up to aNow.
  double Use(timing::Instant aNow)
  {
    const std::chrono::duration<double> elapsed = aNow - mLast;
    mUse = std::max(mUse - elapsed.count() * kRate, 0.0);
    mLast = aNow;
    return mUse;
  }
  void Add(timing::Instant aNow, std::int64_t aTokens)
  {
    mUse = std::max(Use(aNow) + static_cast<double>(aTokens), 0.0);
  }

private:
  timing::Instant mLast;
  double mUse{ 0.0 };
};

std::size_t EntryOf(const CreditTrialOptions& aOptions,
                    timing::Duration aTime,
                    std::mt19937_64& aGenerator)
{
  switch (aOptions.mSpread) {
    case Spread::Even:
      return aGenerator() % aOptions.mEntries;
    case Spread::One:
      return aOptions.mEntries - 1;
    case Spread::Wandering:
      break;
  }
  return static_cast<std::size_t>(aTime / 5s) % aOptions.mEntries;
}

/// Bursty arrivals: the intensity alternates between 0.4 and 1.6 of its mean.
std::vector<Request> MakeRequests(const CreditTrialOptions& aOptions,
                                  timing::Instant aStart)
{
  std::mt19937_64 generator(aOptions.mSeed);
  std::exponential_distribution<double> gap(1.0);
  std::exponential_distribution<double> phaseLength(1.0);
  constexpr double kMeanUsed = 450.0;
  const double mean = kRate * aOptions.mDemand / kMeanUsed;
  std::vector<Request> requests;
  double now = 0.0;
  double phaseEnd = 0.0;
  bool busy = false;
  while (now < aOptions.mSeconds) {
    if (now >= phaseEnd) {
      busy = !busy;
      phaseEnd = now + phaseLength(generator);
    }
    now += gap(generator) / (mean * (busy ? 1.6 : 0.4));
    Request request;
    const auto time =
      std::chrono::duration_cast<timing::Duration>(std::chrono::duration<double>(now));
    request.mAt = aStart + time;
    request.mEntry = EntryOf(aOptions, time, generator);
    const auto prompt = static_cast<std::int64_t>(50 + generator() % 400);
    const auto output = static_cast<std::int64_t>(50 + generator() % 350);
    request.mUsed = prompt + output;
    request.mCharge = prompt + 512;
    request.mService = std::chrono::milliseconds(output * 10);
    requests.push_back(request);
  }
  return requests;
}

/// Marks the requests that one central bucket admits, with the same wait and refunds.
void MarkInside(std::vector<Request>& aRequests, timing::Instant aStart)
{
  EventQueue events;
  Bucket bucket(aStart);
  for (Request& request : aRequests) {
    events.At(request.mAt, [&events, &bucket, &request] {
      auto attempt = std::make_shared<std::function<void()>>();
      *attempt = [&events, &bucket, &request, attempt] {
        const double use = bucket.Use(events.Now());
        if (use + static_cast<double>(request.mCharge) <= kBurst) {
          request.mInside = true;
          bucket.Add(events.Now(), request.mCharge);
          events.After(request.mService, [&events, &bucket, &request] {
            bucket.Add(events.Now(), request.mUsed - request.mCharge);
          });
        } else if (events.Now() < request.mAt + kCreditWait) {
          events.After(5ms, *attempt);
        }
      };
      (*attempt)();
    });
  }
  events.RunUntil(aStart + 1h);
}

struct Entry
{
  explicit Entry(std::size_t aNumber)
    : mName("entry-" + std::to_string(aNumber))
    , mRequester(kGrantLife)
    , mHolder(mName, units::Incarnation(1), { 2500ms, kGrantLife })
  {
  }

  ids::ProcessId mName;
  limits::CreditPool mPool;
  limits::CreditRequester mRequester;
  limits::ShareHolder mHolder;
  std::deque<Request*> mWaiting;
  bool mPlanScheduled{ false };
};

/// Entries with their credit cores, joined by messages with a delay.
class CreditFleet
{
public:
  CreditFleet(const CreditTrialOptions& aOptions, CreditTrialResult& aResult)
    : mOptions(aOptions)
    , mResult(aResult)
    , mObserver(mEvents.Now())
  {
    for (std::size_t it = 0; it < aOptions.mEntries; ++it) {
      mEntries.push_back(std::make_unique<Entry>(it));
    }
    AdoptRights();
  }

  void Run(std::vector<Request>& aRequests)
  {
    for (Request& request : aRequests) {
      mEvents.At(request.mAt, [this, &request] { Arrive(request); });
    }
    for (auto& entry : mEntries) {
      Tick(*entry);
    }
    mEvents.RunUntil(aRequests.back().mAt + 20s);
    const auto admitted = static_cast<double>(std::max<std::size_t>(mAdmitted.size(), 1));
    mResult.mMeanWaitMs = mWaitMs / admitted;
    Observe();
  }

private:
  void AdoptRights()
  {
    std::vector<limits::HolderCandidate> candidates;
    const bool split = mOptions.mPolicy == CreditPolicy::StaticSplit;
    const auto holders = split ? mEntries.size() : std::min(kHolders, mEntries.size());
    for (std::size_t it = 0; it < holders; ++it) {
      candidates.push_back({ mEntries.at(it)->mName,
                             units::Incarnation(1),
                             ids::AvailabilityZoneId("zone-" + std::to_string(it)) });
    }
    catalogue::Catalogue catalogue;
    catalogue.mClientAccounts.push_back({ .mName = kAccount,
                                          .mRate = units::TokensPerSecond(kRate),
                                          .mBurst = Tokens(kBurst) });
    const auto record = *limits::PlanShares({}, catalogue, candidates, units::Version(0));
    std::ranges::copy_if(
      record.mShares, std::back_inserter(mShares), [](const limits::LimitShare& aShare) {
        return aShare.mAccount == kAccount;
      });
    for (auto& entry : mEntries) {
      entry->mHolder.Adopt(record, record.mVersion, catalogue, mEvents.Now());
    }
  }

  void Arrive(Request& aRequest)
  {
    Entry& entry = *mEntries.at(aRequest.mEntry);
    if (TryAdmit(entry, aRequest)) {
      return;
    }
    entry.mWaiting.push_back(&aRequest);
    entry.mPool.ChangeWaiting(kAccount, Tokens(aRequest.mCharge));
    mEvents.After(kCreditWait, [this, &entry, &aRequest] { GiveUp(entry, aRequest); });
    PlanSoon(entry);
  }

  bool TryAdmit(Entry& aEntry, Request& aRequest)
  {
    auto charge =
      aEntry.mPool.TryCharge(kAccount, Tokens(aRequest.mCharge), mEvents.Now());
    if (!charge) {
      return false;
    }
    mAdmitted.push_back({ mEvents.Now(), aRequest.mUsed });
    mResult.mTokens += aRequest.mUsed;
    const std::chrono::duration<double, std::milli> wait = mEvents.Now() - aRequest.mAt;
    mWaitMs += wait.count();
    mEvents.After(aRequest.mService, [this, &aEntry, &aRequest, paid = *charge] {
      aEntry.mPool.RefundUnused(paid, Tokens(aRequest.mCharge - aRequest.mUsed));
    });
    return true;
  }

  void GiveUp(Entry& aEntry, Request& aRequest)
  {
    const auto it = std::ranges::find(aEntry.mWaiting, &aRequest);
    if (it == aEntry.mWaiting.end()) {
      return;
    }
    aEntry.mWaiting.erase(it);
    aEntry.mPool.ChangeWaiting(kAccount, Tokens(-aRequest.mCharge));
    mResult.mWrongful += aRequest.mInside ? 1 : 0;
  }

  void Tick(Entry& aEntry)
  {
    Plan(aEntry);
    mEvents.After(kTick, [this, &aEntry] { Tick(aEntry); });
  }

  void PlanSoon(Entry& aEntry)
  {
    if (!aEntry.mPlanScheduled) {
      aEntry.mPlanScheduled = true;
      mEvents.After(200us, [this, &aEntry] {
        aEntry.mPlanScheduled = false;
        Plan(aEntry);
      });
    }
  }

  void Plan(Entry& aEntry)
  {
    const auto refunds = aEntry.mPool.TakeRefunds();
    for (const auto& activity : aEntry.mPool.TakeActivity(mEvents.Now())) {
      for (const limits::CreditRequestMessage& ask : aEntry.mRequester.Plan(
             activity, mShares, Nearest(aEntry), !refunds.empty(), mEvents.Now())) {
        Send(aEntry, ask.mHolder, [this, &aEntry, ask](Entry& aHolder) {
          OnAsk(aEntry, aHolder, ask);
        });
      }
      if (aEntry.mRequester.IsIdle(activity, mEvents.Now())) {
        aEntry.mPool.EndGrants(kAccount, mEvents.Now());
      }
    }
    for (const limits::Refund& refund : refunds) {
      Send(aEntry, refund.mOrigin.mHolder, [this, &aEntry, refund](Entry& aHolder) {
        aHolder.mHolder.Refund(kAccount,
                               Key(aEntry, refund.mOrigin.mNonce),
                               refund.mSpent,
                               refund.mTokens,
                               mEvents.Now());
      });
    }
  }

  ids::ProcessId Nearest(const Entry& aEntry) const
  {
    const bool split = mOptions.mPolicy == CreditPolicy::StaticSplit;
    const auto number = static_cast<std::size_t>(
      std::ranges::find_if(mEntries,
                           [&](const auto& aOther) { return aOther.get() == &aEntry; }) -
      mEntries.begin());
    return mEntries.at(split ? number : number % std::min(kHolders, mEntries.size()))
      ->mName;
  }

  void OnAsk(Entry& aAsker, Entry& aHolder, const limits::CreditRequestMessage& aAsk)
  {
    const auto now = mEvents.Now();
    for (const auto& use : aAsk.mUses) {
      aHolder.mHolder.Report(
        kAccount, Key(aAsker, use.mOrigin.mNonce), use.mSpent, use.mClosed, now);
    }
    if (aAsk.mTokens.Count() <= 0) {
      return;
    }
    const auto granted =
      aHolder.mHolder.Grant(kAccount, Key(aAsker, aAsk.mNonce), aAsk.mTokens, now);
    Send(aHolder, aAsker.mName, [this, &aHolder, aAsk, granted](Entry& aBack) {
      const auto grant =
        aBack.mRequester.OnGrant(aHolder.mName, aAsk.mNonce, granted, mEvents.Now());
      if (grant) {
        aBack.mPool.AddGrant(kAccount, grant->mOrigin, grant->mTokens, grant->mExpiry);
      }
      AdmitWaiting(aBack);
    });
  }

  void AdmitWaiting(Entry& aEntry)
  {
    while (!aEntry.mWaiting.empty() && TryAdmit(aEntry, *aEntry.mWaiting.front())) {
      aEntry.mPool.ChangeWaiting(kAccount, Tokens(-aEntry.mWaiting.front()->mCharge));
      aEntry.mWaiting.pop_front();
    }
  }

  /// Carries a message; one to itself takes no time. The static split may only send to
  /// itself.
  template<typename Deliver>
  void Send(const Entry& aFrom, const ids::ProcessId& aTo, Deliver aDeliver)
  {
    const auto it = std::ranges::find_if(
      mEntries, [&](const auto& aEntry) { return aEntry->mName == aTo; });
    Entry& target = **it;
    const bool own = &target == &aFrom;
    if (mOptions.mPolicy == CreditPolicy::StaticSplit && !own) {
      return;
    }
    mResult.mMessages += own ? 0 : 1;
    mEvents.After(own ? 0us : kOneWay, [&target, aDeliver] { aDeliver(target); });
  }

  static limits::GrantKey Key(const Entry& aRequester, std::uint64_t aNonce)
  {
    return { aRequester.mName, units::Incarnation(1), aNonce };
  }

  /// Charges every admitted request with the tokens that it used, at its admission.
  void Observe()
  {
    std::ranges::stable_sort(mAdmitted, {}, &Admitted::mAt);
    double peak = 0.0;
    for (const Admitted& admitted : mAdmitted) {
      mObserver.Add(admitted.mAt, admitted.mUsed);
      peak = std::max(peak, mObserver.Use(admitted.mAt));
    }
    mResult.mPeakBurst = peak / kBurst;
  }

  struct Admitted
  {
    timing::Instant mAt;
    std::int64_t mUsed{ 0 };
  };

  CreditTrialOptions mOptions;
  CreditTrialResult& mResult;
  EventQueue mEvents;
  Bucket mObserver;
  std::vector<std::unique_ptr<Entry>> mEntries;
  std::vector<limits::LimitShare> mShares;
  std::vector<Admitted> mAdmitted;
  double mWaitMs{ 0.0 };
};

}

CreditTrialResult RunCreditTrial(const CreditTrialOptions& aOptions)
{
  CreditTrialResult result;
  const timing::Instant start = EventQueue().Now();
  auto requests = MakeRequests(aOptions, start);
  MarkInside(requests, start);
  for (const Request& request : requests) {
    result.mInsideTokens += request.mInside ? request.mUsed : 0;
  }
  result.mRequests = requests.size();
  result.mInside =
    static_cast<std::size_t>(std::ranges::count(requests, true, &Request::mInside));
  CreditFleet fleet(aOptions, result);
  fleet.Run(requests);
  return result;
}

}

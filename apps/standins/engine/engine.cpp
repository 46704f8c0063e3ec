#include "apps/standins/engine/engine.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <thread>

namespace samphiresail::standins {

namespace {

using nlohmann::json;

bool Take(std::int64_t& aCount)
{
  if (aCount <= 0) {
    return false;
  }
  --aCount;
  return true;
}

double Slowdown(std::size_t aInFlight, std::size_t aKnee)
{
  if (aKnee == 0 || aInFlight <= aKnee) {
    return 1.0;
  }
  return static_cast<double>(aInFlight) / static_cast<double>(aKnee);
}

json WriteEntry(const JournalEntry& aEntry)
{
  return { { "number", aEntry.mNumber },      { "id", aEntry.mRequestId },
           { "model", aEntry.mModel },        { "priority", aEntry.mPriority },
           { "state", aEntry.mState },        { "prompt", aEntry.mPromptDigest },
           { "start", aEntry.mStart },        { "tokens", aEntry.mTokens },
           { "in_flight", aEntry.mInFlight }, { "cold", aEntry.mCold } };
}

}

Engine::Engine(EngineOptions aOptions, const timing::Clock& aClock)
  : mOptions(std::move(aOptions))
  , mClock(aClock)
  , mColdUntil(aClock.Now() + mOptions.mCold)
{
}

std::int64_t Engine::MemoryOf(const Order& aOrder) const
{
  if (const auto it = mOptions.mMemoryOf.find(aOrder.mModel);
      it != mOptions.mMemoryOf.end()) {
    return it->second;
  }
  return aOrder.mMemory > 0 ? aOrder.mMemory : mOptions.mModelMemory;
}

Admission Engine::Begin(JournalEntry& aEntry)
{
  const std::lock_guard lock(mMutex);
  if (Take(mFaults.mErrors)) {
    return Admission::Failed;
  }
  if (const auto it = mResident.find(aEntry.mModel);
      it == mResident.end() || !it->second) {
    return Admission::NotResident;
  }
  const bool cold = ColdLocked();
  if (cold && mInFlight >= mOptions.mColdLimit) {
    ++mColdOverloads;
    GoColdLocked(mOptions.mCold);
    return Admission::Failed;
  }
  aEntry.mNumber = ++mExecutions;
  aEntry.mCold = cold;
  aEntry.mInFlight = ++mInFlight;
  ++mInFlightOf[aEntry.mModel];
  mInFlightPeak = std::max(mInFlightPeak, mInFlight);
  return Admission::Admitted;
}

void Engine::End(const JournalEntry& aEntry)
{
  const std::lock_guard lock(mMutex);
  --mInFlight;
  --mInFlightOf[aEntry.mModel];
  mJournal.push_back(aEntry);
  if (mJournal.size() > mOptions.mJournalLimit) {
    mJournal.pop_front();
  }
}

std::chrono::microseconds Engine::TokenTime(const std::string& aModel) const
{
  if (mOptions.mToken.count() == 0) {
    return mOptions.mToken;
  }
  const std::lock_guard lock(mMutex);
  const auto it = mInFlightOf.find(aModel);
  const auto inFlight = it == mInFlightOf.end() ? 0 : it->second;
  const auto factor =
    Slowdown(mInFlight, mOptions.mKnee) * Slowdown(inFlight, mOptions.mAdapterKnee);
  return std::chrono::microseconds(
    std::llround(static_cast<double>(mOptions.mToken.count()) * factor));
}

GenerationFault Engine::NextFault(std::size_t& aAfterTokens)
{
  const std::lock_guard lock(mMutex);
  aAfterTokens = mFaults.mAfterTokens;
  if (mFaults.mCrash) {
    return GenerationFault::Crash;
  }
  if (Take(mFaults.mCut)) {
    return GenerationFault::Cut;
  }
  return Take(mFaults.mStall) ? GenerationFault::Stall : GenerationFault::None;
}

bool Engine::AcceptFencingLocked(const Order& aOrder)
{
  if (!aOrder.mFencing) {
    return true;
  }
  const bool old = *aOrder.mFencing < mFencing;
  mStaleOrders += static_cast<std::int64_t>(old);
  if (old && mOptions.mChecksFencing) {
    return false;
  }
  mFencing = std::max(mFencing, *aOrder.mFencing);
  return true;
}

OrderOutcome Engine::Execute(const Order& aOrder)
{
  EngineFaults faults;
  bool lost = false;
  {
    const std::lock_guard lock(mMutex);
    faults = mFaults;
    lost = Take(mFaults.mLoseOrders);
  }
  if (lost) {
    return OrderOutcome::Lost;
  }
  std::this_thread::sleep_for(faults.mOrderDelay);
  const auto outcome =
    aOrder.mAction == OrderAction::Load ? Load(aOrder) : Unload(aOrder);
  const std::lock_guard lock(mMutex);
  return Take(mFaults.mLoseOrderAnswers) ? OrderOutcome::AnswerLost : outcome;
}

OrderOutcome Engine::Load(const Order& aOrder)
{
  {
    const std::lock_guard lock(mMutex);
    if (!AcceptFencingLocked(aOrder)) {
      NoteOrderLocked(aOrder, "stale");
      return OrderOutcome::Stale;
    }
    if (mOccupied.contains(aOrder.mModel)) {
      NoteOrderLocked(aOrder, "present");
      return OrderOutcome::Done;
    }
    const auto bytes = MemoryOf(aOrder);
    mOccupied[aOrder.mModel] = bytes;
    mMemoryUsed += bytes;
    mMemoryPeak = std::max(mMemoryPeak, mMemoryUsed);
    const bool over = mOptions.mMemory > 0 && mMemoryUsed > mOptions.mMemory;
    mOvercommits += static_cast<std::int64_t>(over);
    NoteOrderLocked(aOrder, over ? "overcommit" : "loading");
  }
  std::this_thread::sleep_for(mOptions.mLoad);
  const std::lock_guard lock(mMutex);
  mResident[aOrder.mModel] = mOccupied.contains(aOrder.mModel);
  return OrderOutcome::Done;
}

OrderOutcome Engine::Unload(const Order& aOrder)
{
  const std::lock_guard lock(mMutex);
  if (!AcceptFencingLocked(aOrder)) {
    NoteOrderLocked(aOrder, "stale");
    return OrderOutcome::Stale;
  }
  const auto it = mOccupied.find(aOrder.mModel);
  if (it == mOccupied.end()) {
    NoteOrderLocked(aOrder, "absent");
    return OrderOutcome::Unknown;
  }
  mMemoryUsed -= it->second;
  mOccupied.erase(it);
  mResident.erase(aOrder.mModel);
  NoteOrderLocked(aOrder, "unloaded");
  return OrderOutcome::Done;
}

void Engine::NoteOrderLocked(const Order& aOrder, const char* aResult)
{
  json order{ { "action", aOrder.mAction == OrderAction::Load ? "load" : "unload" },
              { "model", aOrder.mModel },
              { "result", aResult },
              { "memory", mMemoryUsed } };
  if (aOrder.mFencing) {
    order["fencing"] = *aOrder.mFencing;
  }
  mOrders.push_back(std::move(order));
  if (mOrders.size() > mOptions.mJournalLimit) {
    mOrders.pop_front();
  }
}

bool Engine::ColdLocked() const
{
  return mClock.Now() < mColdUntil;
}

void Engine::GoColdLocked(std::chrono::milliseconds aDuration)
{
  mColdUntil = mClock.Now() + aDuration;
}

bool Engine::Cold() const
{
  const std::lock_guard lock(mMutex);
  return ColdLocked();
}

void Engine::GoCold(std::chrono::milliseconds aDuration)
{
  const std::lock_guard lock(mMutex);
  mOptions.mCold = aDuration;
  GoColdLocked(aDuration);
}

void Engine::SetFaults(const json& aBody)
{
  if (aBody.contains("cold_ms")) {
    GoCold(std::chrono::milliseconds(aBody["cold_ms"].get<std::int64_t>()));
  }
  const std::lock_guard lock(mMutex);
  mFaults.mOrderDelay =
    std::chrono::milliseconds(aBody.value("order_delay_ms", mFaults.mOrderDelay.count()));
  mFaults.mLoseOrderAnswers =
    aBody.value("lose_order_answers", mFaults.mLoseOrderAnswers);
  mFaults.mLoseOrders = aBody.value("lose_orders", mFaults.mLoseOrders);
  mFaults.mCut = aBody.value("cut", mFaults.mCut);
  mFaults.mStall = aBody.value("stall", mFaults.mStall);
  mFaults.mCrash = aBody.value("crash", mFaults.mCrash);
  mFaults.mAfterTokens = aBody.value("after_tokens", mFaults.mAfterTokens);
  mFaults.mErrors = aBody.value("errors", mFaults.mErrors);
}

void Engine::NoteHeaders(bool aAuthorization)
{
  const std::lock_guard lock(mMutex);
  mAuthorizationSeen += static_cast<std::int64_t>(aAuthorization);
}

json Engine::Models() const
{
  const std::lock_guard lock(mMutex);
  json models = json::array();
  for (const auto& [name, resident] : mResident) {
    if (resident) {
      models.push_back(
        { { "id", name }, { "object", "model" }, { "owned_by", "stand-in" } });
    }
  }
  return { { "object", "list" }, { "data", models } };
}

json Engine::Journal() const
{
  const std::lock_guard lock(mMutex);
  json requests = json::array();
  std::ranges::transform(mJournal, std::back_inserter(requests), WriteEntry);
  return { { "requests", requests },
           { "orders", mOrders },
           { "executions", mExecutions },
           { "in_flight", mInFlight },
           { "in_flight_peak", mInFlightPeak },
           { "memory", mMemoryUsed },
           { "memory_peak", mMemoryPeak },
           { "overcommits", mOvercommits },
           { "cold_overloads", mColdOverloads },
           { "stale_orders", mStaleOrders },
           { "authorization_seen", mAuthorizationSeen } };
}

std::string Engine::Metrics() const
{
  const std::lock_guard lock(mMutex);
  std::ostringstream text;
  text << "vllm:num_requests_running " << mInFlight << '\n'
       << "vllm:num_requests_waiting 0\n"
       << "standin:memory_bytes " << mMemoryUsed << '\n';
  return text.str();
}

}

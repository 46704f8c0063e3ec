#ifndef SAMPHIRESAIL_APPS_STANDINS_ENGINE_ENGINE_HPP
#define SAMPHIRESAIL_APPS_STANDINS_ENGINE_ENGINE_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "components/timing/clock.hpp"

namespace samphiresail::standins {

struct EngineOptions
{
  std::chrono::microseconds mFirstToken{ 0 };
  std::chrono::microseconds mToken{ 0 };
  /// Requests in flight above which all tokens take longer; 0 for never.
  std::size_t mKnee{ 0 };
  /// Requests in flight for one adapter above which its tokens take longer; 0 for never.
  std::size_t mAdapterKnee{ 0 };
  std::size_t mAnswerTokens{ 16 };
  std::int64_t mMemory{ 0 };
  std::int64_t mModelMemory{ 1 };
  std::map<std::string, std::int64_t> mMemoryOf;
  std::chrono::milliseconds mLoad{ 0 };
  std::chrono::milliseconds mCold{ 0 };
  std::size_t mColdLimit{ 1 };
  bool mChecksFencing{ false };
  std::size_t mJournalLimit{ 20'000 };
};

/// Faults that tests switch on.
struct EngineFaults
{
  /// Orders wait before they take effect.
  std::chrono::milliseconds mOrderDelay{ 0 };
  /// Orders that take effect and lose their answer.
  std::int64_t mLoseOrderAnswers{ 0 };
  /// Orders that are lost before they take effect.
  std::int64_t mLoseOrders{ 0 };
  /// Generations whose connection is cut after mAfterTokens.
  std::int64_t mCut{ 0 };
  /// Generations that send nothing more after mAfterTokens.
  std::int64_t mStall{ 0 };
  /// The process ends after mAfterTokens of the next generation.
  bool mCrash{ false };
  std::size_t mAfterTokens{ 0 };
  /// Generations that are answered with status 500.
  std::int64_t mErrors{ 0 };
};

enum class GenerationFault
{
  None,
  Cut,
  Stall,
  Crash,
};

enum class OrderAction
{
  Load,
  Unload,
};

struct Order
{
  OrderAction mAction{ OrderAction::Load };
  std::string mModel;
  std::optional<std::uint64_t> mFencing;
  /// Size that the order names; used if the options name none.
  std::int64_t mMemory{ 0 };
};

enum class OrderOutcome
{
  Done,
  Unknown,
  Stale,
  Lost,
  AnswerLost,
};

enum class Admission
{
  Admitted,
  NotResident,
  Failed,
};

struct JournalEntry
{
  std::uint64_t mNumber{ 0 };
  std::string mRequestId;
  std::string mModel;
  std::string mPriority;
  std::string mState{ "running" };
  std::uint64_t mPromptDigest{ 0 };
  std::size_t mStart{ 0 };
  std::size_t mTokens{ 0 };
  std::size_t mInFlight{ 0 };
  bool mCold{ false };
};

/// Emulated engine: resident models, memory, cold start and a journal of all executions.
/// Records what a real engine would not survive instead of preventing it. Thread-safe.
class Engine
{
public:
  Engine(EngineOptions aOptions, const timing::Clock& aClock);

  const EngineOptions& Options() const { return mOptions; }

  /// Counts a generation in; the entry gets its number.
  Admission Begin(JournalEntry& aEntry);
  void End(const JournalEntry& aEntry);
  /// Time of the next token at the load of this moment.
  std::chrono::microseconds TokenTime(const std::string& aModel) const;
  GenerationFault NextFault(std::size_t& aAfterTokens);

  /// Carries out an order; sleeps for the delay and the load time.
  OrderOutcome Execute(const Order& aOrder);

  /// Sets how long a load takes.
  void SetLoadTime(std::chrono::milliseconds aTime) { mOptions.mLoad = aTime; }

  bool Cold() const;
  void GoCold(std::chrono::milliseconds aDuration);
  void SetFaults(const nlohmann::json& aBody);
  void NoteHeaders(bool aAuthorization);

  nlohmann::json Models() const;
  nlohmann::json Journal() const;
  std::string Metrics() const;

private:
  std::int64_t MemoryOf(const Order& aOrder) const;
  bool ColdLocked() const;
  void GoColdLocked(std::chrono::milliseconds aDuration);
  bool AcceptFencingLocked(const Order& aOrder);
  OrderOutcome Load(const Order& aOrder);
  OrderOutcome Unload(const Order& aOrder);
  void NoteOrderLocked(const Order& aOrder, const char* aResult);

  EngineOptions mOptions;
  const timing::Clock& mClock;
  mutable std::mutex mMutex;
  EngineFaults mFaults;
  /// Memory by model, loading ones included.
  std::map<std::string, std::int64_t> mOccupied;
  std::map<std::string, bool> mResident;
  std::map<std::string, std::size_t> mInFlightOf;
  std::size_t mInFlight{ 0 };
  std::size_t mInFlightPeak{ 0 };
  std::int64_t mMemoryUsed{ 0 };
  std::int64_t mMemoryPeak{ 0 };
  std::uint64_t mFencing{ 0 };
  timing::Instant mColdUntil;
  std::uint64_t mExecutions{ 0 };
  std::int64_t mOvercommits{ 0 };
  std::int64_t mColdOverloads{ 0 };
  std::int64_t mStaleOrders{ 0 };
  std::int64_t mAuthorizationSeen{ 0 };
  std::deque<JournalEntry> mJournal;
  std::deque<nlohmann::json> mOrders;
};

}

#endif

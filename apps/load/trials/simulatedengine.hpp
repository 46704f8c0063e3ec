#ifndef SAMPHIRESAIL_APPS_LOAD_TRIALS_SIMULATEDENGINE_HPP
#define SAMPHIRESAIL_APPS_LOAD_TRIALS_SIMULATEDENGINE_HPP

#include <cstdint>
#include <functional>
#include <list>
#include <set>
#include <vector>

#include "apps/load/trials/eventqueue.hpp"
#include "components/gateway/enginemodel.hpp"
#include "components/gateway/requestmetadata.hpp"

namespace samphiresail::load {

/// Speeds and sizes of a simulated engine.
struct EngineFigures
{
  gateway::Milliseconds mReadTime{ 0.04 };
  gateway::Milliseconds mStepTime{ 7.0 };
  unsigned mSlots{ 32 };
  double mMemoryTokens{ 60000.0 };
  /// Prompt tokens that are read in one step at most.
  double mChunkTokens{ 512.0 };
  /// Memory is occupied as responses grow. Once it is full the newest of the least urgent
  /// requests is preempted and its tokens are read again later. Otherwise each request
  /// occupies its maximum from its beginning on.
  bool mPreempts{ false };
};

/// An engine that batches requests. In each step it generates one token for every request
/// that it has read and reads a part of the prompts that it has not, in the order of
/// priority and arrival. It keeps the leading parts of prompts while its memory lasts.
class SimulatedEngine
{
public:
  struct Request
  {
    std::vector<gateway::PromptPart> mParts;
    double mOutputTokens{ 0.0 };
    /// Tokens that it generates.
    double mUsedTokens{ 0.0 };
    int mPriority{ 5 };
    std::function<void()> mOnFirstToken;
    std::function<void()> mOnEnd;
  };

  SimulatedEngine(EventQueue& aEvents, const EngineFigures& aFigures)
    : mEvents(aEvents)
    , mFigures(aFigures)
  {
  }

  /// Accepts a request and returns the number that identifies it.
  std::uint64_t Accept(Request aRequest);
  /// Ends a request without an answer.
  void Cancel(std::uint64_t aNumber);
  /// Requests that have a slot, and those that wait for one.
  unsigned Running() const;
  unsigned Waiting() const;
  /// Prompt tokens that were read so far.
  double TokensRead() const { return mTokensRead; }
  /// Requests that were preempted so far.
  std::size_t Preemptions() const { return mPreemptions; }
  /// Makes the engine slower by a factor from the next step on.
  void SetSlowness(double aFactor) { mSlowness = aFactor; }

private:
  struct Row
  {
    std::uint64_t mNumber{ 0 };
    Request mRequest;
    double mPromptTokens{ 0.0 };
    double mUnread{ 0.0 };
    double mGenerated{ 0.0 };
    bool mRunning{ false };
  };

  void Admit();
  /// Gives requests slots while memory for their present tokens is free.
  void AdmitWhileFree();
  /// Preempts requests until one more token of each of the others fits.
  void Preempt();
  void ScheduleStep();
  void Step();
  /// Returns the tokens of the prompt that the engine does not keep, and keeps its parts
  /// from now on.
  double ReadAndKeep(const std::vector<gateway::PromptPart>& aParts);

  EventQueue& mEvents;
  EngineFigures mFigures;
  std::list<Row> mRows;
  /// Hashes of the kept leading parts.
  std::set<std::uint64_t> mKept;
  double mKeptTokens{ 0.0 };
  std::uint64_t mNextNumber{ 1 };
  double mTokensRead{ 0.0 };
  double mSlowness{ 1.0 };
  bool mStepping{ false };
  std::size_t mPreemptions{ 0 };
};

}

#endif

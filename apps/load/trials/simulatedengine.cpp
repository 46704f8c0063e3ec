#include "apps/load/trials/simulatedengine.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

#include "components/gateway/promptcacheestimate.hpp"

namespace samphiresail::load {

using gateway::PromptCacheEstimate;
using gateway::PromptPart;

std::uint64_t SimulatedEngine::Accept(Request aRequest)
{
  Row row;
  row.mNumber = mNextNumber++;
  row.mPromptTokens = std::accumulate(aRequest.mParts.begin(),
                                      aRequest.mParts.end(),
                                      0.0,
                                      [](double aSum, const PromptPart& aPart) {
                                        return aSum + static_cast<double>(aPart.mTokens);
                                      });
  row.mRequest = std::move(aRequest);
  const std::uint64_t number = row.mNumber;
  const auto before = std::ranges::find_if(mRows, [&row](const Row& aOther) {
    return !aOther.mRunning && aOther.mRequest.mPriority > row.mRequest.mPriority;
  });
  mRows.insert(before, std::move(row));
  ScheduleStep();
  return number;
}

void SimulatedEngine::Cancel(std::uint64_t aNumber)
{
  std::erase_if(mRows, [aNumber](const Row& aRow) { return aRow.mNumber == aNumber; });
}

unsigned SimulatedEngine::Running() const
{
  return static_cast<unsigned>(std::ranges::count(mRows, true, &Row::mRunning));
}

unsigned SimulatedEngine::Waiting() const
{
  return static_cast<unsigned>(mRows.size()) - Running();
}

double SimulatedEngine::ReadAndKeep(const std::vector<PromptPart>& aParts)
{
  const auto leading = PromptCacheEstimate::LeadingParts(0, aParts);
  double unread = 0.0;
  for (std::size_t i = 0; i < aParts.size(); ++i) {
    const auto tokens = static_cast<double>(aParts[i].mTokens);
    if (unread == 0.0 && mKept.contains(leading[i])) {
      continue;
    }
    unread += tokens;
    if (mKeptTokens + tokens > mFigures.mMemoryTokens / 2) {
      mKept.clear();
      mKeptTokens = 0.0;
    }
    mKept.insert(leading[i]);
    mKeptTokens += tokens;
  }
  return unread;
}

void SimulatedEngine::AdmitWhileFree()
{
  double memory = 0.0;
  unsigned running = 0;
  for (const Row& row : mRows) {
    memory += row.mRunning ? row.mPromptTokens + row.mGenerated : 0.0;
    running += row.mRunning ? 1 : 0;
  }
  for (Row& row : mRows) {
    if (row.mRunning) {
      continue;
    }
    const double tokens = row.mPromptTokens + row.mGenerated;
    const bool fits = memory + tokens < mFigures.mMemoryTokens || running == 0;
    if (running >= mFigures.mSlots || !fits) {
      return;
    }
    row.mRunning = true;
    row.mUnread = ReadAndKeep(row.mRequest.mParts) + row.mGenerated;
    memory += tokens;
    ++running;
  }
}

void SimulatedEngine::Preempt()
{
  for (;;) {
    double memory = 0.0;
    unsigned running = 0;
    Row* last = nullptr;
    for (Row& row : mRows) {
      if (!row.mRunning) {
        continue;
      }
      ++running;
      memory += row.mPromptTokens + row.mGenerated + 1.0;
      if (last == nullptr || std::pair(row.mRequest.mPriority, row.mNumber) >
                               std::pair(last->mRequest.mPriority, last->mNumber)) {
        last = &row;
      }
    }
    if (memory <= mFigures.mMemoryTokens || running <= 1) {
      return;
    }
    last->mRunning = false;
    ++mPreemptions;
  }
}

void SimulatedEngine::Admit()
{
  if (mFigures.mPreempts) {
    AdmitWhileFree();
    Preempt();
    return;
  }
  double memory = 0.0;
  unsigned running = 0;
  for (Row& row : mRows) {
    const double tokens = row.mPromptTokens + row.mRequest.mOutputTokens;
    if (!row.mRunning &&
        (running >= mFigures.mSlots || memory + tokens > mFigures.mMemoryTokens)) {
      continue;
    }
    if (!row.mRunning) {
      row.mRunning = true;
      row.mUnread = ReadAndKeep(row.mRequest.mParts);
    }
    ++running;
    memory += tokens;
  }
}

void SimulatedEngine::ScheduleStep()
{
  if (mStepping || mRows.empty()) {
    return;
  }
  mStepping = true;
  Admit();
  double unread = 0.0;
  for (const Row& row : mRows) {
    unread += row.mUnread;
  }
  const auto time =
    (mFigures.mStepTime + mFigures.mReadTime * std::min(unread, mFigures.mChunkTokens)) *
    mSlowness;
  mEvents.After(std::chrono::duration_cast<timing::Duration>(time), [this] { Step(); });
}

void SimulatedEngine::Step()
{
  double budget = mFigures.mChunkTokens;
  std::vector<std::function<void()>> calls;
  for (auto it = mRows.begin(); it != mRows.end();) {
    Row& row = *it;
    if (!row.mRunning) {
      ++it;
      continue;
    }
    const double read = std::min(budget, row.mUnread);
    budget -= read;
    mTokensRead += read;
    row.mUnread -= read;
    if (row.mUnread > 0) {
      ++it;
      continue;
    }
    row.mGenerated += 1;
    if (row.mGenerated == 1) {
      calls.push_back(row.mRequest.mOnFirstToken);
    }
    if (row.mGenerated >= row.mRequest.mUsedTokens) {
      calls.push_back(row.mRequest.mOnEnd);
      it = mRows.erase(it);
    } else {
      ++it;
    }
  }
  mStepping = false;
  for (const auto& call : calls) {
    call();
  }
  ScheduleStep();
}

}

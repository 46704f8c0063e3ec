#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_CRASHFINDINGS_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_CRASHFINDINGS_HPP

#include <chrono>
#include <cstdint>
#include <vector>

#include "components/gateway/crashevidence.hpp"

namespace samphiresail::gateway {

/// An engine that ended, as one entry reports it to the others.
struct ReportedCrash
{
  std::uint64_t mEndpointHash{ 0 };
  std::chrono::milliseconds mAge{ 0 };
  std::vector<Suspect> mSuspects;
};

/// A request with the cause was answered.
struct ReportedSound
{
  std::uint64_t mCause{ 0 };
  std::chrono::milliseconds mAge{ 0 };
};

/// Causes that are in quarantine together.
struct ReportedVerdict
{
  CrashEvidence::Causes mCauses;
};

/// The sender sends a request that tests which of the causes crash engines.
struct ReportedTest
{
  CrashEvidence::Causes mCauses;
  /// The request has all of them.
  bool mFull{ false };
  /// The request has not run, so that another one may be sent instead.
  bool mNotRun{ false };
  /// Time since the test began.
  std::chrono::milliseconds mAge{ 0 };
};

/// What entries tell each other of the causes that crash engines.
struct CrashFindings
{
  std::vector<ReportedCrash> mCrashes;
  std::vector<ReportedSound> mSound;
  std::vector<ReportedVerdict> mVerdicts;
  std::vector<ReportedTest> mTests;

  bool Empty() const
  {
    return mCrashes.empty() && mSound.empty() && mVerdicts.empty() && mTests.empty();
  }
};

}

#endif

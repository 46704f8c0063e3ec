#include <catch2/catch.hpp>

#include "apps/tests/gateway/quarantineplay.hpp"

using namespace samphiresail;
using namespace samphiresail::gateway;

TEST_CASE("play: no more than three requests with a deadly part are sent after the time "
          "allowed",
          "[gateway]")
{
  Load load;
  SECTION("four entries") {}
  SECTION("four entries, rare requests with the part")
  {
    load.mDeadlyShare = 0.01;
  }
  SECTION("29 entries")
  {
    load = { 29, 53, 400.0, 0.05 };
  }
  SECTION("29 entries, a rare kind of request")
  {
    load = { 29, 53, 8.0, 0.2 };
  }
  SECTION("100 entries, so that each sees a hundredth of the crashes")
  {
    load = { 100, 150, 600.0, 0.05 };
  }
  SECTION("100 entries, halves that reach each other by the store alone")
  {
    load = { 100, 150, 600.0, 0.05, true };
  }
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(load.mEntries, seed);
    Play play(load, seed);
    const Outcome outcome = play.Run(seconds(25));
    CAPTURE(outcome.mCrashes, outcome.mSound);
    CHECK(outcome.mSentLate <= 3);
    CHECK(outcome.mSoundRefused == 0);
  }
}

TEST_CASE("play: what shares a part with deadly requests is served again", "[gateway]")
{
  Load load;
  load.mFromTheStart = true;
  load.mDeadlyShare = 0.9;
  load.mRate = 20.0;
  load.mRareParts = 100000;
  SECTION("four entries") {}
  SECTION("four entries, few requests")
  {
    load.mRate = 4.0;
  }
  SECTION("29 entries")
  {
    load.mEntries = 29;
    load.mEngines = 53;
    load.mRate = 100.0;
  }
  SECTION("100 entries")
  {
    load.mEntries = 100;
    load.mEngines = 150;
    load.mRate = 200.0;
  }
  SECTION("100 entries, few requests")
  {
    load.mEntries = 100;
    load.mEngines = 150;
    load.mRate = 10.0;
  }
  SECTION("some deadly ones have the deadly part alone")
  {
    load.mDeadlyWithFirst = 0.9;
  }
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(load.mEntries, load.mRate, seed);
    Play play(load, seed);
    const Outcome outcome = play.Run(seconds(25));
    CAPTURE(outcome.mCrashes, outcome.mSound, outcome.mSoundRefused);
    CHECK(outcome.mSentLate <= 3);
    CHECK(outcome.mSoundLate > 0);
    CHECK(2 * outcome.mSoundRefusedLate <= outcome.mSoundLate);
    CHECK(outcome.mWrongVerdicts == 0);
  }
}

TEST_CASE("play: one deadly request is sent no more once the third end is known",
          "[gateway]")
{
  Load load;
  load.mDeadlyShare = 0.02;
  load.mSameRequest = true;
  load.mSameSoundShare = 0.1;
  SECTION("four entries") {}
  SECTION("four entries, often")
  {
    load.mDeadlyShare = 0.1;
  }
  SECTION("29 entries")
  {
    load.mEntries = 29;
    load.mEngines = 53;
    load.mRate = 400.0;
  }
  SECTION("100 entries, so that each sees a hundredth of the crashes")
  {
    load.mEntries = 100;
    load.mEngines = 150;
    load.mRate = 600.0;
    load.mDeadlyShare = 0.005;
  }
  SECTION("beside engines that end for another reason")
  {
    load.mOtherCrashInterval = milliseconds(500);
    load.mOtherCrashShare = 0.08;
  }
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(load.mEntries, seed);
    Play play(load, seed);
    const Outcome outcome = play.Run(seconds(25));
    CAPTURE(outcome.mCrashes, outcome.mSound, outcome.mSentAfterThird);
    CHECK(outcome.mSentAfterThird <= 3);
    CHECK(outcome.mSoundRefused == 0);
  }
}

TEST_CASE("play: engines that end for another reason shut out no sound request",
          "[gateway]")
{
  Load load;
  load.mDeadlyShare = 0.0;
  SECTION("a third of the engines ends together, again and again")
  {
    load.mOtherCrashInterval = milliseconds(4000);
    load.mOtherCrashShare = 0.33;
  }
  SECTION("single engines end by turns")
  {
    load.mOtherCrashInterval = milliseconds(500);
    load.mOtherCrashShare = 0.08;
  }
  SECTION("29 entries, half of the engines ends together")
  {
    load = { 29, 53, 400.0, 0.0 };
    load.mOtherCrashInterval = milliseconds(5000);
    load.mOtherCrashShare = 0.5;
  }
  SECTION("100 entries, engines end by turns")
  {
    load = { 100, 150, 600.0, 0.0 };
    load.mOtherCrashInterval = milliseconds(200);
    load.mOtherCrashShare = 0.01;
  }
  SECTION("one request that many callers repeat")
  {
    load.mOtherCrashInterval = milliseconds(500);
    load.mOtherCrashShare = 0.08;
    load.mSameSoundShare = 0.5;
  }
  SECTION("a rare kind of request, half of them the same one")
  {
    load = { 29, 53, 4.0, 0.0 };
    load.mOtherCrashInterval = milliseconds(500);
    load.mOtherCrashShare = 0.1;
    load.mSameSoundShare = 0.5;
  }
  SECTION("a rare kind of request")
  {
    load = { 29, 53, 4.0, 0.0 };
    load.mOtherCrashInterval = milliseconds(500);
    load.mOtherCrashShare = 0.1;
    load.mRareParts = 10;
  }
  SECTION("beside requests with a deadly part")
  {
    load.mDeadlyShare = 0.03;
    load.mOtherCrashInterval = milliseconds(500);
    load.mOtherCrashShare = 0.08;
  }
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(load.mEntries, seed);
    Play play(load, seed);
    const Outcome outcome = play.Run(seconds(25));
    CAPTURE(outcome.mCrashes, outcome.mSound);
    CHECK(outcome.mSentLate <= 3);
    CHECK(outcome.mSoundRefused == 0);
  }
}

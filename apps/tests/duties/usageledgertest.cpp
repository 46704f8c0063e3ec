#include <catch2/catch.hpp>

#include "components/duties/usagecounter.hpp"
#include "components/duties/usageledger.hpp"
#include "components/gateway/peercodec.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using duties::UsageCounter;
using duties::UsageLedger;
using duties::UsageRow;

namespace {

const ids::ProcessId kA("a");
const ids::ProcessId kB("b");
const timing::Instant kNow{ 1h };

}

TEST_CASE("usage ledger: lost, repeated and reordered messages do not change the sums",
          "[duties]")
{
  UsageLedger ledger;
  const UsageRow early{ kA, 1, 7, 3, { { "x", 2 }, { "y", 1 } } };
  const UsageRow late{ kA, 1, 7, 6, { { "x", 5 }, { "y", 1 } } };
  ledger.Merge(late);
  ledger.Merge(early);
  ledger.Merge(late);
  // A restart counts from 0 again.
  ledger.Merge({ kA, 2, 7, 1, { { "x", 1 } } });
  ledger.Merge({ kB, 1, 8, 9, { { "x", 9 } } });
  CHECK(ledger.CountsOf(7) == duties::UsageCounts{ { "x", 6 }, { "y", 1 } });
  ledger.ForgetBefore(8);
  CHECK(ledger.CountsOf(7).empty());
  CHECK(ledger.FirstWindow() == 8);
}

TEST_CASE("usage ledger: an entry is missing until all of its counts are there",
          "[duties]")
{
  UsageLedger ledger;
  const std::vector<ids::ProcessId> entries{ kA, kB };
  CHECK(ledger.MissingFrom(7, entries) == entries);
  ledger.OnHeard(kA, 1, 8, kNow);
  ledger.OnHeard(kB, 1, 7, kNow);
  CHECK(ledger.MissingFrom(7, entries) == std::vector{ kB });
  // One of two messages was lost.
  ledger.Merge({ kB, 1, 7, 3, { { "x", 2 } } });
  ledger.OnHeard(kB, 1, 8, kNow);
  CHECK(ledger.MissingFrom(7, entries) == std::vector{ kB });
  ledger.Merge({ kB, 1, 7, 3, { { "y", 1 } } });
  CHECK(ledger.MissingFrom(7, entries).empty());
}

TEST_CASE("usage ledger: the rows of entries that left and of earlier starts go on",
          "[duties]")
{
  UsageLedger ledger;
  ledger.Merge({ kA, 1, 7, 1, { { "x", 1 } } });
  ledger.Merge({ kB, 1, 7, 1, { { "x", 1 } } });
  ledger.Merge({ kB, 2, 7, 1, { { "x", 1 } } });
  ledger.OnHeard(kB, 2, 7, kNow);
  CHECK(ledger.RowsToForward({ kB }, 8).size() == 3);
  const auto rows = ledger.RowsToForward({ kB }, 7);
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].mProcess == kA);
  CHECK(rows[1].mIncarnation == 1);
}

TEST_CASE("usage counter: nothing is added to a window that was declared complete",
          "[duties]")
{
  UsageCounter counter(kA, 1);
  const ids::ClientAccountId account("x");
  counter.Count(account, 7);
  counter.Complete(8);
  counter.Complete(7);
  counter.Count(account, 7);
  const auto rows = counter.Rows();
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].mTotal == 1);
  CHECK(rows[1].mWindow == 8);
}

TEST_CASE("usage: a message without it has no field of it", "[duties]")
{
  gateway::PeerReport report;
  report.mProcess = kA;
  const std::string without = gateway::EncodePeerReport(report);
  report.mTrueTime = 5ms;
  report.mUsage = { 8, { { kB, 3, 7, 4, { { "x", 4 } } } } };
  const std::string with = gateway::EncodePeerReport(report);
  CHECK(with.starts_with(without));
  const auto decoded = gateway::DecodePeerReport(with);
  REQUIRE(decoded);
  CHECK(decoded->mTrueTime == 5ms);
  CHECK(decoded->mUsage.mCompleteBefore == 8);
  REQUIRE(decoded->mUsage.mRows.size() == 1);
  CHECK(decoded->mUsage.mRows[0].mCounts == duties::UsageCounts{ { "x", 4 } });
  CHECK(gateway::DecodePeerReport(without)->mUsage.mRows.empty());
}

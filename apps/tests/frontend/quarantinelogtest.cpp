#include <sstream>

#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/frontend/messages.hpp"
#include "components/frontend/quarantinelog.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend;
using namespace samphiresail::frontend::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::string_view kPart = "dead";
constexpr timing::Instant kNow{ seconds(1000) };

gateway::RequestMetadata WithParts(const std::vector<std::uint64_t>& aParts)
{
  gateway::RequestMetadata metadata;
  for (const std::uint64_t part : aParts) {
    metadata.mPromptParts.push_back({ part, 10 });
  }
  return metadata;
}

/// Logs the verdicts of one entry.
struct VerdictLog
{
  gateway::TrafficControl mControl{ ids::AvailabilityZoneId("z1"), 11 };
  std::ostringstream mText;
  logging::Logger mLogger{ "test", logging::Level::Info, mText };

  /// Ends an engine under a request with the part and one of its own.
  void Crash(std::uint64_t aEngine, std::uint64_t aPart, timing::Instant aNow)
  {
    auto& quarantine = mControl.mQuarantine;
    gateway::RequestMetadata request = WithParts({ aPart, 5000 + aEngine });
    request.mIdentity = 7000 + aEngine;
    quarantine.OnBroken(aEngine, request, aNow);
    quarantine.OnConnectionRefused(aEngine, aNow);
    quarantine.Tick(aNow + gateway::CrashEvidence::kSettleTime);
  }
  std::string Changes(timing::Instant aNow)
  {
    mText.str({});
    for (const auto& change : mControl.mQuarantine.TakeChanges()) {
      LogVerdict(mLogger, mControl, change, aNow);
    }
    return mText.str();
  }
};

}

TEST_CASE("quarantine log: a verdict says what speaks for and against its cause",
          "[frontend]")
{
  VerdictLog entry;
  const std::uint64_t part = *gateway::ParsePartName(kPart);
  // An answer after the first end excuses the part for it.
  entry.Crash(1, part, kNow);
  entry.mControl.mQuarantine.OnSound(WithParts({ part }), kNow + milliseconds(100));
  for (std::uint64_t engine = 2; engine <= 4; ++engine) {
    CHECK(entry.Changes(kNow).empty());
    entry.Crash(engine, part, kNow + seconds(3 * engine));
  }
  const std::string begins = entry.Changes(kNow + seconds(12));
  CHECK(std::ranges::count(begins, '\n') == 1);
  CHECK(Contains(begins, R"("message":"quarantine begins","cause":"dead")"));
  CHECK(Contains(begins, R"("ends":"3","excused_ends":"1","answered_ms":"11900")"));
  CHECK(Contains(begins, R"("endpoints":"2 3 4")"));
  entry.mControl.mQuarantine.OnSound(WithParts({ part }), kNow + seconds(20));
  const std::string lifted = entry.Changes(kNow + seconds(20));
  CHECK(Contains(lifted, R"("message":"quarantine lifted","cause":"dead")"));
  CHECK(Contains(lifted, R"("ends":"0","excused_ends":"4","answered_ms":"0")"));
}

TEST_CASE("quarantine log: the entry that sends the next test says when", "[frontend]")
{
  VerdictLog entry;
  auto& quarantine = entry.mControl.mQuarantine;
  const std::uint64_t part = *gateway::ParsePartName(kPart);
  const bool own = GENERATE(true, false);
  quarantine.OnRecord(part, true, own, kNow);
  LogVerdictRecord(entry.mLogger, quarantine, part, "gw-1", kNow + seconds(4));
  CHECK(Contains(
    entry.mText.str(),
    std::string(R"("cause":"dead","verdict":"dead","present":true,"writer":"gw-1",)") +
      (own ? R"("next_test_ms":26000)" : R"("next_test_ms":-1)")));
  quarantine.OnRecord(part, false, false, kNow + seconds(5));
  LogVerdictRecord(entry.mLogger, quarantine, part, "", kNow + seconds(5));
  CHECK(Contains(entry.mText.str(), R"("present":false,"writer":"","next_test_ms":-1)"));
}

TEST_CASE_METHOD(Fixture,
                 "quarantine log: each test is counted once, by its outcome",
                 "[frontend]")
{
  const std::uint64_t part = *gateway::ParsePartName(kPart);
  const std::string call = PostWithParts("/stream/1", "dead:20,b1:5");
  const std::string events = Chunk("id: 1\ndata: a\n\n") + Chunk("id: 2\ndata: b\n\n");
  // The first test is due.
  mControl.mQuarantine.OnRecord(part, true, true, Now() - seconds(31));
  const auto counted = [&](const std::string& aOutcome) {
    return Contains(MetricsText(),
                    "samphiresail_quarantine_tests_total{outcome=\"" + aOutcome +
                      "\"} 1\n");
  };
  const auto logged = [&](const std::string& aOutcome) {
    return Contains(Log(), "\"verdict\":\"dead\",\"outcome\":\"" + aOutcome + "\"");
  };
  SECTION("answered, after which its requests are no tests")
  {
    ScriptedEndpoint& endpoint = AddEndpoint("e1");
    endpoint.AddScript({ StreamHead() + events + "0\r\n\r\n" });
    endpoint.AddScript({ StreamHead() + events + "0\r\n\r\n" });
    CHECK(Call(call, EndsCall).starts_with("HTTP/1.1 200"));
    CHECK(Call(call, EndsCall).starts_with("HTTP/1.1 200"));
    CHECK(counted("answered"));
    CHECK(logged("answered"));
  }
  SECTION("the endpoint ends")
  {
    AddEndpoint("e1").AddScript({ StreamHead(), false, false, true });
    AddEndpoint("e2").AddScript({ StreamHead(), false, false, true });
    Call(call, EndsCall);
    CHECK(counted("broke_off"));
    CHECK(logged("broke off"));
  }
  SECTION("no endpoint is there")
  {
    Call(call, EndsCall);
    CHECK(counted("undecided"));
    CHECK(logged("undecided"));
  }
}

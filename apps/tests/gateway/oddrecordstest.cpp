#include <catch2/catch.hpp>

#include <limits>

#include "apps/samphiresail/gateway/recordkeys.hpp"
#include "components/gateway/peercodec.hpp"
#include "components/wire/generated/samphiresail.pb.h"

using namespace samphiresail;
using namespace samphiresail::gateway;

namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kNaN = std::numeric_limits<double>::quiet_NaN();

std::string Member(const std::string& aAddress, double aCores)
{
  wire::EntryRecord record;
  record.set_name("entry-2");
  record.set_address(aAddress);
  record.set_cores(aCores);
  return record.SerializeAsString();
}

}

TEST_CASE("peers: a report with a number that is none is dropped as a whole", "[gateway]")
{
  PeerReport sound;
  sound.mProcess = ids::ProcessId("entry-2");
  REQUIRE(DecodePeerReport(EncodePeerReport(sound)));
  for (const double odd : { kNaN, kInfinity, -kInfinity, 1e30 }) {
    CAPTURE(odd);
    PeerReport load = sound;
    load.mInFlight[1] = { 1, Milliseconds(odd), 0.0 };
    CHECK_FALSE(DecodePeerReport(EncodePeerReport(load)));
    PeerReport admitted = sound;
    admitted.mAdmitted[1] = odd;
    CHECK_FALSE(DecodePeerReport(EncodePeerReport(admitted)));
    PeerReport demand = sound;
    demand.mModelDemand[1] = odd;
    CHECK_FALSE(DecodePeerReport(EncodePeerReport(demand)));
  }
}

TEST_CASE("peers: a report frees no place of an engine", "[gateway]")
{
  PeerReport report;
  report.mProcess = ids::ProcessId("entry-2");
  report.mInFlight[1] = { 1, Milliseconds(-500.0), 0.0 };
  report.mModelDemand[1] = -2.0;
  const auto decoded = DecodePeerReport(EncodePeerReport(report));
  REQUIRE(decoded);
  CHECK(decoded->mInFlight.at(1).mUnread == Milliseconds(0));
  CHECK(decoded->mModelDemand.at(1) == 0.0);
  report.mInFlight[1] = { std::numeric_limits<unsigned>::max(), Milliseconds(0), 0.0 };
  CHECK_FALSE(DecodePeerReport(EncodePeerReport(report)));
}

TEST_CASE("peers: an entry's record with an odd port or number of cores names no entry",
          "[gateway]")
{
  REQUIRE(DecodeMember(Member("10.0.0.1:7600", 0.19)));
  CHECK_FALSE(DecodeMember(Member("10.0.0.1:0", 0.19)));
  CHECK_FALSE(DecodeMember(Member("10.0.0.1:70000", 0.19)));
  for (const double cores : { kNaN, kInfinity, -1.0, 1e9 }) {
    CAPTURE(cores);
    CHECK_FALSE(DecodeMember(Member("10.0.0.1:7600", cores)));
  }
}

TEST_CASE("peers: an odd record of the number of entries states none", "[gateway]")
{
  using gatewayapp::ParseEntryCount;
  CHECK(ParseEntryCount("30") == 30U);
  for (const char* odd :
       { "", "0", "-1", "x", "30x", " 30", "10001", "18446744073709551615", "1e300" }) {
    CAPTURE(odd);
    CHECK_FALSE(ParseEntryCount(odd));
  }
}

#include <catch2/catch.hpp>

#include "components/placement/keeperrecord.hpp"

using namespace samphiresail;

TEST_CASE("keeper record survives encoding and decoding")
{
  placement::KeeperRecord record{ .mVersion = units::Version(4) };
  record.mKeepers[ids::ModelId("m")] = { ids::EndpointId("a"), ids::EndpointId("b") };
  const auto read = placement::DecodeKeepers(placement::EncodeKeepers(record));
  REQUIRE(read);
  CHECK(read->mVersion == units::Version(4));
  CHECK(read->mKeepers == record.mKeepers);
  CHECK(placement::DecodeKeepers("")->mKeepers.empty());
  CHECK_FALSE(placement::DecodeKeepers("\xff"));
}

#include <catch2/catch.hpp>

#include "components/catalogue/configurationcodec.hpp"

namespace {

using namespace samphiresail;
using catalogue::Configuration;

Configuration MakeConfiguration()
{
  Configuration configuration;
  configuration.mVersion = units::Version(7);
  configuration.mCatalogue.mAvailabilityZones.push_back(
    { ids::AvailabilityZoneId("nl-west-1"), "platform", "zone", "nl-west", true });
  configuration.mCatalogue.mModels.push_back({ .mName = ids::ModelId("depot"),
                                               .mPool = ids::PoolId("assistant"),
                                               .mMemory = units::Bytes(100) });
  configuration.mKeys.push_back(
    { ids::KeyHash("ab12"), ids::ClientAccountId("north"), "north-1" });
  return configuration;
}

}

TEST_CASE("configuration record survives encoding and decoding")
{
  const std::string text = catalogue::EncodeConfiguration(MakeConfiguration());
  const Configuration read = catalogue::DecodeConfiguration(text);
  CHECK(read.mVersion == units::Version(7));
  CHECK(read.mCatalogue.mAvailabilityZones.at(0).mOut);
  CHECK(read.mCatalogue.mModels.at(0).mMemory == units::Bytes(100));
  CHECK(read.mKeys.at(0).mAccount == ids::ClientAccountId("north"));
  CHECK(catalogue::EncodeConfiguration(read) == text);
}

TEST_CASE("configuration record that is not complete is refused")
{
  CHECK_THROWS_AS(catalogue::DecodeConfiguration("{}"), catalogue::ConfigurationError);
  CHECK_THROWS_AS(catalogue::DecodeConfiguration("not json"),
                  catalogue::ConfigurationError);
  CHECK_THROWS_AS(catalogue::ParseClass("soon"), catalogue::ConfigurationError);
}

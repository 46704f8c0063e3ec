#include "components/catalogue/configurationcodec.hpp"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace samphiresail::catalogue {

using Json = nlohmann::json;

namespace {

struct NamedClass
{
  RequestClass mClass;
  std::string_view mName;
};

constexpr std::array<NamedClass, 5> kClasses{ {
  { RequestClass::Urgent, "urgent" },
  { RequestClass::Streamed, "streamed" },
  { RequestClass::Short, "short" },
  { RequestClass::Irreversible, "irreversible" },
  { RequestClass::Batch, "batch" },
} };

Json Write(const AvailabilityZone& aZone)
{
  return { { "name", aZone.mName.Str() }, { "owner", aZone.mOwner },
           { "class", aZone.mClass },     { "region", aZone.mRegion },
           { "out", aZone.mOut },         { "loads_at_once", aZone.mLoadsAtOnce } };
}

void Read(const Json& aJson, AvailabilityZone& aZone)
{
  aZone.mName = ids::AvailabilityZoneId(aJson.at("name"));
  aZone.mOwner = aJson.at("owner");
  aZone.mClass = aJson.at("class");
  aZone.mRegion = aJson.at("region");
  aZone.mOut = aJson.at("out");
  aZone.mLoadsAtOnce = aJson.at("loads_at_once");
}

Json Write(const ClientAccount& aAccount)
{
  return { { "name", aAccount.mName.Str() },        { "owner", aAccount.mOwner },
           { "class", ClassName(aAccount.mClass) }, { "rate", aAccount.mRate.Count() },
           { "burst", aAccount.mBurst.Count() },    { "weight", aAccount.mWeight } };
}

void Read(const Json& aJson, ClientAccount& aAccount)
{
  aAccount.mName = ids::ClientAccountId(aJson.at("name"));
  aAccount.mOwner = aJson.at("owner");
  aAccount.mClass = ParseClass(aJson.at("class").get<std::string>());
  aAccount.mRate = units::TokensPerSecond(aJson.at("rate"));
  aAccount.mBurst = units::Tokens(aJson.at("burst"));
  aAccount.mWeight = aJson.at("weight");
}

Json Write(const Model& aModel)
{
  return { { "name", aModel.mName.Str() },
           { "owner", aModel.mOwner },
           { "class", ClassName(aModel.mClass) },
           { "base", aModel.mBase.Str() },
           { "pool", aModel.mPool.Str() },
           { "memory", aModel.mMemory.Count() },
           { "max_output", aModel.mMaxOutput.Count() },
           { "max_prompt", aModel.mMaxPrompt.Count() },
           { "keepers", aModel.mKeepers },
           { "knee", aModel.mKnee } };
}

void Read(const Json& aJson, Model& aModel)
{
  aModel.mName = ids::ModelId(aJson.at("name"));
  aModel.mOwner = aJson.at("owner");
  aModel.mClass = ParseClass(aJson.at("class").get<std::string>());
  aModel.mBase = ids::ModelId(aJson.at("base"));
  aModel.mPool = ids::PoolId(aJson.at("pool"));
  aModel.mMemory = units::Bytes(aJson.at("memory"));
  aModel.mMaxOutput = units::Tokens(aJson.at("max_output"));
  aModel.mMaxPrompt = units::Tokens(aJson.at("max_prompt"));
  aModel.mKeepers = aJson.at("keepers");
  aModel.mKnee = aJson.at("knee");
}

Json Write(const EndpointPool& aPool)
{
  return { { "name", aPool.mName.Str() },
           { "owner", aPool.mOwner },
           { "class", aPool.mClass },
           { "kind", aPool.mKind == PoolKind::Engine ? "engine" : "service" },
           { "memory", aPool.mMemory.Count() },
           { "in_flight", aPool.mInFlight },
           { "queue", aPool.mQueue },
           { "cold_in_flight", aPool.mColdInFlight },
           { "cold_duration_ms", aPool.mColdDuration.count() },
           { "checks_fencing", aPool.mChecksFencing },
           { "longest_order_ms", aPool.mLongestOrder.count() } };
}

void Read(const Json& aJson, EndpointPool& aPool)
{
  aPool.mName = ids::PoolId(aJson.at("name"));
  aPool.mOwner = aJson.at("owner");
  aPool.mClass = aJson.at("class");
  aPool.mKind = aJson.at("kind") == "engine" ? PoolKind::Engine : PoolKind::Service;
  aPool.mMemory = units::Bytes(aJson.at("memory"));
  aPool.mInFlight = aJson.at("in_flight");
  aPool.mQueue = aJson.at("queue");
  aPool.mColdInFlight = aJson.at("cold_in_flight");
  aPool.mColdDuration =
    std::chrono::milliseconds(aJson.at("cold_duration_ms").get<std::int64_t>());
  aPool.mChecksFencing = aJson.at("checks_fencing");
  aPool.mLongestOrder =
    std::chrono::milliseconds(aJson.at("longest_order_ms").get<std::int64_t>());
}

Json Write(const ServiceCall& aCall)
{
  return { { "method", aCall.mMethod },
           { "path", aCall.mPath },
           { "repeatable", aCall.mRepeatable },
           { "class", ClassName(aCall.mClass) },
           { "cost", aCall.mCost.Count() } };
}

void Read(const Json& aJson, ServiceCall& aCall)
{
  aCall.mMethod = aJson.at("method");
  aCall.mPath = aJson.at("path");
  aCall.mRepeatable = aJson.at("repeatable");
  aCall.mClass = ParseClass(aJson.at("class").get<std::string>());
  aCall.mCost = units::Tokens(aJson.at("cost"));
}

Json Write(const IssuedKey& aKey)
{
  return { { "hash", aKey.mHash.Str() },
           { "account", aKey.mAccount.Str() },
           { "name", aKey.mName } };
}

void Read(const Json& aJson, IssuedKey& aKey)
{
  aKey.mHash = ids::KeyHash(aJson.at("hash"));
  aKey.mAccount = ids::ClientAccountId(aJson.at("account"));
  aKey.mName = aJson.at("name");
}

Json Write(const Service& aService);
void Read(const Json& aJson, Service& aService);

template<typename Entry>
Json WriteAll(const std::vector<Entry>& aEntries)
{
  Json list = Json::array();
  std::ranges::transform(aEntries, std::back_inserter(list), [](const Entry& aEntry) {
    return Write(aEntry);
  });
  return list;
}

template<typename Entry>
std::vector<Entry> ReadAll(const Json& aList)
{
  std::vector<Entry> entries(aList.size());
  std::ranges::transform(aList, entries.begin(), [](const Json& aItem) {
    Entry entry;
    Read(aItem, entry);
    return entry;
  });
  return entries;
}

Json Write(const Service& aService)
{
  return { { "name", aService.mName.Str() },
           { "owner", aService.mOwner },
           { "class", ClassName(aService.mClass) },
           { "pool", aService.mPool.Str() },
           { "route", aService.mRoute },
           { "open", aService.mOpen },
           { "calls", WriteAll(aService.mCalls) },
           { "timeout_ms", aService.mTimeout.count() } };
}

void Read(const Json& aJson, Service& aService)
{
  aService.mName = ids::ServiceId(aJson.at("name"));
  aService.mOwner = aJson.at("owner");
  aService.mClass = ParseClass(aJson.at("class").get<std::string>());
  aService.mPool = ids::PoolId(aJson.at("pool"));
  aService.mRoute = aJson.at("route");
  aService.mOpen = aJson.at("open");
  aService.mCalls = ReadAll<ServiceCall>(aJson.at("calls"));
  aService.mTimeout =
    std::chrono::milliseconds(aJson.at("timeout_ms").get<std::int64_t>());
}

}

std::string EncodeConfiguration(const Configuration& aConfiguration)
{
  const Catalogue& catalogue = aConfiguration.mCatalogue;
  const Json document{
    { "version", aConfiguration.mVersion.Count() },
    { "availability_zones", WriteAll(catalogue.mAvailabilityZones) },
    { "client_accounts", WriteAll(catalogue.mClientAccounts) },
    { "models", WriteAll(catalogue.mModels) },
    { "pools", WriteAll(catalogue.mPools) },
    { "services", WriteAll(catalogue.mServices) },
    { "weight_store",
      { { "loads_per_second", catalogue.mWeightStore.mLoadsPerSecond },
        { "loads_at_once", catalogue.mWeightStore.mLoadsAtOnce } } },
    { "keys", WriteAll(aConfiguration.mKeys) },
    { "recent_edits", aConfiguration.mRecentEdits },
  };
  return document.dump();
}

Configuration DecodeConfiguration(std::string_view aText)
{
  try {
    const Json document = Json::parse(aText);
    Configuration configuration;
    configuration.mVersion = units::Version(document.at("version"));
    Catalogue& catalogue = configuration.mCatalogue;
    catalogue.mAvailabilityZones =
      ReadAll<AvailabilityZone>(document.at("availability_zones"));
    catalogue.mClientAccounts = ReadAll<ClientAccount>(document.at("client_accounts"));
    catalogue.mModels = ReadAll<Model>(document.at("models"));
    catalogue.mPools = ReadAll<EndpointPool>(document.at("pools"));
    catalogue.mServices = ReadAll<Service>(document.at("services"));
    const Json& weightStore = document.at("weight_store");
    catalogue.mWeightStore.mLoadsPerSecond = weightStore.at("loads_per_second");
    catalogue.mWeightStore.mLoadsAtOnce = weightStore.at("loads_at_once");
    configuration.mKeys = ReadAll<IssuedKey>(document.at("keys"));
    document.at("recent_edits").get_to(configuration.mRecentEdits);
    return configuration;
  } catch (const Json::exception& error) {
    throw ConfigurationError(std::string("configuration record: ") + error.what());
  }
}

std::string_view ClassName(RequestClass aClass)
{
  return std::ranges::find(kClasses, aClass, &NamedClass::mClass)->mName;
}

RequestClass ParseClass(std::string_view aName)
{
  const auto it = std::ranges::find(kClasses, aName, &NamedClass::mName);
  if (it == kClasses.end()) {
    throw ConfigurationError("unknown class '" + std::string(aName) + "'");
  }
  return it->mClass;
}

}

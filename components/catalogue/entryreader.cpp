#include "components/catalogue/entryreader.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "components/catalogue/configurationcodec.hpp"

namespace samphiresail::catalogue {

using std::chrono::milliseconds;
using yaml::MapReader;
using yaml::Range;

namespace {

constexpr std::int64_t kBytesPerMib = 1 << 20;
constexpr std::size_t kLongestName = 96;
constexpr Range<std::int64_t> kMemoryMib{ 1, 1 << 24 };
constexpr Range<std::int64_t> kTokens{ 1, 1'000'000'000 };
constexpr Range<double> kTokensPerSecond{ 0.1, 1e9 };
constexpr Range<std::int64_t> kCount{ 1, 100'000 };
constexpr Range<std::int64_t> kCountOrZero{ 0, 100'000 };
constexpr Range<std::int64_t> kKeepers{ 1, 1000 };
constexpr Range<std::int64_t> kWeight{ 1, 1000 };
constexpr Range<milliseconds> kLongTime{ milliseconds(0), milliseconds(3'600'000) };
constexpr Range<milliseconds> kTimeout{ milliseconds(10), milliseconds(3'600'000) };
constexpr std::array<std::string_view, 6> kMethods{ "GET",    "POST",  "PUT",
                                                    "DELETE", "PATCH", "HEAD" };

bool IsNameCharacter(char aCharacter)
{
  constexpr std::string_view kMarks = "-_.:";
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') ||
         kMarks.find(aCharacter) != std::string_view::npos;
}

std::string ReadName(MapReader& aReader, const std::string& aKey)
{
  std::string name = aReader.Text(aKey);
  if (name.size() > kLongestName || !std::ranges::all_of(name, IsNameCharacter)) {
    aReader.Report(
      aKey, "'" + aKey + "' must have up to 96 letters, digits, '-', '_', '.', ':'");
  }
  return name;
}

RequestClass ReadClass(MapReader& aReader,
                       const std::optional<std::string>& aDefault = {})
{
  const std::string name = aReader.Text("class", aDefault);
  try {
    return ParseClass(name);
  } catch (const ConfigurationError&) {
    if (aReader.Has("class")) {
      aReader.Report("class",
                     "'class' must be urgent, streamed, short, irreversible or batch");
    }
    return RequestClass::Streamed;
  }
}

std::uint32_t ReadCount(MapReader& aReader,
                        const std::string& aKey,
                        Range<std::int64_t> aRange,
                        std::optional<std::int64_t> aDefault = {})
{
  return static_cast<std::uint32_t>(aReader.Integer(aKey, aRange, aDefault));
}

units::Tokens ReadTokens(MapReader& aReader,
                         const std::string& aKey,
                         std::optional<std::int64_t> aDefault = {})
{
  return units::Tokens(aReader.Integer(aKey, kTokens, aDefault));
}

units::Bytes ReadMemory(MapReader& aReader)
{
  return units::Bytes(aReader.Integer("memory_mib", kMemoryMib) * kBytesPerMib);
}

void Read(MapReader& aReader, AvailabilityZone& aZone)
{
  aZone.mName = ids::AvailabilityZoneId(ReadName(aReader, "name"));
  aZone.mClass = ReadName(aReader, "class");
  aZone.mRegion = ReadName(aReader, "region");
  MapReader limits = aReader.Map("limits", true);
  aZone.mLoadsAtOnce = ReadCount(limits, "loads_at_once", kCount);
  limits.Finish();
}

void Read(MapReader& aReader, ClientAccount& aAccount)
{
  aAccount.mName = ids::ClientAccountId(ReadName(aReader, "name"));
  aAccount.mClass = ReadClass(aReader);
  MapReader limits = aReader.Map("limits", true);
  aAccount.mRate =
    units::TokensPerSecond(limits.Number("tokens_per_second", kTokensPerSecond));
  aAccount.mBurst = ReadTokens(limits, "burst_tokens");
  aAccount.mWeight = ReadCount(limits, "weight", kWeight, aAccount.mWeight);
  limits.Finish();
}

void ReadModelBody(MapReader& aReader, Model& aModel)
{
  aModel.mName = ids::ModelId(ReadName(aReader, "name"));
  aModel.mClass = ReadClass(aReader);
  aModel.mPool = ids::PoolId(ReadName(aReader, "pool"));
  MapReader limits = aReader.Map("limits", true);
  aModel.mMemory = ReadMemory(limits);
  aModel.mMaxOutput = ReadTokens(limits, "output_tokens", aModel.mMaxOutput.Count());
  aModel.mMaxPrompt = ReadTokens(limits, "prompt_tokens", aModel.mMaxPrompt.Count());
  aModel.mKeepers = ReadCount(limits, "keepers", kKeepers, aModel.mKeepers);
  aModel.mKnee = ReadCount(limits, "knee", kCountOrZero, aModel.mKnee);
  limits.Finish();
}

void Read(MapReader& aReader, Model& aModel)
{
  ReadModelBody(aReader, aModel);
}

PoolKind ReadKind(MapReader& aReader)
{
  const std::string kind = aReader.Text("kind");
  if (kind != "engine" && kind != "service" && aReader.Has("kind")) {
    aReader.Report("kind", "'kind' must be engine or service");
  }
  return kind == "service" ? PoolKind::Service : PoolKind::Engine;
}

void Read(MapReader& aReader, EndpointPool& aPool)
{
  aPool.mName = ids::PoolId(ReadName(aReader, "name"));
  aPool.mClass = ReadName(aReader, "class");
  aPool.mKind = ReadKind(aReader);
  const bool engine = aPool.mKind == PoolKind::Engine;
  if (engine) {
    aPool.mChecksFencing = aReader.Flag("checks_fencing");
  }
  MapReader limits = aReader.Map("limits", true);
  if (engine) {
    aPool.mMemory = ReadMemory(limits);
    aPool.mLongestOrder =
      limits.Milliseconds("longest_order_ms", kLongTime, aPool.mLongestOrder);
  }
  aPool.mInFlight = ReadCount(limits, "in_flight", kCount);
  aPool.mQueue = ReadCount(limits, "queue", kCountOrZero, aPool.mQueue);
  aPool.mColdInFlight = ReadCount(limits, "cold_in_flight", kCount);
  aPool.mColdDuration = limits.Milliseconds("cold_ms", kLongTime);
  if (aPool.mColdInFlight > aPool.mInFlight) {
    limits.Report("cold_in_flight", "'cold_in_flight' must not exceed in_flight");
  }
  limits.Finish();
}

void Read(MapReader& aReader, ServiceCall& aCall)
{
  aCall.mMethod = aReader.Text("method");
  aCall.mPath = aReader.Text("path");
  aCall.mRepeatable = aReader.Flag("repeatable");
  aCall.mClass = ReadClass(aReader, aCall.mRepeatable ? "short" : "irreversible");
  aCall.mCost = units::Tokens(
    aReader.Integer("cost_tokens", { 0, kTokens.mMax }, aCall.mCost.Count()));
  if (aReader.Has("method") &&
      std::ranges::find(kMethods, aCall.mMethod) == kMethods.end()) {
    aReader.Report("method", "'method' must be GET, POST, PUT, DELETE, PATCH or HEAD");
  }
  if (aReader.Has("path") && !aCall.mPath.starts_with('/')) {
    aReader.Report("path", "'path' must begin with '/'");
  }
  if (!aCall.mRepeatable && aReader.Has("class") &&
      aCall.mClass != RequestClass::Irreversible) {
    aReader.Report("class", "a call that is not repeatable has the class irreversible");
  }
  aReader.Finish();
}

std::vector<ServiceCall> ReadCalls(MapReader& aReader, findings::Findings& aFindings)
{
  std::vector<ServiceCall> calls;
  std::set<std::pair<std::string, std::string>> seen;
  for (const YAML::Node& node : aReader.List("calls")) {
    MapReader reader(node, "call", aFindings);
    ServiceCall& call = calls.emplace_back();
    Read(reader, call);
    if (!seen.emplace(call.mMethod, call.mPath).second) {
      reader.Report("path",
                    "call '" + call.mMethod + " " + call.mPath + "' stands twice",
                    "duplicate-name");
    }
  }
  if (calls.empty()) {
    aReader.Report("calls", "'calls' must name at least one call");
  }
  return calls;
}

bool IsRoute(const std::string& aRoute)
{
  return aRoute.size() > 1 && aRoute.starts_with('/') && !aRoute.ends_with('/') &&
         aRoute != "/v1" && !aRoute.starts_with("/v1/");
}

void Read(MapReader& aReader, Service& aService)
{
  aService.mName = ids::ServiceId(ReadName(aReader, "name"));
  aService.mClass = ReadClass(aReader);
  aService.mPool = ids::PoolId(ReadName(aReader, "pool"));
  aService.mRoute = aReader.Text("route");
  aService.mOpen = aReader.Flag("open", false);
  if (aReader.Has("route") && !IsRoute(aService.mRoute)) {
    aReader.Report("route",
                   "'route' must begin with '/', not end with it, not be below /v1");
  }
  MapReader limits = aReader.Map("limits", true);
  aService.mTimeout = limits.Milliseconds("timeout_ms", kTimeout);
  limits.Finish();
}

/// Reads the list under aKey; aReadRest reads what only this kind of entry has.
template<typename Entry, typename ReadRest>
std::vector<Declared<Entry>> ReadEntries(MapReader& aReader,
                                         findings::Findings& aFindings,
                                         const std::string& aKey,
                                         const std::string& aKind,
                                         ReadRest aReadRest)
{
  std::vector<Declared<Entry>> entries;
  for (const YAML::Node& node : aReader.List(aKey)) {
    MapReader reader(node, aKind, aFindings);
    Entry entry;
    Read(reader, entry);
    reader.Rename(aKind + " '" + entry.mName.Str() + "'");
    entry.mOwner = reader.Text("owner");
    aReadRest(reader, entry);
    reader.Finish();
    entries.push_back({ std::move(entry), std::move(reader) });
  }
  return entries;
}

template<typename Entry>
std::vector<Declared<Entry>> ReadEntries(MapReader& aReader,
                                         findings::Findings& aFindings,
                                         const std::string& aKey,
                                         const std::string& aKind)
{
  return ReadEntries<Entry>(aReader, aFindings, aKey, aKind, [](MapReader&, Entry&) {});
}

WeightStore ReadWeightStore(MapReader aReader)
{
  WeightStore weightStore;
  weightStore.mLoadsPerSecond = aReader.Number("loads_per_second", { 0.001, 10'000.0 });
  weightStore.mLoadsAtOnce = ReadCount(aReader, "loads_at_once", kCount);
  aReader.Finish();
  return weightStore;
}

}

DeclaredCatalogue ReadDeclarations(MapReader& aReader, findings::Findings& aFindings)
{
  DeclaredCatalogue catalogue;
  catalogue.mWeightStore = ReadWeightStore(aReader.Map("weight_store", true));
  catalogue.mAvailabilityZones = ReadEntries<AvailabilityZone>(
    aReader, aFindings, "availability_zones", "availability zone");
  catalogue.mClientAccounts =
    ReadEntries<ClientAccount>(aReader, aFindings, "client_accounts", "client account");
  catalogue.mPools = ReadEntries<EndpointPool>(aReader, aFindings, "pools", "pool");
  catalogue.mModels = ReadEntries<Model>(aReader, aFindings, "models", "model");
  std::vector<Declared<Model>> adapters = ReadEntries<Model>(
    aReader, aFindings, "adapters", "adapter", [](MapReader& aAdapter, Model& aModel) {
      aModel.mBase = ids::ModelId(ReadName(aAdapter, "base"));
    });
  std::ranges::move(adapters, std::back_inserter(catalogue.mModels));
  catalogue.mServices = ReadEntries<Service>(
    aReader, aFindings, "services", "service", [&](MapReader& aEntry, Service& aService) {
      aService.mCalls = ReadCalls(aEntry, aFindings);
    });
  return catalogue;
}

}

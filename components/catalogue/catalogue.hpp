#ifndef SAMPHIRESAIL_COMPONENTS_CATALOGUE_CATALOGUE_HPP
#define SAMPHIRESAIL_COMPONENTS_CATALOGUE_CATALOGUE_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "components/ids/ids.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::catalogue {

/// Kinds of requests in the order in which a contended endpoint serves them.
enum class RequestClass
{
  Urgent,
  Streamed,
  Short,
  Irreversible,
  Batch,
};

struct AvailabilityZone
{
  ids::AvailabilityZoneId mName;
  std::string mOwner;
  std::string mClass;
  std::string mRegion;
  /// True while operators have taken the availability zone out.
  bool mOut{ false };
  /// Loads of models that may run at once at the endpoints of the availability zone.
  std::uint32_t mLoadsAtOnce{ 1 };
};

struct ClientAccount
{
  ids::ClientAccountId mName;
  std::string mOwner;
  /// Class of requests that name none themselves.
  RequestClass mClass{ RequestClass::Streamed };
  /// Fleet-wide limits, counted in prompt and output tokens.
  units::TokensPerSecond mRate;
  units::Tokens mBurst;
  /// Weight in the fair share at a contended endpoint.
  std::uint32_t mWeight{ 1 };
};

/// Model, or adapter on top of a base model.
struct Model
{
  ids::ModelId mName;
  std::string mOwner;
  RequestClass mClass{ RequestClass::Streamed };
  /// Base model of an adapter; empty for a model.
  ids::ModelId mBase;
  /// Pool whose endpoints may hold the model.
  ids::PoolId mPool;
  units::Bytes mMemory;
  units::Tokens mMaxOutput{ 1024 };
  units::Tokens mMaxPrompt{ 8192 };
  /// Number of endpoints that must keep the model resident.
  std::uint32_t mKeepers{ 1 };
  /// Requests in flight for the model at one endpoint above which latency rises.
  std::uint32_t mKnee{ 0 };
};

enum class PoolKind
{
  Engine,
  Service,
};

/// Like endpoints with the limits that hold for each of them.
struct EndpointPool
{
  ids::PoolId mName;
  std::string mOwner;
  std::string mClass;
  PoolKind mKind{ PoolKind::Engine };
  units::Bytes mMemory;
  std::uint32_t mInFlight{ 8 };
  /// Requests that may wait at the agent.
  std::uint32_t mQueue{ 64 };
  /// Requests in flight that an endpoint bears in cold start.
  std::uint32_t mColdInFlight{ 1 };
  std::chrono::milliseconds mColdDuration{ 0 };
  /// True if the endpoints refuse orders with an old fencing number.
  bool mChecksFencing{ false };
  /// Longest time after which a sent order can still take effect.
  std::chrono::milliseconds mLongestOrder{ 30000 };
};

/// Call of a plain service, matched by method and path below the service's route.
struct ServiceCall
{
  std::string mMethod;
  /// Path below the route; a trailing `*` stands for any rest.
  std::string mPath;
  /// False if the call must run at most once.
  bool mRepeatable{ true };
  RequestClass mClass{ RequestClass::Short };
  /// Tokens charged to the client account for one call.
  units::Tokens mCost{ 1 };
};

struct Service
{
  ids::ServiceId mName;
  std::string mOwner;
  RequestClass mClass{ RequestClass::Short };
  ids::PoolId mPool;
  /// Path prefix under which callers reach the service.
  std::string mRoute;
  /// True if no key is needed.
  bool mOpen{ false };
  std::vector<ServiceCall> mCalls;
  std::chrono::milliseconds mTimeout{ 10000 };
};

struct WeightStore
{
  /// Loads that may begin per second and run at once over the whole fleet.
  double mLoadsPerSecond{ 1.0 };
  std::uint32_t mLoadsAtOnce{ 1 };
};

/// Declared state of the system, kept in version control by the operators.
struct Catalogue
{
  std::vector<AvailabilityZone> mAvailabilityZones;
  std::vector<ClientAccount> mClientAccounts;
  std::vector<Model> mModels;
  std::vector<EndpointPool> mPools;
  std::vector<Service> mServices;
  WeightStore mWeightStore;
};

/// Key of a client account, stored as a digest only.
struct IssuedKey
{
  ids::KeyHash mHash;
  ids::ClientAccountId mAccount;
  /// Short public name by which operators withdraw the key.
  std::string mName;
};

/// Versioned record in the platform's store that every process follows.
struct Configuration
{
  units::Version mVersion;
  Catalogue mCatalogue;
  std::vector<IssuedKey> mKeys;
  /// Identifiers of the latest edits, oldest first. An operator whose answer was lost
  /// looks here whether the edit took effect, also after others wrote.
  std::vector<std::string> mRecentEdits;
};

}

#endif

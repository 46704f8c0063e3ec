#include <benchmark/benchmark.h>

#include <chrono>
#include <string>

#include "apps/samphiresail/entry/control/entrycore.hpp"
#include "apps/tests/support/memorystore.hpp"
#include "components/catalogue/configurationcodec.hpp"
#include "components/store/storekeys.hpp"

namespace {

using namespace samphiresail;
using namespace std::chrono_literals;

constexpr int kEndpoints = 600;
constexpr int kModels = 540;
constexpr timing::Duration kTick = 20ms;

/// One control core with the records of a large fleet, whose store answers at once.
class ControlFixture
{
public:
  ControlFixture()
    : mStore(mClock)
    , mCore(Settings(), mPool)
  {
    WriteRecords();
    for (int it = 0; it < 500; ++it) {
      mClock.Advance(kTick);
      Carry(mCore.Tick(mClock.Now()));
    }
  }

  entry::Actions Tick()
  {
    mClock.Advance(kTick);
    return mCore.Tick(mClock.Now());
  }

  void Carry(const entry::Actions& aActions)
  {
    for (const entry::Action& action : aActions) {
      if (const auto* call = std::get_if<entry::StoreCall>(&action)) {
        const auto reply = mStore.Execute(call->mRequest, 1s);
        Carry(mCore.OnStoreReply(call->mId, reply, mClock.Now()));
      }
    }
  }

  std::size_t AgentCount() const { return mCore.State().mAgents.size(); }

private:
  static entry::ControlSettings Settings()
  {
    entry::ControlSettings settings;
    settings.mSelf = { ids::ProcessId("entry"),
                       units::Incarnation(1),
                       "10.0.0.1:7000",
                       ids::AvailabilityZoneId("zone-0"),
                       ids::VmId("vm") };
    settings.mTimes = { 2500ms, 2s };
    return settings;
  }

  void WriteRecords()
  {
    catalogue::Configuration configuration;
    configuration.mVersion = units::Version(1);
    configuration.mCatalogue.mModels.resize(kModels);
    for (int it = 0; it < kModels; ++it) {
      configuration.mCatalogue.mModels.at(static_cast<std::size_t>(it)).mName =
        ids::ModelId("model-" + std::to_string(it));
    }
    store::TransactionRequest put;
    put.mWrites.emplace_back(store::PutOperation{
      store::kConfigurationKey, catalogue::EncodeConfiguration(configuration), 0 });
    for (int it = 0; it < kEndpoints; ++it) {
      wire::AgentRecord agent;
      agent.set_endpoint("endpoint-" + std::to_string(it));
      agent.set_availability_zone("zone-" + std::to_string(it % 5));
      put.mWrites.emplace_back(store::PutOperation{
        store::kAgentPrefix + agent.endpoint(), agent.SerializeAsString(), 0 });
    }
    mStore.Execute(put, 1s);
  }

  timing::ManualClock mClock;
  tests::MemoryStore mStore;
  limits::CreditPool mPool;
  entry::EntryCore mCore;
};

/// The store's answers are taken outside of the measured time.
void ControlTick(benchmark::State& aState)
{
  ControlFixture fixture;
  for (auto _ : aState) {
    const entry::Actions actions = fixture.Tick();
    aState.PauseTiming();
    fixture.Carry(actions);
    aState.ResumeTiming();
  }
  aState.counters["endpoints"] = static_cast<double>(fixture.AgentCount());
}

/// The answers of the store, read in full every ten seconds, are part of the time.
void ControlTickWithStoreAnswers(benchmark::State& aState)
{
  ControlFixture fixture;
  for (auto _ : aState) {
    fixture.Carry(fixture.Tick());
  }
  aState.counters["endpoints"] = static_cast<double>(fixture.AgentCount());
}

BENCHMARK(ControlTick);
BENCHMARK(ControlTickWithStoreAnswers);

}

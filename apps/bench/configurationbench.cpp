#include <benchmark/benchmark.h>

#include "components/catalogue/configurationcodec.hpp"

namespace {

using namespace samphiresail;

void DecodeConfigurationOfManyModels(benchmark::State& aState)
{
  catalogue::Configuration configuration;
  configuration.mCatalogue.mModels.resize(static_cast<std::size_t>(aState.range(0)));
  const std::string text = catalogue::EncodeConfiguration(configuration);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(catalogue::DecodeConfiguration(text));
  }
}

BENCHMARK(DecodeConfigurationOfManyModels)->Arg(25)->Arg(100)->Arg(540);

}

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "apps/fuzz/decoders.hpp"

// The build names one decoder for each target.
#ifndef SAMPHIRESAIL_DECODER
#define SAMPHIRESAIL_DECODER "frame"
#endif

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  static const auto& decoder = samphiresail::fuzz::FindDecoder(SAMPHIRESAIL_DECODER);
  decoder.mRun({ reinterpret_cast<const char*>(aData), aSize });
  return 0;
}

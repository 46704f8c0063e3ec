#include <cstddef>
#include <cstdint>
#include <string_view>

#include "apps/fuzz/decoders.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  static const auto& decoder = samphiresail::fuzz::FindDecoder(SAMPHIRESAIL_DECODER);
  decoder.mRun({ reinterpret_cast<const char*>(aData), aSize });
  return 0;
}

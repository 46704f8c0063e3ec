#ifndef SAMPHIRESAIL_APPS_FUZZ_DECODERS_HPP
#define SAMPHIRESAIL_APPS_FUZZ_DECODERS_HPP

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiresail::fuzz {

/// Decoder of bytes that come from outside the process.
struct Decoder
{
  std::string mName;
  /// Decodes the bytes and checks what was decoded. Refusing malformed bytes in the
  /// documented way is fine; any other exception, or a failed check, is a fault.
  std::function<void(std::string_view)> mRun;
  /// Well-formed inputs from which others are derived.
  std::vector<std::string> mSeeds;
};

/// All decoders, in a fixed order.
const std::vector<Decoder>& Decoders();

/// Returns the decoder with the name; throws std::invalid_argument if there is none.
const Decoder& FindDecoder(std::string_view aName);

}

#endif

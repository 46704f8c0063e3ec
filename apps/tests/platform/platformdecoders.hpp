#ifndef SAMPHIRESAIL_APPS_TESTS_PLATFORM_PLATFORMDECODERS_HPP
#define SAMPHIRESAIL_APPS_TESTS_PLATFORM_PLATFORMDECODERS_HPP

#include <vector>

#include "apps/fuzz/decoders.hpp"

namespace samphiresail::fuzz {

/// Decoders of the bytes that an entry on the users' platform reads.
std::vector<Decoder> PlatformDecoders();

}

#endif

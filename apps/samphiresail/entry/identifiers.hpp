#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_IDENTIFIERS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_IDENTIFIERS_HPP

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace samphiresail::entry {

/// Returns the calling thread's generator, seeded from the system.
std::mt19937_64& ThreadGenerator();

/// Returns 128 random bits as lower-case hexadecimal text after a prefix.
std::string MakeIdentifier(std::string_view aPrefix);

/// Returns 64 random bits that are not zero.
std::uint64_t MakeRandomNumber();

/// Returns the SHA-256 digest of the text as raw bytes.
std::string DigestText(std::string_view aText);

/// Writes bytes as lower-case hexadecimal text.
std::string HexText(std::string_view aBytes);

}

#endif

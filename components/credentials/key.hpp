#ifndef SAMPHIRESAIL_COMPONENTS_CREDENTIALS_KEY_HPP
#define SAMPHIRESAIL_COMPONENTS_CREDENTIALS_KEY_HPP

#include <string>
#include <string_view>

#include "components/ids/ids.hpp"

namespace samphiresail::credentials {

/// Begins every key, so that a leaked one can be found by its look.
inline constexpr std::string_view kKeyPrefix = "ssk_";

/// Draws a key with 256 random bits. Throws std::runtime_error if the system has no
/// randomness to give.
std::string GenerateKey();

/// Draws a public name for a key of the account, by which operators withdraw it.
std::string GenerateKeyName(const ids::ClientAccountId& aAccount);

/// Draws 128 random bits in hexadecimal, for identifiers that must be unique.
std::string GenerateToken();

/// Returns the digest under which a key is stored. A key has full entropy, so that a
/// plain digest does not give it away.
ids::KeyHash HashKey(std::string_view aKey);

}

#endif

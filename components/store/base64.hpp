#ifndef SAMPHIRESAIL_COMPONENTS_STORE_BASE64_HPP
#define SAMPHIRESAIL_COMPONENTS_STORE_BASE64_HPP

#include <optional>
#include <string>
#include <string_view>

namespace samphiresail::store {

/// Encodes bytes as base64 with padding.
std::string EncodeBase64(std::string_view aBytes);

/// Decodes base64 with padding; returns nothing for malformed text.
std::optional<std::string> DecodeBase64(std::string_view aText);

}

#endif

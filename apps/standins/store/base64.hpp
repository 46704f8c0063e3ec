#ifndef SAMPHIRESAIL_APPS_STANDINS_STORE_BASE64_HPP
#define SAMPHIRESAIL_APPS_STANDINS_STORE_BASE64_HPP

#include <string>

namespace samphiresail::standins {

std::string EncodeBase64(const std::string& aBytes);

/// Throws std::invalid_argument for text that is not padded base64.
std::string DecodeBase64(const std::string& aText);

}

#endif

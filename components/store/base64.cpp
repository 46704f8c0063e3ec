#include "components/store/base64.hpp"

#include <algorithm>

#include <openssl/evp.h>

namespace samphiresail::store {

namespace {

/// Base64 turns groups of three bytes into four characters.
constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupCharacters = 4;

std::size_t CountPadding(std::string_view aText)
{
  const auto last = aText.find_last_not_of('=');
  return last == std::string_view::npos ? aText.size() : aText.size() - last - 1;
}

}

std::string EncodeBase64(std::string_view aBytes)
{
  const std::size_t groups = (aBytes.size() + kGroupBytes - 1) / kGroupBytes;
  std::string text(groups * kGroupCharacters + 1, '\0');
  const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                reinterpret_cast<const unsigned char*>(aBytes.data()),
                                static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(n));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view aText)
{
  const std::size_t padding = CountPadding(aText);
  if (aText.size() % kGroupCharacters != 0 || padding >= kGroupBytes) {
    return std::nullopt;
  }
  std::string bytes(aText.size() / kGroupCharacters * kGroupBytes, '\0');
  const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                reinterpret_cast<const unsigned char*>(aText.data()),
                                static_cast<int>(aText.size()));
  if (n < 0 || static_cast<std::size_t>(n) < padding) {
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(n) - padding);
  return bytes;
}

}

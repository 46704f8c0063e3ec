#include "components/credentials/key.hpp"

#include <array>
#include <span>
#include <stdexcept>

#include <openssl/evp.h>
#include <openssl/rand.h>

namespace samphiresail::credentials {

namespace {

constexpr std::size_t kKeyBytes = 32;
constexpr std::size_t kNameBytes = 4;
constexpr std::size_t kTokenBytes = 16;

std::string ToHex(std::span<const unsigned char> aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (const unsigned char byte : aBytes) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0xFU];
  }
  return text;
}

template<std::size_t Size>
std::string RandomHex()
{
  std::array<unsigned char, Size> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error("no randomness for a key");
  }
  return ToHex(bytes);
}

}

std::string GenerateKey()
{
  return std::string(kKeyPrefix) + RandomHex<kKeyBytes>();
}

std::string GenerateKeyName(const ids::ClientAccountId& aAccount)
{
  return aAccount.Str() + "-" + RandomHex<kNameBytes>();
}

std::string GenerateToken()
{
  return RandomHex<kTokenBytes>();
}

ids::KeyHash HashKey(std::string_view aKey)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  if (EVP_Digest(aKey.data(), aKey.size(), digest.data(), &size, EVP_sha256(), nullptr) !=
      1) {
    throw std::runtime_error("no digest for a key");
  }
  return ids::KeyHash(ToHex(std::span(digest).first(size)));
}

}

#include "apps/standins/store/base64.hpp"

#include <stdexcept>

#include <openssl/evp.h>

namespace samphiresail::standins {

namespace {

constexpr std::size_t kGroup = 4;
constexpr std::size_t kBytesPerGroup = 3;

unsigned char* Bytes(std::string& aText)
{
  return reinterpret_cast<unsigned char*>(aText.data());
}

const unsigned char* Bytes(const std::string& aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

}

std::string EncodeBase64(const std::string& aBytes)
{
  const auto groups = (aBytes.size() + kBytesPerGroup - 1) / kBytesPerGroup;
  std::string text(groups * kGroup + 1, '\0');
  const auto n =
    EVP_EncodeBlock(Bytes(text), Bytes(aBytes), static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(n));
  return text;
}

std::string DecodeBase64(const std::string& aText)
{
  if (aText.size() % kGroup != 0) {
    throw std::invalid_argument("illegal base64 data");
  }
  if (aText.empty()) {
    return {};
  }
  std::string bytes(aText.size() / kGroup * kBytesPerGroup, '\0');
  const auto n =
    EVP_DecodeBlock(Bytes(bytes), Bytes(aText), static_cast<int>(aText.size()));
  if (n < 0) {
    throw std::invalid_argument("illegal base64 data");
  }
  const auto padding = aText.size() - 1 - aText.find_last_not_of('=');
  bytes.resize(static_cast<std::size_t>(n) - padding);
  return bytes;
}

}

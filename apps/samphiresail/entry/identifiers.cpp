#include "apps/samphiresail/entry/identifiers.hpp"

#include <algorithm>
#include <array>
#include <random>

#include <openssl/sha.h>

namespace samphiresail::entry {

namespace {

void AppendNumber(std::string& aText, std::uint64_t aNumber)
{
  for (int shift = 56; shift >= 0; shift -= 8) {
    aText.push_back(static_cast<char>((aNumber >> shift) & 0xff));
  }
}

}

std::mt19937_64& ThreadGenerator()
{
  thread_local std::mt19937_64 generator = [] {
    std::random_device device;
    std::seed_seq seed{ device(), device(), device(), device() };
    return std::mt19937_64(seed);
  }();
  return generator;
}

std::string MakeIdentifier(std::string_view aPrefix)
{
  std::string bytes;
  AppendNumber(bytes, ThreadGenerator()());
  AppendNumber(bytes, ThreadGenerator()());
  return std::string(aPrefix) + HexText(bytes);
}

std::uint64_t MakeRandomNumber()
{
  return std::uniform_int_distribution<std::uint64_t>(1)(ThreadGenerator());
}

std::string DigestText(std::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(
    reinterpret_cast<const unsigned char*>(aText.data()), aText.size(), digest.data());
  return { reinterpret_cast<const char*>(digest.data()), digest.size() };
}

std::string HexText(std::string_view aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (const char byte : aBytes) {
    const auto value = static_cast<unsigned char>(byte);
    text.push_back(kDigits[value >> 4U]);
    text.push_back(kDigits[value & 0xfU]);
  }
  return text;
}

}

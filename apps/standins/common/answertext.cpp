#include "apps/standins/common/answertext.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <numeric>

namespace samphiresail::standins {

namespace {

constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL;
constexpr std::uint64_t kPrime = 1099511628211ULL;

/// FNV-1a over the text, continued from an earlier digest.
std::uint64_t Extend(std::uint64_t aDigest, std::string_view aText)
{
  return std::accumulate(
    aText.begin(), aText.end(), aDigest, [](std::uint64_t aSum, char aByte) {
      return (aSum ^ static_cast<unsigned char>(aByte)) * kPrime;
    });
}

/// Finalizer of the splitmix64 generator.
std::uint64_t Mix(std::uint64_t aValue)
{
  aValue += 0x9e3779b97f4a7c15ULL;
  aValue = (aValue ^ (aValue >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  aValue = (aValue ^ (aValue >> 27U)) * 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31U);
}

}

std::string MessageText(const nlohmann::json& aMessage)
{
  const auto content = aMessage.find("content");
  if (content == aMessage.end()) {
    return {};
  }
  if (content->is_string()) {
    return content->get<std::string>();
  }
  std::string text;
  for (const auto& part : *content) {
    text += part.value("text", "");
  }
  return text;
}

std::uint64_t MessagesDigest(const nlohmann::json& aMessages)
{
  auto digest = kOffsetBasis;
  for (const auto& message : aMessages) {
    digest = Extend(digest, message.value("role", ""));
    digest = Extend(digest, "\n");
    digest = Extend(digest, MessageText(message));
    digest = Extend(digest, "\n");
  }
  return digest;
}

std::uint64_t PromptDigest(std::string_view aPrompt)
{
  return Extend(kOffsetBasis, aPrompt);
}

std::string AnswerToken(std::uint64_t aDigest, std::size_t aIndex)
{
  constexpr std::uint64_t kMask = 0xffffffU;
  std::array<char, 16> buf{};
  const auto word = static_cast<unsigned>(Mix(aDigest + aIndex) & kMask);
  std::snprintf(buf.data(), buf.size(), "%sw%06x", aIndex == 0 ? "" : " ", word);
  return buf.data();
}

std::string AnswerText(std::uint64_t aDigest, std::size_t aTokens)
{
  std::string text;
  for (std::size_t it = 0; it < aTokens; ++it) {
    text += AnswerToken(aDigest, it);
  }
  return text;
}

std::size_t CountTokens(std::string_view aText)
{
  const auto isBlank = [](char aByte) {
    return std::isspace(static_cast<unsigned char>(aByte)) != 0;
  };
  std::size_t words = 0;
  bool inWord = false;
  for (const char it : aText) {
    const bool blank = isBlank(it);
    words += static_cast<std::size_t>(!blank && !inWord);
    inWord = !blank;
  }
  return words;
}

}

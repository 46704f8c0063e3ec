#ifndef SAMPHIRESAIL_APPS_STANDINS_COMMON_ANSWERTEXT_HPP
#define SAMPHIRESAIL_APPS_STANDINS_COMMON_ANSWERTEXT_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace samphiresail::standins {

/// Digest of the messages of a chat request; the caller of a test computes the same.
std::uint64_t MessagesDigest(const nlohmann::json& aMessages);

/// Digest of the prompt of a completion request.
std::uint64_t PromptDigest(std::string_view aPrompt);

/// Text of one token of the answer, with the blank that separates it from the one before.
std::string AnswerToken(std::uint64_t aDigest, std::size_t aIndex);

/// Whole answer of the stand-in engine with the given number of tokens.
std::string AnswerText(std::uint64_t aDigest, std::size_t aTokens);

/// Number of words separated by blanks; the stand-in's measure of tokens.
std::size_t CountTokens(std::string_view aText);

/// Text of a message whose content is a string or a list of parts.
std::string MessageText(const nlohmann::json& aMessage);

}

#endif

#ifndef SAMPHIRESAIL_APPS_STANDINS_ENGINE_GENERATION_HPP
#define SAMPHIRESAIL_APPS_STANDINS_ENGINE_GENERATION_HPP

#include <functional>
#include <stdexcept>
#include <string>

#include <nlohmann/json.hpp>

#include "apps/standins/engine/engine.hpp"

namespace samphiresail::standins {

/// Thrown for a generation request that the engine refuses.
class RequestError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

enum class ApiKind
{
  Chat,
  Completion,
};

struct GenerationRequest
{
  ApiKind mKind{ ApiKind::Chat };
  std::string mModel;
  std::uint64_t mPromptDigest{ 0 };
  std::size_t mPromptTokens{ 0 };
  /// Tokens of the answer that the caller already holds.
  std::size_t mStart{ 0 };
  /// Number of tokens of the whole answer, those before mStart included.
  std::size_t mEnd{ 0 };
  bool mStopped{ false };
  bool mStream{ false };
  bool mIncludeUsage{ false };
};

/// Reads a request. A last message of the assistant with continue_final_message, or
/// continue_from with a number of tokens, resumes the answer. Throws RequestError.
GenerationRequest ReadGeneration(ApiKind aKind,
                                 const nlohmann::json& aBody,
                                 std::size_t aAnswerTokens);

/// Whole answer of a unary request.
nlohmann::json WriteAnswer(const GenerationRequest& aRequest, const std::string& aId);
/// Server-sent event with the role, one token, or the reason for the end.
std::string RoleEvent(const GenerationRequest& aRequest, const std::string& aId);
std::string TokenEvent(const GenerationRequest& aRequest,
                       const std::string& aId,
                       std::size_t aIndex);
std::string FinishEvent(const GenerationRequest& aRequest, const std::string& aId);
std::string UsageEvent(const GenerationRequest& aRequest, const std::string& aId);

enum class GenerationEnd
{
  Completed,
  CallerGone,
  Cut,
};

/// Emits one token after the other at the engine's pace and with its faults. The function
/// returns false if the caller is gone.
GenerationEnd Generate(Engine& aEngine,
                       const GenerationRequest& aRequest,
                       JournalEntry& aEntry,
                       const std::function<bool(std::size_t)>& aEmit);

}

#endif

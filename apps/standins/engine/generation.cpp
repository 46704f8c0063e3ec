#include "apps/standins/engine/generation.hpp"

#include <algorithm>
#include <cstdlib>
#include <thread>

#include "apps/standins/common/answertext.hpp"

namespace samphiresail::standins {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kStallStep{ 50 };

std::size_t PromptTokens(const json& aMessages)
{
  std::size_t tokens = 0;
  for (const auto& message : aMessages) {
    tokens += CountTokens(MessageText(message));
  }
  return tokens;
}

void ReadMessages(const json& aBody, GenerationRequest& aRequest)
{
  auto messages = aBody.at("messages");
  if (!messages.is_array() || messages.empty()) {
    throw RequestError("messages must be a list that is not empty");
  }
  std::string prefix;
  if (aBody.value("continue_final_message", false)) {
    prefix = MessageText(messages.back());
    messages.erase(messages.size() - 1);
  }
  aRequest.mPromptDigest = MessagesDigest(messages);
  aRequest.mPromptTokens = PromptTokens(messages);
  aRequest.mStart = CountTokens(prefix);
  if (prefix != AnswerText(aRequest.mPromptDigest, aRequest.mStart)) {
    throw RequestError("the prefix is not the beginning of the answer");
  }
}

void ReadPrompt(const json& aBody, GenerationRequest& aRequest)
{
  const auto prompt = aBody.at("prompt").get<std::string>();
  aRequest.mPromptDigest = PromptDigest(prompt);
  aRequest.mPromptTokens = CountTokens(prompt);
}

std::size_t MaxTokens(const json& aBody, std::size_t aDefault)
{
  if (aBody.contains("max_completion_tokens")) {
    return aBody["max_completion_tokens"].get<std::size_t>();
  }
  return aBody.value("max_tokens", aDefault);
}

json Frame(const GenerationRequest& aRequest, const std::string& aId, const char* aObject)
{
  return {
    { "id", aId }, { "object", aObject }, { "created", 0 }, { "model", aRequest.mModel }
  };
}

const char* FinishReason(const GenerationRequest& aRequest)
{
  return aRequest.mStopped ? "stop" : "length";
}

json Usage(const GenerationRequest& aRequest)
{
  const auto output = aRequest.mEnd - aRequest.mStart;
  return { { "prompt_tokens", aRequest.mPromptTokens },
           { "completion_tokens", output },
           { "total_tokens", aRequest.mPromptTokens + output } };
}

std::string Event(const json& aBody)
{
  return "data: " + aBody.dump() + "\n\n";
}

json EventFrame(const GenerationRequest& aRequest, const std::string& aId)
{
  return Frame(aRequest,
               aId,
               aRequest.mKind == ApiKind::Chat ? "chat.completion.chunk"
                                               : "text_completion");
}

std::string ChoiceEvent(const GenerationRequest& aRequest,
                        const std::string& aId,
                        const json& aDelta,
                        const std::string& aText,
                        const json& aFinish)
{
  auto body = EventFrame(aRequest, aId);
  json choice{ { "index", 0 }, { "finish_reason", aFinish } };
  if (aRequest.mKind == ApiKind::Chat) {
    choice["delta"] = aDelta;
  } else {
    choice["text"] = aText;
  }
  body["choices"] = json::array({ choice });
  return Event(body);
}

}

GenerationRequest ReadGeneration(ApiKind aKind,
                                 const json& aBody,
                                 std::size_t aAnswerTokens)
{
  GenerationRequest request{ .mKind = aKind };
  request.mModel = aBody.at("model").get<std::string>();
  if (aKind == ApiKind::Chat) {
    ReadMessages(aBody, request);
  } else {
    ReadPrompt(aBody, request);
  }
  request.mStart = aBody.value("continue_from", request.mStart);
  const auto limit = request.mStart + MaxTokens(aBody, aAnswerTokens);
  const auto natural = std::max(aAnswerTokens, request.mStart);
  request.mEnd = std::min(limit, natural);
  request.mStopped = natural <= limit;
  request.mStream = aBody.value("stream", false);
  if (const auto it = aBody.find("stream_options"); it != aBody.end()) {
    request.mIncludeUsage = it->value("include_usage", false);
  }
  return request;
}

json WriteAnswer(const GenerationRequest& aRequest, const std::string& aId)
{
  std::string text;
  for (auto it = aRequest.mStart; it < aRequest.mEnd; ++it) {
    text += AnswerToken(aRequest.mPromptDigest, it);
  }
  const bool chat = aRequest.mKind == ApiKind::Chat;
  auto body = Frame(aRequest, aId, chat ? "chat.completion" : "text_completion");
  json choice{ { "index", 0 }, { "finish_reason", FinishReason(aRequest) } };
  if (chat) {
    choice["message"] = { { "role", "assistant" }, { "content", text } };
  } else {
    choice["text"] = text;
  }
  body["choices"] = json::array({ choice });
  body["usage"] = Usage(aRequest);
  return body;
}

std::string RoleEvent(const GenerationRequest& aRequest, const std::string& aId)
{
  return ChoiceEvent(
    aRequest, aId, { { "role", "assistant" }, { "content", "" } }, "", nullptr);
}

std::string TokenEvent(const GenerationRequest& aRequest,
                       const std::string& aId,
                       std::size_t aIndex)
{
  const auto token = AnswerToken(aRequest.mPromptDigest, aIndex);
  return ChoiceEvent(aRequest, aId, { { "content", token } }, token, nullptr);
}

std::string FinishEvent(const GenerationRequest& aRequest, const std::string& aId)
{
  return ChoiceEvent(aRequest, aId, json::object(), "", FinishReason(aRequest));
}

std::string UsageEvent(const GenerationRequest& aRequest, const std::string& aId)
{
  auto body = EventFrame(aRequest, aId);
  body["choices"] = json::array();
  body["usage"] = Usage(aRequest);
  return Event(body);
}

GenerationEnd Generate(Engine& aEngine,
                       const GenerationRequest& aRequest,
                       JournalEntry& aEntry,
                       const std::function<bool(std::size_t)>& aEmit)
{
  std::size_t afterTokens = 0;
  const auto fault = aEngine.NextFault(afterTokens);
  std::this_thread::sleep_for(aEngine.Options().mFirstToken);
  for (auto it = aRequest.mStart; it < aRequest.mEnd; ++it) {
    if (fault != GenerationFault::None && aEntry.mTokens >= afterTokens) {
      if (fault == GenerationFault::Crash) {
        std::_Exit(EXIT_FAILURE);
      }
      if (fault == GenerationFault::Cut) {
        return GenerationEnd::Cut;
      }
      std::this_thread::sleep_for(kStallStep);
      --it;
      continue;
    }
    std::this_thread::sleep_for(aEngine.TokenTime(aRequest.mModel));
    if (!aEmit(it)) {
      return GenerationEnd::CallerGone;
    }
    ++aEntry.mTokens;
  }
  return GenerationEnd::Completed;
}

}

#include "apps/samphiresail/agent/enginebody.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace samphiresail::agent {

namespace {

using Json = nlohmann::json;

void ContinueAfter(Json& aBody, const std::string& aText)
{
  if (aBody.contains("messages") && aBody["messages"].is_array()) {
    aBody["messages"].push_back({ { "role", "assistant" }, { "content", aText } });
    aBody["continue_final_message"] = true;
    aBody["add_generation_prompt"] = false;
  } else if (aBody.contains("prompt") && aBody["prompt"].is_string()) {
    aBody["prompt"] = aBody["prompt"].get<std::string>() + aText;
  }
}

}

std::string PrepareEngineBody(const std::string& aBody, const EngineLimits& aLimits)
{
  Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return aBody;
  }
  if (aLimits.mMaxOutput.Count() > 0) {
    const units::Tokens left = aLimits.mMaxOutput - aLimits.mResumeTokens;
    body["max_tokens"] = std::max<std::int64_t>(left.Count(), 1);
    body.erase("max_completion_tokens");
  }
  if (aLimits.mStream) {
    body["stream"] = true;
    body["stream_options"] = { { "include_usage", true } };
  }
  if (!aLimits.mResumeText.empty()) {
    ContinueAfter(body, aLimits.mResumeText);
  }
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}

#include "apps/samphiresail/entry/streamtranscript.hpp"

#include <nlohmann/json.hpp>

namespace samphiresail::entry {

using Json = nlohmann::json;

namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kEventEnd = "\n\n";

/// Returns the text that one choice of a chat or completion event adds.
std::string TextOf(const Json& aChoice)
{
  if (const auto text = aChoice.find("text");
      text != aChoice.end() && text->is_string()) {
    return text->get<std::string>();
  }
  const auto delta = aChoice.find("delta");
  if (delta == aChoice.end() || !delta->is_object()) {
    return {};
  }
  const auto content = delta->find("content");
  return content != delta->end() && content->is_string() ? content->get<std::string>()
                                                         : std::string();
}

const Json* FirstChoice(const Json& aEvent)
{
  const auto choices = aEvent.find("choices");
  if (choices == aEvent.end() || !choices->is_array() || choices->empty() ||
      !choices->front().is_object()) {
    return nullptr;
  }
  return &choices->front();
}

bool HasFinishReason(const Json& aChoice)
{
  const auto reason = aChoice.find("finish_reason");
  return reason != aChoice.end() && reason->is_string();
}

/// Moves the tokens of the part before the continuation from the prompt to the output,
/// since the endpoint that continues an answer counts that part as prompt.
void MoveEarlierTokens(Json& aEvent, std::int64_t aEarlier)
{
  const auto usage = aEvent.find("usage");
  if (usage == aEvent.end() || !usage->is_object()) {
    return;
  }
  const auto output = usage->value("completion_tokens", std::int64_t{ 0 }) + aEarlier;
  const auto prompt = usage->value("prompt_tokens", std::int64_t{ 0 }) - aEarlier;
  (*usage)["completion_tokens"] = output;
  (*usage)["prompt_tokens"] = prompt;
  (*usage)["total_tokens"] = prompt + output;
}

/// Returns the event's identifier; empty if it has none.
std::string IdOf(const Json& aEvent)
{
  const auto id = aEvent.find("id");
  return id != aEvent.end() && id->is_string() ? id->get<std::string>() : std::string();
}

}

void StreamTranscript::BeginContinuation()
{
  mContinued = true;
  mEarlierTokens = mTokens;
  mPartial.clear();
}

std::string StreamTranscript::Append(std::string_view aEvents)
{
  mPartial += aEvents;
  std::string output;
  std::size_t begin = 0;
  for (auto end = mPartial.find(kEventEnd); end != std::string::npos;
       end = mPartial.find(kEventEnd, begin)) {
    output += AppendEvent(std::string_view(mPartial).substr(begin, end - begin));
    begin = end + kEventEnd.size();
  }
  mPartial.erase(0, begin);
  return output;
}

std::string StreamTranscript::AppendEvent(std::string_view aEvent)
{
  std::string unchanged = std::string(aEvent) + std::string(kEventEnd);
  if (!aEvent.starts_with(kDataPrefix)) {
    return unchanged;
  }
  Json event = Json::parse(aEvent.substr(kDataPrefix.size()), nullptr, false);
  if (!event.is_object()) {
    return unchanged;
  }
  if (const Json* choice = FirstChoice(event)) {
    const std::string text = TextOf(*choice);
    const bool finishes = HasFinishReason(*choice);
    if (mContinued && text.empty() && !finishes) {
      // The continuation announces the role again, which the caller already has.
      return {};
    }
    mFinished = mFinished || finishes;
    if (!text.empty()) {
      mText += text;
      mTokens += units::Tokens(1);
    }
  }
  if (!mContinued) {
    mId = IdOf(event);
    return unchanged;
  }
  event["id"] = mId;
  MoveEarlierTokens(event, mEarlierTokens.Count());
  return std::string(kDataPrefix) + event.dump() + std::string(kEventEnd);
}

}

#include "apps/samphiresail/agent/answerreader.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace samphiresail::agent {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kEventEndCrLf = "\r\n\r\n";
constexpr std::string_view kData = "data:";
constexpr std::string_view kDone = "[DONE]";
/// Longest unary answer that is searched for usage.
constexpr std::size_t kLongestUnary = 4U << 20;

/// Returns the length of the part that ends with the last whole event.
std::size_t WholeEvents(std::string_view aText)
{
  const auto end = [&](std::string_view aMark) {
    const std::size_t position = aText.rfind(aMark);
    return position == std::string_view::npos ? 0 : position + aMark.size();
  };
  return std::max(end(kEventEnd), end(kEventEndCrLf));
}

std::string_view Trim(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(" \r");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \r") - first + 1);
}

}

AnswerReader::AnswerReader(bool aEventStream)
  : mEventStream(aEventStream)
{
}

std::string AnswerReader::Read(std::string_view aBytes)
{
  if (!mEventStream) {
    if (mUnary.size() + aBytes.size() <= kLongestUnary) {
      mUnary.append(aBytes);
    }
    return std::string(aBytes);
  }
  mPending.append(aBytes);
  const std::size_t whole = WholeEvents(mPending);
  std::string events = mPending.substr(0, whole);
  mPending.erase(0, whole);
  NoteEvents(events);
  return events;
}

std::string AnswerReader::Finish()
{
  if (!mEventStream) {
    NoteUsage(mUnary);
    return {};
  }
  std::string rest;
  rest.swap(mPending);
  NoteEvents(rest);
  return rest;
}

bool AnswerReader::Complete() const
{
  return !mEventStream || mDone;
}

void AnswerReader::NoteEvents(std::string_view aEvents)
{
  std::size_t begin = 0;
  while (begin < aEvents.size()) {
    const std::size_t end = std::min(aEvents.find('\n', begin), aEvents.size());
    const std::string_view line = aEvents.substr(begin, end - begin);
    begin = end + 1;
    if (!line.starts_with(kData)) {
      continue;
    }
    const std::string_view data = Trim(line.substr(kData.size()));
    mDone = mDone || data == kDone;
    if (data.find("\"usage\"") != std::string_view::npos) {
      NoteUsage(data);
    }
  }
}

void AnswerReader::NoteUsage(std::string_view aJson)
{
  const auto answer = nlohmann::json::parse(aJson, nullptr, false);
  if (!answer.is_object() || !answer.contains("usage") || !answer["usage"].is_object()) {
    return;
  }
  const auto& usage = answer["usage"];
  const auto count = [&](const char* aName) {
    const auto it = usage.find(aName);
    const bool valid = it != usage.end() && it->is_number_unsigned();
    return units::Tokens(valid ? it->template get<std::int64_t>() : 0);
  };
  mUsage = { count("prompt_tokens"), count("completion_tokens") };
}

}

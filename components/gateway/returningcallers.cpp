#include "components/gateway/returningcallers.hpp"

#include <string>

#include "components/gateway/peertable.hpp"

namespace samphiresail::gateway {

std::optional<std::uint64_t> ReturningCallers::Key(const RequestMetadata& aMetadata)
{
  if (aMetadata.mPromptParts.empty()) {
    return std::nullopt;
  }
  std::string text = aMetadata.mKey;
  text.append("\n").append(aMetadata.mPath).append("\n").append(aMetadata.mModel.Str());
  text.append("\n").append(aMetadata.mAdapter).append("\n");
  text.append(std::to_string(aMetadata.mPromptTokens)).append(",");
  text.append(std::to_string(aMetadata.mOutputTokens)).append(",");
  text.append(std::to_string(aMetadata.mPromptParts.back().mId));
  return HashName(text);
}

void ReturningCallers::Refuse(std::uint64_t aKey,
                              timing::Instant aFirst,
                              timing::Instant aNow)
{
  if (mRefused.size() < kMaxRemembered || mRefused.contains(aKey)) {
    mRefused[aKey] = { aFirst, aNow };
  }
  mOwn.push_back({ aKey, aNow });
  if (mOwn.size() > kMaxReported) {
    mOwn.pop_front();
  }
}

void ReturningCallers::AddReported(const std::vector<std::uint64_t>& aKeys,
                                   timing::Instant aNow)
{
  for (const std::uint64_t key : aKeys) {
    if (mRefused.size() >= kMaxReportedRemembered) {
      return;
    }
    mRefused.try_emplace(key, Refused{ aNow, aNow });
  }
}

std::optional<timing::Instant> ReturningCallers::FirstAttempt(std::uint64_t aKey) const
{
  const auto it = mRefused.find(aKey);
  return it == mRefused.end() ? std::nullopt : std::optional(it->second.mFirst);
}

std::vector<std::uint64_t> ReturningCallers::Recent(timing::Instant aNow) const
{
  std::vector<std::uint64_t> keys;
  for (const Own& own : mOwn) {
    if (own.mRefusedAt + kReportTime > aNow) {
      keys.push_back(own.mKey);
    }
  }
  return keys;
}

void ReturningCallers::Tick(timing::Instant aNow)
{
  std::erase_if(mRefused, [aNow](const auto& aRow) {
    return aRow.second.mRefusedAt + kLifetime < aNow;
  });
}

}

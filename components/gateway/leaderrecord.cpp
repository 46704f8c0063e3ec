#include "components/gateway/leaderrecord.hpp"

#include <charconv>

namespace samphiresail::gateway {

namespace {

/// Exceeds the number of revisions that a restore can take back.
constexpr std::int64_t kRevisionsPerGeneration = std::int64_t{ 1 } << 32U;

/// Parses a number up to the separator and removes both from the text. Returns false if
/// it does not begin so.
template<typename Number>
bool TakeNumber(std::string_view& aText, char aSeparator, Number& aNumber)
{
  const std::string_view digits = aText.substr(0, aText.find(aSeparator));
  const char* const last = digits.data() + digits.size();
  const auto [end, ec] = std::from_chars(digits.data(), last, aNumber);
  if (ec != std::errc{} || end != last || digits.size() == aText.size()) {
    return false;
  }
  aText.remove_prefix(digits.size() + 1);
  return true;
}

}

std::string FormatLeaderClaim(const LeaderClaim& aClaim)
{
  return aClaim.mProcess.Str() + "\n" + std::to_string(aClaim.mIncarnation) + " " +
         std::to_string(aClaim.mGeneration) + "\n";
}

LeaderClaim ParseLeaderClaim(std::string_view aValue)
{
  const std::size_t line = aValue.find('\n');
  LeaderClaim claim{ ids::ProcessId(std::string(aValue.substr(0, line))), 0, 0 };
  std::string_view rest =
    line == std::string_view::npos ? std::string_view() : aValue.substr(line + 1);
  LeaderClaim numbers;
  if (TakeNumber(rest, ' ', numbers.mIncarnation) &&
      TakeNumber(rest, '\n', numbers.mGeneration) && rest.empty() &&
      numbers.mGeneration >= 0) {
    claim.mIncarnation = numbers.mIncarnation;
    claim.mGeneration = numbers.mGeneration;
  }
  return claim;
}

std::int64_t FencingToken(store::StoreGeneration aGeneration, std::int64_t aRevision)
{
  return aGeneration * kRevisionsPerGeneration + aRevision;
}

}

#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_PROMPTPART_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_PROMPTPART_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiresail::gateway {

/// Part of a prompt that several requests may share.
struct PromptPart
{
  std::uint64_t mId{ 0 };
  std::int64_t mTokens{ 0 };
};

/// Returns the identifier of a part in hexadecimal, as it stands in logs and records.
std::string PartName(std::uint64_t aPart);

/// Returns the names of the parts, separated by commas.
std::string PartNames(const std::vector<std::uint64_t>& aParts);

/// Parses what PartName() returns.
std::optional<std::uint64_t> ParsePartName(std::string_view aName);

}

#endif

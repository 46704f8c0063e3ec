#include "components/credentials/redaction.hpp"

#include <algorithm>
#include <cctype>

#include "components/credentials/key.hpp"

namespace samphiresail::credentials {

std::string RedactKeys(std::string aText)
{
#ifndef SAMPHIRESAIL_MUTANT_KEY_REDACTION
  constexpr std::string_view kReplacement = "[key]";
  std::size_t begin = aText.find(kKeyPrefix);
  while (begin != std::string::npos) {
    const auto first = aText.begin() + static_cast<std::ptrdiff_t>(begin);
    const auto last = std::find_if_not(
      first + static_cast<std::ptrdiff_t>(kKeyPrefix.size()),
      aText.end(),
      [](unsigned char aCharacter) { return std::isalnum(aCharacter) != 0; });
    aText.replace(first, last, kReplacement);
    begin = aText.find(kKeyPrefix, begin + kReplacement.size());
  }
#endif
  return aText;
}

}

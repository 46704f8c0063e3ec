#ifndef SAMPHIRESAIL_COMPONENTS_CREDENTIALS_KEYTABLE_HPP
#define SAMPHIRESAIL_COMPONENTS_CREDENTIALS_KEYTABLE_HPP

#include <string_view>
#include <unordered_map>

#include "components/catalogue/catalogue.hpp"

namespace samphiresail::credentials {

/// Issued keys of one configuration, looked up by digest.
class KeyTable
{
public:
  KeyTable() = default;
  explicit KeyTable(const catalogue::Configuration& aConfiguration);

  /// Returns the issued key that a caller presents, or null if it is not issued. The
  /// pointer lives as long as the table.
  const catalogue::IssuedKey* Authenticate(std::string_view aKey) const;

  /// Returns true if the key with this digest is still issued.
  bool Contains(const ids::KeyHash& aHash) const { return mKeys.contains(aHash); }

private:
  std::unordered_map<ids::KeyHash, catalogue::IssuedKey> mKeys;
};

}

#endif

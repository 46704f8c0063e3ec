#include "components/credentials/keytable.hpp"

#include "components/credentials/key.hpp"

namespace samphiresail::credentials {

KeyTable::KeyTable(const catalogue::Configuration& aConfiguration)
{
  for (const catalogue::IssuedKey& key : aConfiguration.mKeys) {
    mKeys.emplace(key.mHash, key);
  }
}

const catalogue::IssuedKey* KeyTable::Authenticate(std::string_view aKey) const
{
  if (!aKey.starts_with(kKeyPrefix)) {
    return nullptr;
  }
  const auto it = mKeys.find(HashKey(aKey));
  return it == mKeys.end() ? nullptr : &it->second;
}

}

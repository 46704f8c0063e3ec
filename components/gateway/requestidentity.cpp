#include "components/gateway/requestidentity.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <memory>
#include <stdexcept>

#include <openssl/evp.h>

namespace samphiresail::gateway {

namespace {

/// Digest over fields, each with its length before it.
class FieldDigest
{
public:
  FieldDigest()
    : mContext(EVP_MD_CTX_new(), &EVP_MD_CTX_free)
  {
    Check(mContext != nullptr &&
          EVP_DigestInit_ex(mContext.get(), EVP_sha256(), nullptr) == 1);
  }

  void Add(std::uint64_t aNumber) { Update(&aNumber, sizeof aNumber); }
  void Add(std::string_view aText)
  {
    Add(aText.size());
    Update(aText.data(), aText.size());
  }
  /// Returns the first eight bytes.
  std::uint64_t Finish()
  {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    Check(EVP_DigestFinal_ex(mContext.get(), digest.data(), nullptr) == 1);
    std::uint64_t number = 0;
    std::memcpy(&number, digest.data(), sizeof number);
    return number;
  }

private:
  static void Check(bool aSuccess)
  {
    if (!aSuccess) {
      throw std::runtime_error("no digest for a request");
    }
  }
  void Update(const void* aBytes, std::size_t aSize)
  {
    Check(EVP_DigestUpdate(mContext.get(), aBytes, aSize) == 1);
  }

  std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> mContext;
};

}

std::uint64_t RequestIdentity(const RequestContent& aContent,
                              const RequestMetadata& aMetadata)
{
  FieldDigest digest;
  digest.Add(aContent.mMethod);
  digest.Add(aMetadata.mHost);
  digest.Add(aContent.mTarget);
  digest.Add(aMetadata.mModel.Str());
  digest.Add(aMetadata.mAdapter);
  digest.Add(aMetadata.mPromptParts.size());
  for (const PromptPart& part : aMetadata.mPromptParts) {
    digest.Add(part.mId);
  }
  digest.Add(aContent.mBody);
  return std::max<std::uint64_t>(digest.Finish(), 1);
}

}

#include "components/store/restoredetector.hpp"

#include <algorithm>

namespace samphiresail::store {

RestoreDetector::Verdict RestoreDetector::OnResponse(
  const Call& aCall,
  std::optional<StoreGeneration> aGeneration,
  std::int64_t aRevision)
{
  const bool isRecent = aCall.mRestores == mRestores;
  const bool isNewer = aGeneration && aGeneration > mGeneration;
  // A call from before a restore may be answered by the store as it was.
  if (!isRecent && !isNewer) {
    return Verdict::Outdated;
  }
  const bool isFirst = !mGeneration && mRevision == 0;
  const bool differs = aGeneration && aGeneration != mGeneration && !isFirst;
  const bool wentBack =
    isRecent && !aGeneration && aRevision != 0 && aRevision < aCall.mRevision;
  if (aGeneration) {
    mGeneration = aGeneration;
  }
  if (differs || wentBack) {
    ++mRestores;
    mRevision = aRevision;
    return Verdict::Restored;
  }
  mRevision = std::max(mRevision, aRevision);
  return Verdict::Current;
}

}

#ifndef SAMPHIRESAIL_COMPONENTS_STORE_RESTOREDETECTOR_HPP
#define SAMPHIRESAIL_COMPONENTS_STORE_RESTOREDETECTOR_HPP

#include <cstdint>
#include <optional>

#include "components/store/keyvaluestore.hpp"

namespace samphiresail::store {

/// Tells from the responses of a store that it was restored from a backup: it states
/// another generation, or without one a revision that is lower than before. Reads must be
/// linearizable.
class RestoreDetector
{
public:
  /// What was known when a call was sent.
  struct Call
  {
    std::uint64_t mRestores{ 0 };
    /// The response states no lower revision, unless the store was restored.
    std::int64_t mRevision{ 0 };
  };

  enum class Verdict
  {
    /// The response belongs to the store as it is known.
    Current,
    /// The response is the first one of a restored store.
    Restored,
    /// The call was sent before a restore that is known by now.
    Outdated,
  };

  Call Begin() const { return { mRestores, mRevision }; }
  /// The same for a call that asks for what came after a revision.
  Call BeginAfter(std::int64_t aRevision) const { return { mRestores, aRevision }; }

  /// Processes what the response to a call states: the generation, none if it states
  /// none, and the revision, 0 if it states none.
  Verdict OnResponse(const Call& aCall,
                     std::optional<StoreGeneration> aGeneration,
                     std::int64_t aRevision);

  /// True if a response has stated a generation.
  bool StatesGeneration() const { return mGeneration.has_value(); }
  /// The generation that was stated last; 0 if none was.
  StoreGeneration Generation() const { return mGeneration.value_or(0); }
  /// Restores that this process has noticed.
  std::uint64_t Restores() const { return mRestores; }

private:
  std::optional<StoreGeneration> mGeneration;
  /// The highest revision that was stated since the last restore.
  std::int64_t mRevision{ 0 };
  std::uint64_t mRestores{ 0 };
};

}

#endif

#ifndef SAMPHIRESAIL_COMPONENTS_CATALOGUE_CONFIGURATIONEDITOR_HPP
#define SAMPHIRESAIL_COMPONENTS_CATALOGUE_CONFIGURATIONEDITOR_HPP

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "components/catalogue/catalogue.hpp"
#include "components/catalogue/configurationcodec.hpp"
#include "components/store/keyvaluestore.hpp"
#include "components/store/storekeys.hpp"

namespace samphiresail::catalogue {

enum class EditOutcome
{
  /// The configuration already was as wanted.
  Unchanged,
  Written,
  /// Other writers were faster in every attempt; nothing was written.
  Contended,
  /// The store could not be reached; nothing was written.
  StoreUnavailable,
  /// A write may have taken effect and could not be read back.
  OutcomeUnknown,
};

struct EditResult
{
  EditOutcome mOutcome{ EditOutcome::StoreUnavailable };
  /// Configuration as last read or written.
  Configuration mConfiguration;
};

/// Bounds of one edit.
struct EditLimits
{
  std::chrono::milliseconds mTimeout{ 2000 };
  std::chrono::milliseconds mWait{ 100 };
  int mAttempts{ 20 };
};

/// Changes the configuration record by compare-and-swap, so that operators who race do
/// not lose each other's changes. After a lost answer it reads back whether the edit took
/// effect and applies it again only if it did not.
template<store::KeyValueStore Store>
class ConfigurationEditor
{
public:
  /// Returns the wanted configuration, or nothing if the current one is as wanted. Called
  /// once for each attempt; what it throws ends the edit.
  using Change = std::function<std::optional<Configuration>(const Configuration&)>;
  using Wait = std::function<void(std::chrono::milliseconds)>;

  ConfigurationEditor(Store& aStore, EditLimits aLimits, Wait aWait)
    : mStore(aStore)
    , mLimits(aLimits)
    , mWait(std::move(aWait))
  {
  }

  /// Reads the configuration; nothing if the store does not answer. An absent record
  /// reads as an empty configuration of version 0. Throws ConfigurationError.
  std::optional<Configuration> Read()
  {
    for (int attempt = 0; attempt < mLimits.mAttempts; ++attempt) {
      if (std::optional<Held> held = ReadOnce()) {
        return std::move(held->mConfiguration);
      }
      mWait(mLimits.mWait);
    }
    return std::nullopt;
  }

  /// aEditId is unique to the edit; the record keeps the latest ones.
  EditResult Edit(const std::string& aEditId, const Change& aChange)
  {
    EditResult result;
    bool uncertain = false;
    bool contended = false;
    for (int attempt = 0; attempt < mLimits.mAttempts; ++attempt) {
      if (attempt > 0) {
        mWait(mLimits.mWait);
      }
      std::optional<Held> held = ReadOnce();
      if (!held) {
        contended = false;
        continue;
      }
      result.mConfiguration = std::move(held->mConfiguration);
      if (uncertain && HasEdit(result.mConfiguration, aEditId)) {
        result.mOutcome = EditOutcome::Written;
        return result;
      }
      std::optional<Configuration> wanted = aChange(result.mConfiguration);
      if (!wanted) {
        result.mOutcome = EditOutcome::Unchanged;
        return result;
      }
      Stamp(*wanted, result.mConfiguration, aEditId);
      const store::StoreReply reply = Swap(*wanted, held->mModRevision);
      if (reply.mOutcome == store::StoreOutcome::Answered && reply.mSucceeded) {
        return { EditOutcome::Written, std::move(*wanted) };
      }
      uncertain = uncertain || reply.mOutcome == store::StoreOutcome::Unknown;
      contended = reply.mOutcome == store::StoreOutcome::Answered;
    }
    result.mOutcome = Unfinished(uncertain, contended);
    return result;
  }

private:
  struct Held
  {
    Configuration mConfiguration;
    std::int64_t mModRevision{ 0 };
  };

  static constexpr std::size_t kRecentEdits = 64;

  static bool HasEdit(const Configuration& aConfiguration, const std::string& aEditId)
  {
    const std::vector<std::string>& edits = aConfiguration.mRecentEdits;
    return std::ranges::find(edits, aEditId) != edits.end();
  }

  static void Stamp(Configuration& aWanted,
                    const Configuration& aCurrent,
                    const std::string& aEditId)
  {
    aWanted.mVersion = aCurrent.mVersion + units::Version(1);
    aWanted.mRecentEdits = aCurrent.mRecentEdits;
    aWanted.mRecentEdits.push_back(aEditId);
    if (aWanted.mRecentEdits.size() > kRecentEdits) {
      aWanted.mRecentEdits.erase(aWanted.mRecentEdits.begin());
    }
  }

  std::optional<Held> ReadOnce()
  {
    const store::StoreReply reply = mStore.Execute(
      store::RangeRequest{ .mKey = store::kConfigurationKey }, mLimits.mTimeout);
    if (reply.mOutcome != store::StoreOutcome::Answered) {
      return std::nullopt;
    }
    if (reply.mRecords.empty()) {
      return Held{};
    }
    const store::KeyValue& record = reply.mRecords.front();
    return Held{ DecodeConfiguration(record.mValue), record.mModRevision };
  }

  store::StoreReply Swap(const Configuration& aWanted, std::int64_t aModRevision)
  {
    store::TransactionRequest request;
#ifndef SAMPHIRESAIL_MUTANT_CONFIGURATION_COMPARE
    request.mCompares.push_back({ store::kConfigurationKey, aModRevision });
#else
    static_cast<void>(aModRevision);
#endif
    request.mWrites.emplace_back(
      store::PutOperation{ store::kConfigurationKey, EncodeConfiguration(aWanted) });
    return mStore.Execute(request, mLimits.mTimeout);
  }

  static EditOutcome Unfinished(bool aUncertain, bool aContended)
  {
    if (aUncertain) {
      return EditOutcome::OutcomeUnknown;
    }
    return aContended ? EditOutcome::Contended : EditOutcome::StoreUnavailable;
  }

  Store& mStore;
  EditLimits mLimits;
  Wait mWait;
};

}

#endif

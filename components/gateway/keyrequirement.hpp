#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_KEYREQUIREMENT_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_KEYREQUIREMENT_HPP

#include <cstdint>
#include <optional>

namespace samphiresail::gateway {

/// Revision of the platform's store; 0 is none.
using StoreRevision = std::int64_t;

/// What the text of a configuration says of client accounts.
enum class AccountsStated
{
  /// It is an object without any.
  None,
  /// It holds some, or something that is no list of them.
  Some,
  /// It is no object that can be read, and so no configuration.
  NoConfiguration,
};

/// One version of the configuration in the store, also one that no process adopts.
struct ConfigurationVersion
{
  /// Store revision at which it was written.
  StoreRevision mRevision{ 0 };
  /// Store revision at which the record was created. It equals mRevision for the first
  /// version.
  StoreRevision mCreateRevision{ 0 };
  AccountsStated mAccounts{ AccountsStated::None };
  /// Number that the operator gave it, which increases; 0 if it is not known.
  std::uint64_t mNumber{ 0 };
};

/// Decides whether a configuration without client accounts opens the routes that are not
/// public. It does so only if no version before held an account: where the last account
/// was removed, its keys must not be replaced by no key at all. As long as that is not
/// known, for example because versions were missed, the routes stay closed.
///
/// What is known survives the process in two records of the store: that some version held
/// accounts, or up to which store revision none did. Neither ever becomes false.
class KeyRequirement
{
public:
  /// Records the newest version of a complete reading, or a version of the history.
  void OnVersion(const ConfigurationVersion& aVersion);
  /// Records that the newest version at a store revision has been reported.
  void OnRead(StoreRevision aRevision);
  /// Records that the store was restored from a backup and gives revisions out again.
  /// What is known applies until its newest version is reported.
  void OnStoreRestored();
  /// Records that all versions after aAfter up to aThrough have been reported.
  void OnHistory(StoreRevision aAfter, StoreRevision aThrough);

  /// Sets whether the record exists that some version held accounts.
  void SetAccountsRecorded(bool aRecorded);
  /// Sets up to which revision another record states that no version held accounts; none
  /// if the record does not exist.
  void SetNoAccountsRecorded(std::optional<StoreRevision> aThrough);

  /// Some version held accounts, so that each route that is not public needs a key.
  bool IsRequired() const { return mRequired; }
  /// No version up to the newest one held accounts.
  bool IsOpen() const
  {
    return !mRequired && mNewest != 0 && mNewest <= mNoAccountsThrough;
  }

  /// The record that some version held accounts is to be written.
  bool LacksAccountsRecord() const { return mRequired && !mAccountsRecorded; }
  /// Returns the revision up to which the other record is to state that no version held
  /// accounts; none if it does not need to be written.
  std::optional<StoreRevision> LacksNoAccountsRecord() const;

  /// Returns the store revision after which the history could prove that no version held
  /// accounts; none if that is known, or was asked for before without a result.
  std::optional<StoreRevision> TakeReplayStart();

private:
  bool mRequired{ false };
  bool mAccountsRecorded{ false };
  /// Version that was reported last.
  ConfigurationVersion mLast;
  /// Revision of the newest version.
  StoreRevision mNewest{ 0 };
  /// No version up to this revision held accounts.
  StoreRevision mNoAccountsThrough{ 0 };
  StoreRevision mNoAccountsRecorded{ 0 };
  /// Newest version for which the history was asked for.
  StoreRevision mReplayedFor{ 0 };
  /// No version up to this number held accounts. Known since a restore of the store,
  /// which gives numbers of versions out again only to the same versions.
  std::uint64_t mNoAccountsThroughNumber{ 0 };
  /// The store was restored, and no version of it has been reported since.
  bool mRestored{ false };
};

}

#endif

#ifndef SAMPHIRESAIL_COMPONENTS_CATALOGUE_CONFIGURATIONCHANGES_HPP
#define SAMPHIRESAIL_COMPONENTS_CATALOGUE_CONFIGURATIONCHANGES_HPP

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "components/catalogue/catalogue.hpp"

namespace samphiresail::catalogue {

/// Thrown when another operator changed the catalogue since this one looked at it.
class ConflictError : public std::runtime_error
{
public:
  ConflictError(units::Version aVersion, std::vector<std::string> aChanges);

  /// Lines of DiffCatalogues with what the other operator changed.
  const std::vector<std::string>& Changes() const { return mChanges; }

private:
  std::vector<std::string> mChanges;
};

/// Thrown for a client account, key or availability zone that is not declared.
class UnknownNameError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Puts a catalogue in force. Keeps the out state of availability zones and the issued
/// keys of accounts that remain; keys of an account that is gone are withdrawn.
class ApplyCatalogue
{
public:
  /// With an expected version the catalogue in force must be of that version.
  ApplyCatalogue(Catalogue aCatalogue, std::optional<units::Version> aExpected);

  /// Change for ConfigurationEditor. Throws ConflictError if the catalogue in force is
  /// neither the one seen first nor the wanted one.
  std::optional<Configuration> operator()(const Configuration& aCurrent);

private:
  Catalogue mCatalogue;
  std::optional<units::Version> mExpected;
  std::optional<Configuration> mFirst;
};

/// Adds an issued key. Throws UnknownNameError if the account is not declared.
class IssueKey
{
public:
  explicit IssueKey(IssuedKey aKey);
  std::optional<Configuration> operator()(const Configuration& aCurrent) const;

private:
  IssuedKey mKey;
};

/// Withdraws a key by its name. Throws UnknownNameError if no key had that name.
class WithdrawKey
{
public:
  explicit WithdrawKey(std::string aName);
  std::optional<Configuration> operator()(const Configuration& aCurrent);

private:
  std::string mName;
  bool mSeen{ false };
};

/// Takes an availability zone out or brings it back. Throws UnknownNameError.
class SetAvailabilityZoneOut
{
public:
  SetAvailabilityZoneOut(ids::AvailabilityZoneId aName, bool aOut);
  std::optional<Configuration> operator()(const Configuration& aCurrent) const;

private:
  ids::AvailabilityZoneId mName;
  bool mOut;
};

}

#endif

#ifndef SAMPHIRESAIL_COMPONENTS_LIMITS_SHARERECORD_HPP
#define SAMPHIRESAIL_COMPONENTS_LIMITS_SHARERECORD_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "components/ids/ids.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::limits {

/// Share of an account's rate and burst, or of the load permits of the weight store if
/// the account is empty.
struct LimitShare
{
  ids::ClientAccountId mAccount;
  /// Empty if nobody holds the share.
  ids::ProcessId mHolder;
  units::Incarnation mIncarnation;
  std::uint32_t mMillionths{ 0 };
  /// True if a former holder may not know that it lost the share.
  bool mReclaimed{ false };
  /// Version of the record in which the share was given or raised.
  units::Version mSince;
  /// True for the first share that the account ever had.
  bool mStartsFull{ false };
  /// Part of the share that the holder had before, and the version since which it had it.
  std::uint32_t mKeptMillionths{ 0 };
  units::Version mKeptSince;

  bool operator==(const LimitShare&) const = default;
};

/// Record in the platform's store that says who holds which share.
struct ShareRecord
{
  units::Version mVersion;
  std::vector<LimitShare> mShares;
};

std::string EncodeShareRecord(const ShareRecord& aRecord);

/// Returns nothing for a value that is not a rights record.
std::optional<ShareRecord> DecodeShareRecord(std::string_view aValue);

}

#endif

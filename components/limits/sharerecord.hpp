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

/// Share of one holder of an account's rate and burst, or of the weight store's load
/// permits if the account is empty.
struct LimitShare
{
  ids::ClientAccountId mAccount;
  /// Empty if the share has no holder.
  ids::ProcessId mHolder;
  units::Incarnation mIncarnation;
  std::uint32_t mMillionths{ 0 };
  /// True if a former holder may still be using the share.
  bool mReclaimed{ false };
  /// Version of the record in which the share was assigned or raised.
  units::Version mSince;
  /// True for the first share that the account ever had.
  bool mStartsFull{ false };
  /// Part of the share that the holder already had, and the version that assigned that
  /// part.
  std::uint32_t mKeptMillionths{ 0 };
  units::Version mKeptSince;

  bool operator==(const LimitShare&) const = default;
};

/// Record in the platform's store that assigns shares to holders.
struct ShareRecord
{
  units::Version mVersion;
  std::vector<LimitShare> mShares;
};

std::string EncodeShareRecord(const ShareRecord& aRecord);

/// Returns nothing for a value that is not such a record.
std::optional<ShareRecord> DecodeShareRecord(std::string_view aValue);

}

#endif

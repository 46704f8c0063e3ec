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

/// One holder's share of an account's rate and burst, or of the weight store's load
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
  /// True if the share is the holder's first and the account had none before; its bucket
  /// starts full.
  bool mStartsFull{ false };
  /// Amount that the holder had before the share was raised, and the version of the
  /// record that assigned that amount.
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

/// Returns nullopt if the value is not an encoded share record.
std::optional<ShareRecord> DecodeShareRecord(std::string_view aValue);

}

#endif

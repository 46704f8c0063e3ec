#include "components/limits/sharerecord.hpp"

#include <algorithm>
#include <iterator>

#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::limits {

std::string EncodeShareRecord(const ShareRecord& aRecord)
{
  wire::RightsRecord record;
  record.set_version(aRecord.mVersion.Count());
  for (const LimitShare& share : aRecord.mShares) {
    wire::RightShare& out = *record.add_shares();
    out.set_client_account(share.mAccount.Str());
    out.set_holder(share.mHolder.Str());
    out.set_holder_incarnation(share.mIncarnation.Count());
    out.set_millionths(share.mMillionths);
    out.set_reclaimed(share.mReclaimed);
    out.set_since_version(share.mSince.Count());
    out.set_starts_full(share.mStartsFull);
    out.set_kept_millionths(share.mKeptMillionths);
    out.set_kept_since(share.mKeptSince.Count());
  }
  return record.SerializeAsString();
}

std::optional<ShareRecord> DecodeShareRecord(std::string_view aValue)
{
  wire::RightsRecord record;
  if (!record.ParseFromArray(aValue.data(), static_cast<int>(aValue.size()))) {
    return std::nullopt;
  }
  ShareRecord result{ units::Version(record.version()), {} };
  std::ranges::transform(
    record.shares(),
    std::back_inserter(result.mShares),
    [](const wire::RightShare& aShare) {
      return LimitShare{ ids::ClientAccountId(aShare.client_account()),
                         ids::ProcessId(aShare.holder()),
                         units::Incarnation(aShare.holder_incarnation()),
                         aShare.millionths(),
                         aShare.reclaimed(),
                         units::Version(aShare.since_version()),
                         aShare.starts_full(),
                         aShare.kept_millionths(),
                         units::Version(aShare.kept_since()) };
    });
  return result;
}

}

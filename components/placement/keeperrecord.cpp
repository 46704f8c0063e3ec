#include "components/placement/keeperrecord.hpp"

#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::placement {

std::string EncodeKeepers(const KeeperRecord& aRecord)
{
  wire::KeeperRecord record;
  record.set_version(aRecord.mVersion.Count());
  for (const auto& [model, endpoints] : aRecord.mKeepers) {
    wire::KeeperRecord::Keeper* keeper = record.add_keepers();
    keeper->set_model(model.Str());
    for (const ids::EndpointId& endpoint : endpoints) {
      keeper->add_endpoints(endpoint.Str());
    }
  }
  return record.SerializeAsString();
}

std::optional<KeeperRecord> DecodeKeepers(std::string_view aValue)
{
  wire::KeeperRecord record;
  if (!record.ParseFromArray(aValue.data(), static_cast<int>(aValue.size()))) {
    return std::nullopt;
  }
  KeeperRecord decoded{ .mVersion = units::Version(record.version()) };
  for (const wire::KeeperRecord::Keeper& keeper : record.keepers()) {
    std::set<ids::EndpointId>& endpoints = decoded.mKeepers[ids::ModelId(keeper.model())];
    for (const std::string& endpoint : keeper.endpoints()) {
      endpoints.emplace(endpoint);
    }
  }
  return decoded;
}

}

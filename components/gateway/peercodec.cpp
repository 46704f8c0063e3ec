#include "components/gateway/peercodec.hpp"

#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::gateway {

std::string EncodeDigest(const PeerDigest& aDigest)
{
  wire::PeerLoad load;
  load.set_process(aDigest.mProcess.Str());
  load.set_incarnation(aDigest.mIncarnation);
  load.set_number(aDigest.mNumber);
  load.set_hears_all(aDigest.mHearsAll);
  load.set_waits(aDigest.mWaits);
  for (const auto& [key, count] : aDigest.mInFlight) {
    auto* item = load.add_in_flight();
    item->set_key(key);
    item->set_count(count);
  }
  for (const auto& [key, total] : aDigest.mAdmitted) {
    auto* item = load.add_admitted();
    item->set_key(key);
    item->set_total(total);
  }
  for (const auto& [key, rate] : aDigest.mModelDemand) {
    auto* item = load.add_model_demand();
    item->set_key(key);
    item->set_rate(static_cast<float>(rate));
  }
  for (const LoadedAdapter& loaded : aDigest.mLoaded) {
    auto* item = load.add_loaded();
    item->set_endpoint(loaded.mEndpoint);
    item->set_key(loaded.mAdapter);
  }
  return load.SerializeAsString();
}

std::optional<PeerDigest> DecodeDigest(std::string_view aBytes)
{
  wire::PeerLoad load;
  if (!load.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size())) ||
      load.process().empty()) {
    return std::nullopt;
  }
  PeerDigest digest;
  digest.mProcess = ids::ProcessId(load.process());
  digest.mIncarnation = load.incarnation();
  digest.mNumber = load.number();
  digest.mHearsAll = load.hears_all();
  digest.mWaits = load.waits();
  for (const auto& item : load.in_flight()) {
    digest.mInFlight.emplace(item.key(), item.count());
  }
  for (const auto& item : load.admitted()) {
    digest.mAdmitted.emplace(item.key(), item.total());
  }
  for (const auto& item : load.model_demand()) {
    digest.mModelDemand.emplace(item.key(), item.rate());
  }
  for (const auto& item : load.loaded()) {
    digest.mLoaded.push_back({ item.endpoint(), item.key() });
  }
  return digest;
}

std::string EncodeMember(const MemberRecord& aMember)
{
  wire::EntryRecord record;
  record.set_name(aMember.mProcess.Str());
  record.set_address(aMember.mAddress.mHost + ":" +
                     std::to_string(aMember.mAddress.mPort));
  record.set_cores(aMember.mCores);
  return record.SerializeAsString();
}

std::optional<MemberRecord> DecodeMember(const std::string& aBytes)
{
  wire::EntryRecord record;
  if (!record.ParseFromString(aBytes)) {
    return std::nullopt;
  }
  const auto address = settings::ParseSocketAddress(record.address());
  if (!address || record.name().empty()) {
    return std::nullopt;
  }
  return MemberRecord{ ids::ProcessId(record.name()), *address, record.cores() };
}

}

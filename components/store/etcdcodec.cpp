#include "components/store/etcdcodec.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "components/functional/overloaded.hpp"
#include "components/store/base64.hpp"

namespace samphiresail::store {

using Json = nlohmann::json;

namespace {

/// The gateway writes 64-bit integers as strings and leaves out zeroes.
std::int64_t ReadInteger(const Json& aObject, const char* aName)
{
  const auto it = aObject.find(aName);
  if (it == aObject.end()) {
    return 0;
  }
  if (it->is_number_integer()) {
    return it->get<std::int64_t>();
  }
  const std::string& text = it->get_ref<const std::string&>();
  std::int64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size()) {
    throw std::invalid_argument(aName);
  }
  return value;
}

std::string ReadBytes(const Json& aObject, const char* aName)
{
  const auto it = aObject.find(aName);
  if (it == aObject.end()) {
    return {};
  }
  auto bytes = DecodeBase64(it->get_ref<const std::string&>());
  if (!bytes) {
    throw std::invalid_argument(aName);
  }
  return *std::move(bytes);
}

KeyValue ReadRecord(const Json& aJson)
{
  if (!aJson.is_object()) {
    throw std::invalid_argument("kvs");
  }
  return { .mKey = ReadBytes(aJson, "key"),
           .mValue = ReadBytes(aJson, "value"),
           .mCreateRevision = ReadInteger(aJson, "create_revision"),
           .mModRevision = ReadInteger(aJson, "mod_revision"),
           .mLease = ReadInteger(aJson, "lease") };
}

void ReadRecords(const Json& aRange, std::vector<KeyValue>& aRecords)
{
  const auto it = aRange.find("kvs");
  if (it != aRange.end()) {
    if (!it->is_array()) {
      throw std::invalid_argument("kvs");
    }
    std::ranges::transform(*it, std::back_inserter(aRecords), ReadRecord);
  }
}

Json WriteCompare(const Compare& aCompare)
{
  return { { "target", "MOD" },
           { "result", "EQUAL" },
           { "key", EncodeBase64(aCompare.mKey) },
           { "mod_revision", std::to_string(aCompare.mModRevision) } };
}

Json WriteOperation(const PutOperation& aPut)
{
  Json put{ { "key", EncodeBase64(aPut.mKey) }, { "value", EncodeBase64(aPut.mValue) } };
  if (aPut.mLease != 0) {
    put["lease"] = std::to_string(aPut.mLease);
  }
  return { { "request_put", std::move(put) } };
}

Json WriteOperation(const DeleteOperation& aDelete)
{
  return { { "request_delete_range", { { "key", EncodeBase64(aDelete.mKey) } } } };
}

EtcdCall WriteRange(const RangeRequest& aRange)
{
  Json body{ { "key", EncodeBase64(aRange.mKey) } };
  if (!aRange.mRangeEnd.empty()) {
    body["range_end"] = EncodeBase64(aRange.mRangeEnd);
  }
  if (aRange.mMinModRevision > 0) {
    body["min_mod_revision"] = std::to_string(aRange.mMinModRevision);
  }
  return { "/v3/kv/range", body.dump() };
}

EtcdCall WriteTransaction(const TransactionRequest& aTransaction)
{
  Json compares = Json::array();
  Json reads = Json::array();
  for (const Compare& compare : aTransaction.mCompares) {
    compares.push_back(WriteCompare(compare));
    reads.push_back({ { "request_range", { { "key", EncodeBase64(compare.mKey) } } } });
  }
  Json writes = Json::array();
  for (const auto& write : aTransaction.mWrites) {
    writes.push_back(
      std::visit([](const auto& aWrite) { return WriteOperation(aWrite); }, write));
  }
  const Json body{ { "compare", compares }, { "success", writes }, { "failure", reads } };
  return { "/v3/kv/txn", body.dump() };
}

StoreReply ReadReply(const StoreRequest& aRequest, const Json& aJson)
{
  // A keep-alive is a stream; its messages are wrapped in "result".
  const Json& body = aJson.contains("result") ? aJson.at("result") : aJson;
  StoreReply reply{ .mOutcome = StoreOutcome::Answered };
  if (body.contains("header")) {
    reply.mRevision = ReadInteger(body.at("header"), "revision");
  }
  if (std::holds_alternative<RangeRequest>(aRequest)) {
    ReadRecords(body, reply.mRecords);
  } else if (std::holds_alternative<TransactionRequest>(aRequest)) {
    reply.mSucceeded = body.value("succeeded", false);
    for (const Json& response : body.value("responses", Json::array())) {
      ReadRecords(response.value("response_range", Json::object()), reply.mRecords);
    }
  } else {
    reply.mLease = ReadInteger(body, "ID");
    // A lease that has expired is answered with a time to live of zero.
    reply.mSucceeded = std::holds_alternative<LeaseRevokeRequest>(aRequest) ||
                       ReadInteger(body, "TTL") > 0;
  }
  return reply;
}

}

EtcdCall EncodeEtcdCall(const StoreRequest& aRequest)
{
  return std::visit(
    functional::Overloaded{
      [](const RangeRequest& aRange) { return WriteRange(aRange); },
      [](const TransactionRequest& aTransaction) {
        return WriteTransaction(aTransaction);
      },
      [](const LeaseGrantRequest& aGrant) {
        const Json body{
          { "TTL",
            std::to_string(
              std::chrono::ceil<std::chrono::seconds>(aGrant.mTimeToLive).count()) }
        };
        return EtcdCall{ "/v3/lease/grant", body.dump() };
      },
      [](const LeaseKeepAliveRequest& aKeepAlive) {
        const Json body{ { "ID", std::to_string(aKeepAlive.mLease) } };
        return EtcdCall{ "/v3/lease/keepalive", body.dump() };
      },
      [](const LeaseRevokeRequest& aRevoke) {
        const Json body{ { "ID", std::to_string(aRevoke.mLease) } };
        return EtcdCall{ "/v3/lease/revoke", body.dump() };
      } },
    aRequest);
}

std::optional<StoreReply> DecodeEtcdReply(const StoreRequest& aRequest,
                                          std::string_view aBody)
{
  try {
    return ReadReply(aRequest, Json::parse(aBody));
  } catch (const Json::exception&) {
    return std::nullopt;
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

}

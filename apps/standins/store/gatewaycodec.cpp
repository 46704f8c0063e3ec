#include "apps/standins/store/gatewaycodec.hpp"

#include <array>
#include <string_view>
#include <utility>

#include "apps/standins/store/base64.hpp"

namespace samphiresail::standins {

namespace {

using nlohmann::json;

template<typename Enum, std::size_t Count>
Enum EnumField(const json& aBody,
               const char* aName,
               const std::array<std::pair<std::string_view, Enum>, Count>& aNames)
{
  const auto field = aBody.find(aName);
  if (field == aBody.end()) {
    return aNames.front().second;
  }
  if (field->is_number_integer()) {
    return aNames.at(field->get<std::size_t>()).second;
  }
  const auto text = field->get<std::string>();
  for (const auto& [name, value] : aNames) {
    if (name == text) {
      return value;
    }
  }
  throw StoreError("unknown value for enum " + text, 400, 3);
}

constexpr std::array<std::pair<std::string_view, CompareTarget>, 5> kTargets{ {
  { "VERSION", CompareTarget::Version },
  { "CREATE", CompareTarget::Create },
  { "MOD", CompareTarget::Mod },
  { "VALUE", CompareTarget::Value },
  { "LEASE", CompareTarget::Lease },
} };

constexpr std::array<std::pair<std::string_view, CompareResult>, 4> kResults{ {
  { "EQUAL", CompareResult::Equal },
  { "GREATER", CompareResult::Greater },
  { "LESS", CompareResult::Less },
  { "NOT_EQUAL", CompareResult::NotEqual },
} };

std::int64_t ComparedNumber(const json& aBody, CompareTarget aTarget)
{
  switch (aTarget) {
    case CompareTarget::Create:
      return NumberField(aBody, "create_revision");
    case CompareTarget::Mod:
      return NumberField(aBody, "mod_revision");
    case CompareTarget::Lease:
      return NumberField(aBody, "lease");
    default:
      return NumberField(aBody, "version");
  }
}

Comparison ReadComparison(const json& aBody)
{
  Comparison comparison;
  comparison.mKey = BytesField(aBody, "key");
  comparison.mTarget = EnumField(aBody, "target", kTargets);
  comparison.mResult = EnumField(aBody, "result", kResults);
  comparison.mNumber = ComparedNumber(aBody, comparison.mTarget);
  comparison.mValue = BytesField(aBody, "value");
  return comparison;
}

Operation ReadOperation(const json& aBody)
{
  if (const auto it = aBody.find("request_put"); it != aBody.end()) {
    return ReadPut(*it);
  }
  if (const auto it = aBody.find("request_delete_range"); it != aBody.end()) {
    return { .mKind = OperationKind::Delete, .mRange = { .mKeys = ReadKeyRange(*it) } };
  }
  if (const auto it = aBody.find("request_range"); it != aBody.end()) {
    return { .mKind = OperationKind::Range, .mRange = ReadRangeQuery(*it) };
  }
  throw StoreError("unknown request operation", 400, 3);
}

std::vector<Operation> ReadOperations(const json& aBody, const char* aName)
{
  std::vector<Operation> operations;
  for (const auto& operation : aBody.value(aName, json::array())) {
    operations.push_back(ReadOperation(operation));
  }
  return operations;
}

void AddNumber(json& aBody, const char* aName, std::int64_t aNumber)
{
  if (aNumber != 0) {
    aBody[aName] = std::to_string(aNumber);
  }
}

}

std::int64_t NumberField(const json& aBody, const char* aName)
{
  const auto field = aBody.find(aName);
  if (field == aBody.end()) {
    return 0;
  }
  if (field->is_number()) {
    return field->get<std::int64_t>();
  }
  return std::stoll(field->get<std::string>());
}

std::string BytesField(const json& aBody, const char* aName)
{
  return DecodeBase64(aBody.value(aName, ""));
}

KeyRange ReadKeyRange(const json& aBody)
{
  return { .mFrom = BytesField(aBody, "key"), .mEnd = BytesField(aBody, "range_end") };
}

RangeQuery ReadRangeQuery(const json& aBody)
{
  return { .mKeys = ReadKeyRange(aBody),
           .mMinModRevision = NumberField(aBody, "min_mod_revision"),
           .mMaxModRevision = NumberField(aBody, "max_mod_revision"),
           .mLimit = static_cast<std::size_t>(NumberField(aBody, "limit")),
           .mKeysOnly = aBody.value("keys_only", false),
           .mCountOnly = aBody.value("count_only", false) };
}

Operation ReadPut(const json& aBody)
{
  return { .mKind = OperationKind::Put,
           .mRange = { .mKeys = { .mFrom = BytesField(aBody, "key") } },
           .mValue = BytesField(aBody, "value"),
           .mLease = NumberField(aBody, "lease") };
}

Transaction ReadTransaction(const json& aBody)
{
  Transaction transaction;
  for (const auto& comparison : aBody.value("compare", json::array())) {
    transaction.mCompares.push_back(ReadComparison(comparison));
  }
  transaction.mSuccess = ReadOperations(aBody, "success");
  transaction.mFailure = ReadOperations(aBody, "failure");
  return transaction;
}

json WriteHeader(std::int64_t aRevision)
{
  return { { "cluster_id", "1" },
           { "member_id", "1" },
           { "revision", std::to_string(aRevision) },
           { "raft_term", "1" } };
}

json WriteRecord(const Record& aRecord)
{
  json body{ { "key", EncodeBase64(aRecord.mKey) } };
  if (!aRecord.mValue.empty()) {
    body["value"] = EncodeBase64(aRecord.mValue);
  }
  AddNumber(body, "create_revision", aRecord.mCreateRevision);
  AddNumber(body, "mod_revision", aRecord.mModRevision);
  AddNumber(body, "version", aRecord.mVersion);
  AddNumber(body, "lease", aRecord.mLease);
  return body;
}

json WriteEvent(const Event& aEvent)
{
  json body{ { "kv", WriteRecord(aEvent.mRecord) } };
  if (aEvent.mDelete) {
    body["type"] = "DELETE";
  }
  return body;
}

json WriteResult(const OperationResult& aResult)
{
  json body = json::object();
  if (aResult.mKind == OperationKind::Delete) {
    AddNumber(body, "deleted", aResult.mCount);
    return body;
  }
  for (const auto& record : aResult.mRecords) {
    body["kvs"].push_back(WriteRecord(record));
  }
  AddNumber(body, "count", aResult.mCount);
  return body;
}

json WriteTransactionResult(const OperationResult& aResult, std::int64_t aRevision)
{
  auto body = WriteResult(aResult);
  body["header"] = { { "revision", std::to_string(aRevision) } };
  switch (aResult.mKind) {
    case OperationKind::Range:
      return { { "response_range", body } };
    case OperationKind::Put:
      return { { "response_put", body } };
    case OperationKind::Delete:
      return { { "response_delete_range", body } };
  }
  return json::object();
}

}

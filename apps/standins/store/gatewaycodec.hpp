#ifndef SAMPHIRESAIL_APPS_STANDINS_STORE_GATEWAYCODEC_HPP
#define SAMPHIRESAIL_APPS_STANDINS_STORE_GATEWAYCODEC_HPP

#include <cstdint>

#include <nlohmann/json.hpp>

#include "apps/standins/store/keyvaluedata.hpp"

namespace samphiresail::standins {

/// Reads a 64-bit number that is written as a string or as a number; 0 if absent.
std::int64_t NumberField(const nlohmann::json& aBody, const char* aName);

/// Reads a base64 field; empty if absent.
std::string BytesField(const nlohmann::json& aBody, const char* aName);

KeyRange ReadKeyRange(const nlohmann::json& aBody);
RangeQuery ReadRangeQuery(const nlohmann::json& aBody);
Operation ReadPut(const nlohmann::json& aBody);
Transaction ReadTransaction(const nlohmann::json& aBody);

nlohmann::json WriteHeader(std::int64_t aRevision);
nlohmann::json WriteRecord(const Record& aRecord);
nlohmann::json WriteEvent(const Event& aEvent);
/// Writes the body of a range, put or delete answer without its header.
nlohmann::json WriteResult(const OperationResult& aResult);
/// Writes one element of the responses of a transaction.
nlohmann::json WriteTransactionResult(const OperationResult& aResult,
                                      std::int64_t aRevision);

}

#endif

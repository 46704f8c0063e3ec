#ifndef SAMPHIRESAIL_COMPONENTS_STORE_ETCDCODEC_HPP
#define SAMPHIRESAIL_COMPONENTS_STORE_ETCDCODEC_HPP

#include <optional>
#include <string>
#include <string_view>

#include "components/store/keyvaluestore.hpp"

namespace samphiresail::store {

/// Call of etcd's v3 JSON gateway.
struct EtcdCall
{
  std::string mPath;
  std::string mBody;
};

/// Translates a request into a call of the gateway.
EtcdCall EncodeEtcdCall(const StoreRequest& aRequest);

/// Reads the body of a successful answer; returns nothing for a malformed one.
std::optional<StoreReply> DecodeEtcdReply(const StoreRequest& aRequest,
                                          std::string_view aBody);

}

#endif

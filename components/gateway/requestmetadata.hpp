#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_REQUESTMETADATA_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_REQUESTMETADATA_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "components/gateway/promptpart.hpp"
#include "components/ids/ids.hpp"

namespace samphiresail::gateway {

/// Values of a caller's request that admission and routing decisions use.
struct RequestMetadata
{
  ids::RequestId mId;
  std::string mHost;
  std::string mPath;
  std::string mKey;
  ids::ModelId mModel;
  /// Adapter of the model; empty for none.
  std::string mAdapter;
  std::int64_t mPromptTokens{ 0 };
  std::int64_t mOutputTokens{ 0 };
  bool mHasTokenCounts{ false };
  /// Parts of the prompt in order.
  std::vector<PromptPart> mPromptParts;
  /// See RequestIdentity(); 0 if it was not determined.
  std::uint64_t mIdentity{ 0 };
  /// How long the caller waits for the response, if the request states it.
  std::optional<std::chrono::milliseconds> mCallerTimeout;
  /// Identifier of the event after which a resumed stream continues.
  std::string mLastEventId;
};

/// Values of an endpoint's response headers that decisions use.
struct ResponseMetadata
{
  ids::RequestId mId;
  /// The endpoint states that it did not run the request.
  bool mNotRun{ false };
  /// The endpoint states that it is leaving and wants no further requests.
  bool mLeaving{ false };
  /// How long an endpoint that turns a request away wants no further ones.
  std::optional<std::chrono::milliseconds> mPause;
  /// Another endpoint uses the address now.
  bool mWrongEndpoint{ false };
  /// The response carries the endpoint's digest.
  bool mHasResponseDigest{ false };
  /// Running and waiting requests, if the endpoint reports its load.
  std::optional<unsigned> mRunning;
  std::optional<unsigned> mWaiting;
  /// Factor by which work on the endpoint's machine takes longer than usual at this
  /// moment, if the endpoint reports it.
  std::optional<double> mMachineSlowness;
  /// How long the endpoint keeps the connection open while it is idle.
  std::optional<std::chrono::seconds> mKeepAlive;
};

}

#endif

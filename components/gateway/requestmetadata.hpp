#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_REQUESTMETADATA_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_REQUESTMETADATA_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "components/ids/ids.hpp"

namespace samphiresail::gateway {

/// What a caller's request says that decisions depend on.
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
  /// Identifier of the first part of the prompt, which requests share.
  std::string mSharedPrefix;
  /// How long the caller waits for the answer.
  std::optional<std::chrono::milliseconds> mCallerTimeout;
  /// Event after which a resumed stream goes on.
  std::string mLastEventId;
};

/// What an endpoint's answer says of itself.
struct ResponseMetadata
{
  ids::RequestId mId;
  /// The endpoint states that it did not run the request.
  bool mNotRun{ false };
  /// Another endpoint has the address now.
  bool mWrongEndpoint{ false };
  /// The answer carries the endpoint's digest.
  bool mHasResponseDigest{ false };
  /// Running requests and waiting ones, where the endpoint tells its load.
  std::optional<unsigned> mRunning;
  std::optional<unsigned> mWaiting;
  /// How long the endpoint keeps the connection open while it is idle.
  std::optional<std::chrono::seconds> mKeepAlive;
};

}

#endif

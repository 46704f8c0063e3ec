#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "components/gateway/requestidentity.hpp"

using namespace samphiresail;
using namespace samphiresail::gateway;

namespace {

RequestMetadata Metadata()
{
  RequestMetadata metadata;
  metadata.mId = ids::RequestId("r1");
  metadata.mHost = "h.example";
  metadata.mPath = "/score";
  metadata.mKey = "key";
  metadata.mModel = ids::ModelId("m");
  metadata.mAdapter = "a";
  metadata.mPromptParts = { { 1, 10 }, { 2, 20 } };
  metadata.mCallerTimeout = std::chrono::seconds(5);
  return metadata;
}

const RequestContent kContent{ "POST", "/score?x=1", "body" };

}

TEST_CASE("identity: what an attempt or its caller has of its own does not matter",
          "[gateway]")
{
  RequestMetadata other = Metadata();
  other.mId = ids::RequestId("r2");
  other.mKey = "another key";
  other.mCallerTimeout = std::chrono::seconds(1);
  other.mLastEventId = "7";
  CHECK(RequestIdentity(kContent, other) == RequestIdentity(kContent, Metadata()));
  CHECK(RequestIdentity({}, {}) != 0);
}

TEST_CASE("identity: requests that ask an endpoint for something else differ",
          "[gateway]")
{
  std::set<std::uint64_t> identities{ RequestIdentity(kContent, Metadata()) };
  const auto differs = [&](const RequestContent& aContent,
                           const RequestMetadata& aMetadata) {
    return identities.insert(RequestIdentity(aContent, aMetadata)).second;
  };
  RequestMetadata other = Metadata();
  CHECK(differs({ "PUT", "/score?x=1", "body" }, other));
  CHECK(differs({ "POST", "/score?x=2", "body" }, other));
  CHECK(differs({ "POST", "/score?x=1", "bodies" }, other));
  CHECK(differs({ "POST", "/score?x=1", {} }, other));
  // The same bytes, divided between target and body in another way.
  CHECK(differs({ "POST", "/score?x=1body", {} }, other));
  other.mHost = "i.example";
  CHECK(differs(kContent, other));
  other = Metadata();
  other.mModel = ids::ModelId("n");
  CHECK(differs(kContent, other));
  other = Metadata();
  other.mAdapter.clear();
  CHECK(differs(kContent, other));
  other = Metadata();
  other.mPromptParts.pop_back();
  CHECK(differs(kContent, other));
  other.mPromptParts.clear();
  CHECK(differs(kContent, other));
}

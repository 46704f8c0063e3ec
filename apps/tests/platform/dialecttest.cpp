#include <catch2/catch.hpp>

#include "platform/dialect.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
namespace http = frontend::http;

namespace {

const platform::PlatformDialect kDialect;

http::request<http::empty_body> Request()
{
  http::request<http::empty_body> request(http::verb::post, "/a/b?c=d", 11);
  request.set(http::field::host, "H.Example:80");
  request.set("Attempt-Id", "r1");
  return request;
}

}

TEST_CASE("dialect: the metadata of a request is read", "[platform]")
{
  auto request = Request();
  request.set("Model", "m/a2");
  request.set("Token-Count", "1460,80");
  request.set("Prompt-Prefix", "5c1e:800,91bd:410");
  request.set("Deadline-Ms", "12000");
  request.set("Api-Key", "k");
  const auto facts = kDialect.ReadRequest(request.base());
  REQUIRE(facts);
  CHECK(facts->mHost == "h.example");
  CHECK(facts->mPath == "/a/b");
  CHECK(facts->mModel.Str() == "m");
  CHECK(facts->mAdapter == "a2");
  CHECK(facts->mHasTokenCounts);
  CHECK(facts->mPromptTokens == 1460);
  CHECK(facts->mOutputTokens == 80);
  REQUIRE(facts->mPromptParts.size() == 2);
  CHECK(facts->mPromptParts[0].mId == 0x5c1e);
  CHECK(facts->mPromptParts[0].mTokens == 800);
  CHECK(facts->mPromptParts[1].mId == 0x91bd);
  CHECK(facts->mCallerTimeout == 12s);
  CHECK(facts->mKey == "k");
}

TEST_CASE("dialect: a request without an identifier is rejected", "[platform]")
{
  auto request = Request();
  request.erase("Attempt-Id");
  CHECK_FALSE(kDialect.ReadRequest(request.base()));
}

TEST_CASE("dialect: malformed numbers are ignored", "[platform]")
{
  auto request = Request();
  request.set("Token-Count", "many");
  request.set("Prompt-Prefix", "5c1e:800,zz:1,91bd:410");
  request.set("Deadline-Ms", "soon");
  const auto facts = kDialect.ReadRequest(request.base());
  REQUIRE(facts);
  CHECK_FALSE(facts->mHasTokenCounts);
  CHECK_FALSE(facts->mCallerTimeout);
}

TEST_CASE("dialect: a part behind a malformed one or behind sixteen others is seen",
          "[platform]")
{
  auto request = Request();
  request.set("Prompt-Prefix", "5c1e:800,zz:1,77,91bd:410,,3:-2,2f:1");
  const auto malformed = kDialect.ReadRequest(request.base());
  REQUIRE(malformed);
  REQUIRE(malformed->mPromptParts.size() == 3);
  CHECK(malformed->mPromptParts[0].mId == 0x5c1e);
  CHECK(malformed->mPromptParts[1].mId == 0x91bd);
  CHECK(malformed->mPromptParts[2].mId == 0x2f);

  std::string parts;
  for (int i = 0; i < 40; ++i) {
    parts.append("a:1,");
  }
  request.set("Prompt-Prefix", parts + "2f:1");
  const auto many = kDialect.ReadRequest(request.base());
  REQUIRE(many);
  REQUIRE(many->mPromptParts.size() == 41);
  CHECK(many->mPromptParts.back().mId == 0x2f);
}

TEST_CASE("dialect: headers that only the system sets are reserved", "[platform]")
{
  for (const char* name : { "api-key",
                            "TENANT",
                            "Expect-Instance",
                            "Hold",
                            "Pin-Ms",
                            "Kv-From",
                            "Kv-Backup" }) {
    CHECK(kDialect.IsReservedHeader(name));
  }
  CHECK_FALSE(kDialect.IsReservedHeader("Attempt-Id"));
  CHECK(kDialect.IsAlwaysForwardedHeader("attempt-id"));
}

TEST_CASE("dialect: the metadata of a response is read", "[platform]")
{
  http::response<http::empty_body> response(http::status::misdirected_request, 11);
  response.set("Attempt-Id", "r1");
  response.set("Server-Load", "3,1,8");
  response.set("Keep-Alive", "timeout=10");
  response.set("Not-Executed", "1");
  const auto facts = kDialect.ReadResponse(response.base());
  CHECK(facts.mId.Str() == "r1");
  CHECK(facts.mNotRun);
  CHECK(facts.mWrongEndpoint);
  CHECK_FALSE(facts.mHasResponseDigest);
  CHECK(facts.mRunning == 3);
  CHECK(facts.mWaiting == 1);
  CHECK(facts.mKeepAlive == 10s);
}

TEST_CASE("dialect: the figure of an endpoint's machine is read only where it is sound",
          "[platform]")
{
  http::response<http::empty_body> response(http::status::ok, 11);
  const auto slowness = [&](const char* aLoad) {
    response.set("Server-Load", aLoad);
    return kDialect.ReadResponse(response.base()).mMachineSlowness;
  };
  CHECK(slowness("3,1,8,170") == 1.7);
  for (const char* load : { "3,1,8", "3,1,8,", "3,1,8,0", "3,1,8,-5", "3,1,8,170,9" }) {
    CAPTURE(load);
    CHECK_FALSE(slowness(load));
  }
}

TEST_CASE("dialect: an endpoint's pause is a finite number of seconds", "[platform]")
{
  http::response<http::empty_body> response(http::status::service_unavailable, 11);
  const auto pause = [&](const char* aValue) {
    response.set("Retry-After", aValue);
    return kDialect.ReadResponse(response.base()).mPause;
  };
  CHECK_FALSE(kDialect.ReadResponse(response.base()).mPause);
  CHECK(pause("2") == 2s);
  CHECK(pause("0.25") == 250ms);
  CHECK(pause("0") == 0ms);
  CHECK(pause("1e300") == 1h);
  CHECK(pause("99999999999999999999") == 1h);
  for (const char* value : { "-1",
                             "",
                             "soon",
                             "2s",
                             "nan",
                             "inf",
                             "1e999",
                             "Fri, 31 Dec 1999 23:59:59 GMT" }) {
    CAPTURE(value);
    CHECK_FALSE(pause(value));
  }
  response.result(http::status::too_many_requests);
  CHECK_FALSE(pause("2"));
}

TEST_CASE("dialect: a caller's time and counts out of range are bounded", "[platform]")
{
  auto request = Request();
  const auto timeout = [&](const char* aValue) {
    request.set("Deadline-Ms", aValue);
    return kDialect.ReadRequest(request.base())->mCallerTimeout;
  };
  CHECK(timeout("-5") == 0ms);
  CHECK(timeout("9223372036854775807") == 24h);
  CHECK(timeout("99999999999999999999") == 24h);
  CHECK(timeout("-99999999999999999999") == 0ms);

  const auto tokens = [&](const char* aValue) {
    request.set("Token-Count", aValue);
    const auto facts = kDialect.ReadRequest(request.base());
    return facts->mHasTokenCounts ? facts->mPromptTokens + facts->mOutputTokens : -1;
  };
  CHECK(tokens("1460,80") == 1540);
  for (const char* negative : { "-1000000,80", "1460,-1000000", "-1,-1" }) {
    CAPTURE(negative);
    CHECK(tokens(negative) == -1);
  }
  for (const char* huge : { "9223372036854775807,9223372036854775807",
                            "99999999999999999999,99999999999999999999" }) {
    CAPTURE(huge);
    CHECK(tokens(huge) == 2'000'000'000);
  }

  request.set("Prompt-Prefix", "1:9223372036854775807,2:9223372036854775807");
  const auto parts = kDialect.ReadRequest(request.base())->mPromptParts;
  REQUIRE(parts.size() == 2);
  CHECK(parts[0].mTokens + parts[1].mTokens == 2'000'000'000);
}

TEST_CASE("dialect: an endpoint's load and idle time out of range are ignored or bounded",
          "[platform]")
{
  http::response<http::empty_body> response(http::status::ok, 11);
  for (const char* load : { "4294967295,1,8", "1,4294967295,8", "-1,1,8", "1,-1,8" }) {
    CAPTURE(load);
    response.set("Server-Load", load);
    const auto facts = kDialect.ReadResponse(response.base());
    CHECK_FALSE((facts.mRunning && facts.mWaiting));
  }
  const auto idle = [&](const char* aValue) {
    response.set("Keep-Alive", std::string("timeout=") + aValue);
    return kDialect.ReadResponse(response.base()).mKeepAlive;
  };
  CHECK(idle("10, max=5") == 10s);
  CHECK(idle("-5") == 0s);
  CHECK(idle("2147483647") == 1h);
  CHECK(idle("99999999999999999999") == 1h);
}

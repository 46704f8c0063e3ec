#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "apps/samphiresail/entry/apierror.hpp"
#include "apps/samphiresail/entry/callerrequest.hpp"
#include "apps/samphiresail/entry/streamtranscript.hpp"
#include "apps/samphiresail/entry/vmlistclient.hpp"
#include "apps/tests/entry/serving/servingfixture.hpp"

namespace {

using namespace samphiresail;
using entry::ApiErrorType;
using entry::RawRequest;

entry::RoutingSnapshot MakeSnapshot()
{
  return { std::make_shared<catalogue::Configuration>(tests::MakeServingConfiguration()),
           {} };
}

RawRequest MakeChat(const std::string& aBody)
{
  return { .mMethod = "POST",
           .mPath = "/v1/chat/completions",
           .mTarget = "/v1/chat/completions",
           .mBody = aBody };
}

ApiErrorType ErrorOf(const RawRequest& aRaw)
{
  try {
    entry::ParseCallerRequest(aRaw, MakeSnapshot(), {});
  } catch (const entry::ApiError& error) {
    return error.Type();
  }
  return ApiErrorType::Stopping;
}

}

TEST_CASE("each kind of bad input has its own error")
{
  const std::string messages = R"("messages":[{"role":"user","content":"x"}])";
  const std::string start = R"({"model":"assistant",)" + messages;
  CHECK(ErrorOf(MakeChat("{")) == ApiErrorType::InvalidJson);
  CHECK(ErrorOf(MakeChat("[]")) == ApiErrorType::InvalidJson);
  CHECK(ErrorOf(MakeChat("{}")) == ApiErrorType::InvalidParameter);
  CHECK(ErrorOf(MakeChat("{\"model\":\"none\"," + messages + "}")) ==
        ApiErrorType::UnknownModel);
  CHECK(ErrorOf(MakeChat(R"({"model":"assistant","messages":[]})")) ==
        ApiErrorType::InvalidParameter);
  CHECK(ErrorOf(MakeChat(start + R"(,"max_tokens":101})")) ==
        ApiErrorType::InvalidParameter);
  CHECK(ErrorOf(MakeChat(start + R"(,"max_tokens":0})")) ==
        ApiErrorType::InvalidParameter);
  CHECK(ErrorOf(MakeChat(start + R"(,"n":2})")) == ApiErrorType::InvalidParameter);
  CHECK(ErrorOf(MakeChat(start + R"(,"stream":1})")) == ApiErrorType::InvalidParameter);
  CHECK(ErrorOf({ .mMethod = "GET", .mPath = "/none", .mTarget = "/none" }) ==
        ApiErrorType::UnknownRoute);
  CHECK(ErrorOf({ .mMethod = "PUT",
                  .mPath = "/booking/bookings",
                  .mTarget = "/booking/bookings" }) == ApiErrorType::UnknownRoute);
  RawRequest late = MakeChat(start + "}");
  late.mDeadline = "soon";
  CHECK(ErrorOf(late) == ApiErrorType::InvalidParameter);
  RawRequest urgent = MakeChat(start + "}");
  urgent.mClass = "urgent";
  CHECK(ErrorOf(urgent) == ApiErrorType::InvalidParameter);
}

TEST_CASE("a request is charged its prompt and its full output limit")
{
  const auto request = entry::ParseCallerRequest(
    MakeChat(R"({"model":"assistant","messages":[{"role":"user","content":"123456"}]})"),
    MakeSnapshot(),
    {});
  CHECK(request.mMaxOutput == units::Tokens(100));
  CHECK(request.Cost() == units::Tokens(100 + 2 + 8));
}

TEST_CASE("a call of a service keeps its query and its cost")
{
  const auto request = entry::ParseCallerRequest(
    { .mMethod = "GET", .mPath = "/booking/stock/7", .mTarget = "/booking/stock/7?x=1" },
    MakeSnapshot(),
    {});
  CHECK(request.mTarget == "/stock/7?x=1");
  CHECK(request.mRepeatable);
  CHECK(request.Cost() == units::Tokens(1));
}

TEST_CASE("an error says whether the request has run")
{
  const auto text = [](const entry::ApiError& aError) {
    return nlohmann::json::parse(aError.Body("req-1"))["error"];
  };
  entry::ApiError limited(ApiErrorType::RateLimited, "slow down");
  limited.WithRetryAfter(std::chrono::milliseconds(1500));
  CHECK(limited.HttpStatus() == 429);
  CHECK(text(limited)["outcome"] == "not_run");
  CHECK(text(limited)["retry_after_ms"] == 1500);
  CHECK(text(limited)["request_id"] == "req-1");
  CHECK(text(entry::ApiError(ApiErrorType::OutcomeUnknown, ""))["outcome"] == "unknown");
}

TEST_CASE("a continued stream looks like one to the caller")
{
  entry::StreamTranscript transcript;
  transcript.Append(
    "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n");
  CHECK(transcript.Text().empty());
  transcript.Append("\ndata: {\"id\":\"a\",\"cho");
  CHECK(transcript.Text() == "x");
  transcript.BeginContinuation();
  const std::string end =
    transcript.Append("data: {\"id\":\"b\",\"choices\":[],\"usage\":{\"prompt_tokens\":4,"
                      "\"completion_tokens\":5,\"total_tokens\":9}}\n\ndata: [DONE]\n\n");
  CHECK(end.find("\"id\":\"a\"") != std::string::npos);
  CHECK(end.find("\"completion_tokens\":6") != std::string::npos);
  CHECK(end.find("\"prompt_tokens\":3") != std::string::npos);
  CHECK(end.ends_with("data: [DONE]\n\n"));
}

TEST_CASE("the platform's list of VMs is read, a malformed one is not")
{
  const auto list = entry::ParseVmList(
    R"({"vms":[{"name":"a","state":"live"},{"name":"b","state":"leaving"}]})");
  REQUIRE(list);
  REQUIRE(list->size() == 2);
  CHECK_FALSE((*list)[0].mLeaving);
  CHECK((*list)[1].mLeaving);
  CHECK_FALSE(entry::ParseVmList("{}"));
  CHECK_FALSE(entry::ParseVmList("x"));
  CHECK_FALSE(entry::ParseVmList(R"({"vms":[{"name":1}]})"));
}

TEST_CASE("a request that can never fit the burst differs from one that is too early")
{
  tests::ServingFixture fixture;
  fixture.SetAgent([](const auto&, const wire::Envelope&) {});
  entry::CallerRequest request = fixture.Chat(false);
  request.mMaxOutput = units::Tokens(20000);
  CHECK_THROWS_AS(fixture.Charge(request), entry::ApiError);
  request.mMaxOutput = units::Tokens(9000);
  for (int n = 0; n < 11; ++n) {
    fixture.Charge(request);
  }
  try {
    fixture.Charge(request);
    FAIL("the credit was used up");
  } catch (const entry::ApiError& error) {
    CHECK(error.Type() == ApiErrorType::RateLimited);
    REQUIRE(error.RateLimit());
    CHECK(error.RateLimit()->mLimit == units::Tokens(10000));
    CHECK(error.RateLimit()->mReset > std::chrono::seconds(9));
  }
}

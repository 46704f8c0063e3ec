#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "components/store/base64.hpp"
#include "components/store/etcdcodec.hpp"

using namespace samphiresail::store;

TEST_CASE("base64 keeps all bytes and refuses malformed text")
{
  const std::string bytes("\0\xff"
                          "abc",
                          5);
  CHECK(DecodeBase64(EncodeBase64(bytes)) == bytes);
  CHECK(EncodeBase64("").empty());
  CHECK(DecodeBase64("")->empty());
  CHECK_FALSE(DecodeBase64("abc"));
  CHECK_FALSE(DecodeBase64("===="));
  CHECK_FALSE(DecodeBase64("a b!"));
}

TEST_CASE("a transaction is written as the gateway expects it")
{
  const TransactionRequest request{ { { "k", 4 } }, { PutOperation{ "k", "v", 9 } } };
  const EtcdCall call = EncodeEtcdCall(request);
  CHECK(call.mPath == "/v3/kv/txn");
  const auto body = nlohmann::json::parse(call.mBody);
  CHECK(body["compare"][0]["mod_revision"] == "4");
  CHECK(body["success"][0]["request_put"]["lease"] == "9");
  CHECK(body["failure"][0]["request_range"]["key"] == EncodeBase64("k"));
}

TEST_CASE("answers of the gateway are read, malformed ones are not")
{
  const RangeRequest range{ "k" };
  const auto reply = DecodeEtcdReply(
    range,
    R"({"header":{"revision":"12"},"kvs":[{"key":"aw==","value":"dg==","mod_revision":"7"}]})");
  REQUIRE(reply);
  CHECK(reply->mRevision == 12);
  REQUIRE(reply->mRecords.size() == 1);
  CHECK(reply->mRecords[0].mKey == "k");
  CHECK(reply->mRecords[0].mValue == "v");
  CHECK(reply->mRecords[0].mModRevision == 7);

  CHECK_FALSE(DecodeEtcdReply(range, "{"));
  CHECK_FALSE(DecodeEtcdReply(range, R"({"header":{"revision":"x"}})"));
  CHECK_FALSE(DecodeEtcdReply(range, R"({"kvs":[{"key":"!"}]})"));
  CHECK_FALSE(DecodeEtcdReply(range, R"({"kvs":3})"));

  const auto lapsed =
    DecodeEtcdReply(LeaseKeepAliveRequest{ 3 }, R"({"result":{"ID":"3"}})");
  REQUIRE(lapsed);
  CHECK_FALSE(lapsed->mSucceeded);
}

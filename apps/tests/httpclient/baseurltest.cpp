#include <catch2/catch.hpp>

#include "components/httpclient/baseurl.hpp"

using namespace samphiresail::httpclient;

TEST_CASE("base url: scheme, host and port are read", "[httpclient]")
{
  const auto url = ParseBaseUrl("http://127.0.0.1:2379");
  REQUIRE(url);
  CHECK_FALSE(url->mTls);
  CHECK(url->mHost == "127.0.0.1");
  CHECK(url->mPort == "2379");
  CHECK(url->mAuthority == "127.0.0.1:2379");

  const auto secure = ParseBaseUrl("https://store.example/");
  REQUIRE(secure);
  CHECK(secure->mTls);
  CHECK(secure->mHost == "store.example");
  CHECK(secure->mPort == "443");
  CHECK(secure->mAuthority == "store.example");

  const auto v6 = ParseBaseUrl("http://[::1]:80");
  REQUIRE(v6);
  CHECK(v6->mHost == "::1");
  CHECK(v6->mPort == "80");
  CHECK(v6->mAuthority == "[::1]:80");
  CHECK(ParseBaseUrl("http://[::1]")->mPort == "80");
}

TEST_CASE("base url: an address without a scheme is one of plain HTTP", "[httpclient]")
{
  const auto url = ParseBaseUrl("127.0.0.1:2379");
  REQUIRE(url);
  CHECK_FALSE(url->mTls);
  CHECK(url->mHost == "127.0.0.1");
  CHECK(url->mPort == "2379");
  CHECK(ParseBaseUrl("localhost")->mPort == "80");
}

TEST_CASE("base url: other text is none", "[httpclient]")
{
  const std::string text = GENERATE("",
                                    "ftp://h",
                                    "http://",
                                    "http://:80",
                                    "http://h:",
                                    "http://h:x",
                                    "http://h:65536",
                                    "http://h:-1",
                                    "http://h/path",
                                    "http://user@h",
                                    "http://a b");
  CHECK_FALSE(ParseBaseUrl(text));
}

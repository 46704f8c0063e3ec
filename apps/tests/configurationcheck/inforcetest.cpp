#include <thread>

#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "components/store/base64.hpp"
#include "platform/configurationinforce.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using frontend::testing::ScriptedEndpoint;

namespace {

/// Far longer than a response on the loopback address takes.
constexpr auto kLongTimeout = 20s;

/// Store that answers one call with a body.
class OneAnswer
{
public:
  explicit OneAnswer(const std::string& aBody)
  {
    mEndpoint.AddScript({ "HTTP/1.1 200 OK\r\nContent-Length: " +
                          std::to_string(aBody.size()) + "\r\n\r\n" + aBody });
    mThread = std::thread([this] { mIo.run(); });
  }
  OneAnswer(const OneAnswer&) = delete;
  OneAnswer& operator=(const OneAnswer&) = delete;
  ~OneAnswer()
  {
    mIo.stop();
    mThread.join();
  }

  std::string Url() const
  {
    return "http://127.0.0.1:" + std::to_string(mEndpoint.Port());
  }

private:
  frontend::asio::io_context mIo{ 1 };
  ScriptedEndpoint mEndpoint{ mIo };
  std::thread mThread;
};

std::string Item(const std::string& aKey, const std::string& aValue)
{
  return R"({"key":")" + aKey + R"(","value":")" + store::EncodeBase64(aValue) +
         R"(","revision":4})";
}

}

// Guards against a record whose key only begins with that of the configuration.
TEST_CASE("check: the version in force is read from the platform's store", "[check]")
{
  const OneAnswer store(R"({"storeRevision":4,"items":[)" + Item("op/config", "text") +
                        "," + Item("op/config-old", "other") + "]}");
  CHECK(platform::ReadConfigurationInForce(store.Url(), kLongTimeout) == "text");
}

TEST_CASE("check: a store without a configuration is an error", "[check]")
{
  const OneAnswer store(R"({"storeRevision":4,"items":[]})");
  CHECK_THROWS_WITH(platform::ReadConfigurationInForce(store.Url(), kLongTimeout),
                    "the store has no configuration");
  CHECK_THROWS(platform::ReadConfigurationInForce("http://store.example:80", 1s));
}

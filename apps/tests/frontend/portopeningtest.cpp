#include <sstream>
#include <stdexcept>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/system/system_error.hpp>
#include <catch2/catch.hpp>

#include "apps/tests/frontend/messages.hpp"
#include "components/frontend/portopening.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend;
using frontend::testing::Contains;
using namespace std::chrono_literals;

namespace {

/// A port whose first attempts to open it fail with the error.
struct PortFixture
{
  void Open(int aFailures, ErrorCode aError, std::chrono::milliseconds aRetryTime)
  {
    PortOpening port{ "callers",
                      { "127.0.0.1", 8221 },
                      aRetryTime,
                      [this, aFailures, aError] {
                        if (++mAttempts <= aFailures) {
                          throw boost::system::system_error(aError);
                        }
                      },
                      [this](const std::string& aText) { mFailure = aText; } };
    asio::co_spawn(mIo, OpenPort(mIo, mLogger, std::move(port)), asio::detached);
    mIo.run();
  }

  asio::io_context mIo{ 1 };
  std::ostringstream mLog;
  logging::Logger mLogger{ "test", logging::Level::Info, mLog };
  int mAttempts{ 0 };
  std::string mFailure;
};

}

TEST_CASE_METHOD(PortFixture, "port: one that is in use is tried again", "[frontend]")
{
  Open(3, asio::error::address_in_use, 1s);
  CHECK(mAttempts == 4);
  CHECK(mFailure.empty());
  CHECK(Contains(mLog.str(), "callers"));
  CHECK(Contains(mLog.str(), "127.0.0.1:8221"));
}

TEST_CASE_METHOD(PortFixture, "port: the error names the port and its use", "[frontend]")
{
  SECTION("after the time for it")
  {
    Open(1000, asio::error::address_in_use, 300ms);
    CHECK(mAttempts == 4);
  }
  SECTION("at once if it cannot become free")
  {
    Open(1000, asio::error::access_denied, 1h);
    CHECK(mAttempts == 1);
  }
  CHECK(Contains(mFailure, "callers"));
  CHECK(Contains(mFailure, "127.0.0.1:8221"));
}

// Any other exception left the coroutine, and the process went on without the port.
TEST_CASE_METHOD(PortFixture, "port: any exception is a failure to open it", "[frontend]")
{
  PortOpening port{ "callers",
                    { "127.0.0.1", 8221 },
                    1h,
                    [] { throw std::runtime_error("no luck"); },
                    [this](const std::string& aText) { mFailure = aText; } };
  asio::co_spawn(mIo, OpenPort(mIo, mLogger, std::move(port)), asio::detached);
  mIo.run();
  CHECK(Contains(mFailure, "no luck"));
}

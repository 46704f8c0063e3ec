#include <algorithm>
#include <deque>

#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/frontend/messages.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend::testing;
using std::chrono::milliseconds;

namespace {

using Parts = std::vector<std::pair<timing::Duration, std::string>>;

bool Never(const std::string&)
{
  return false;
}

/// Head of a request with a body of the length.
std::string PostHead(std::size_t aLength, const std::string& aExtra = {})
{
  return "POST /once/1" + std::string(kCommon) + aExtra +
         "Content-Length: " + std::to_string(aLength) + "\r\n\r\n";
}

/// Sets the times that callers may take.
void SetTimes(gateway::ServingConfiguration& aConfiguration,
              milliseconds aHeader,
              milliseconds aIdle)
{
  aConfiguration.mLimits.mHeaderTimeout = aHeader;
  aConfiguration.mLimits.mIdleTimeout = aIdle;
}

}

TEST_CASE_METHOD(Fixture,
                 "caller: a body that arrives for longer than a head may is read whole",
                 "[frontend]")
{
  StartTicks();
  AddEndpoint("e1").AddScript({ ResponseWithDigest("r1", "done") });
  const Parts parts{ { milliseconds(0), PostHead(4) },
                     { milliseconds(1200), "b" },
                     { milliseconds(1200), "o" },
                     { milliseconds(1200), "d" },
                     { milliseconds(1200), "y" } };
  CHECK(CallInParts(parts, HasHeadAndBody).ends_with("done"));
}

TEST_CASE_METHOD(Fixture,
                 "caller: a request that does not arrive in time is answered 408",
                 "[frontend]")
{
  StartTicks();
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  std::string response;
  SECTION("as its head stops")
  {
    response = CallInParts({ { milliseconds(0), "POST /once/1 HTTP/1.1\r\nHo" } }, Never);
  }
  SECTION("as its body stops")
  {
    response = CallInParts({ { milliseconds(0), PostHead(4) + "bo" } }, Never);
  }
  SECTION("as its body brings a byte now and then")
  {
    Parts parts{ { milliseconds(0), PostHead(100, "Deadline-Ms: 5000\r\n") } };
    parts.insert(parts.end(), 20, { milliseconds(1000), "x" });
    response = CallInParts(parts, Never);
  }
  CHECK(response.starts_with("HTTP/1.1 408"));
  CHECK(Contains(response, "Connection: close"));
  CHECK(endpoint.Requests().empty());
}

TEST_CASE_METHOD(Fixture,
                 "caller: a change of the limits ends no request that is being read",
                 "[frontend]")
{
  StartTicks();
  AddEndpoint("e1").AddScript({ ResponseWithDigest("r1", "done") });
  const auto header = GENERATE(milliseconds(0), milliseconds(50));
  const std::string request = Post("/once/1");
  const std::size_t cut = GENERATE_COPY(std::size_t{ 10 }, request.size() - 2);
  const Parts parts{ { milliseconds(0), request.substr(0, cut) },
                     { milliseconds(1500), request.substr(cut) } };
  RunAfter(milliseconds(500), [&] {
    ChangeConfiguration(
      [&](auto& aConfiguration) { SetTimes(aConfiguration, header, milliseconds(50)); });
  });
  CHECK(CallInParts(parts, HasHeadAndBody).ends_with("done"));
}

TEST_CASE_METHOD(Fixture,
                 "caller: a change of the limits ends no connection that is idle by the "
                 "earlier ones",
                 "[frontend]")
{
  StartTicks();
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ ResponseWithDigest("r1", "first") });
  endpoint.AddScript({ ResponseWithDigest("r1", "second") });
  RunAfter(milliseconds(500), [&] {
    ChangeConfiguration([](auto& aConfiguration) {
      SetTimes(aConfiguration, milliseconds(50), milliseconds(50));
    });
  });
  const Parts parts{ { milliseconds(0), Post("/once/1") },
                     { milliseconds(2000), Post("/once/1") } };
  const std::string response =
    CallInParts(parts, [](const auto& aText) { return aText.ends_with("second"); });
  CHECK(response.ends_with("second"));
}

// Once callers had all the places, each further connection was closed without an answer.
TEST_CASE_METHOD(Fixture,
                 "caller: the connection that is idle longest gives way to a new one",
                 "[frontend]")
{
  StartTicks();
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  std::deque<frontend::tcp::socket> idle;
  for (std::size_t i = 0; i < kMaxCallers; ++i) {
    idle.emplace_back(mIo).connect(
      { frontend::asio::ip::address_v4::loopback(), Port() });
    RunFor(milliseconds(2));
  }
  const auto isOpen = [](frontend::tcp::socket& aSocket) {
    frontend::ErrorCode ec;
    char byte = 0;
    aSocket.non_blocking(true, ec);
    aSocket.read_some(frontend::asio::buffer(&byte, 1), ec);
    return ec == frontend::asio::error::would_block;
  };
  CHECK(std::ranges::all_of(idle, isOpen));
  for (int i = 0; i < 3; ++i) {
    endpoint.AddScript({ ResponseWithDigest("r1", "done") });
    CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("done"));
  }
  CHECK_FALSE(isOpen(idle.front()));
  CHECK(isOpen(idle.back()));
  CHECK(std::ranges::count_if(idle, isOpen) >= static_cast<long>(kMaxCallers) - 4);
}

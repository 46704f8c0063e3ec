#include <future>
#include <mutex>
#include <thread>

#include <catch2/catch.hpp>

#include "apps/samphiresail/entry/vmlistclient.hpp"
#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/support/responseheads.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using frontend::testing::ScriptedEndpoint;

namespace {

std::string Answer(const testing::HeadBegin& aHead, const std::string& aVm)
{
  const std::string body = R"({"vms":[{"name":")" + aVm + R"(","state":"leaving"}]})";
  return aHead.mStatusLine + aHead.mFields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Returns the name of the VM in the first list that is taken from the answers.
std::string FirstListed(const std::vector<std::string>& aAnswers)
{
  boost::asio::io_context io(1);
  ScriptedEndpoint server(io);
  for (const std::string& answer : aAnswers) {
    server.AddScript({ answer, true });
  }
  std::jthread thread([&] { io.run(); });
  std::promise<std::string> promise;
  std::once_flag first;
  std::string name;
  {
    const std::string url = "http://127.0.0.1:" + std::to_string(server.Port());
    const entry::VmListClient client(url, 1ms, 5s, [&](auto aList) {
      std::call_once(first, [&] { promise.set_value(aList.at(0).mName.Str()); });
    });
    name = promise.get_future().get();
  }
  io.stop();
  thread.join();
  return name;
}

}

// A list behind a head that is none counted, and VMs in it as leaving.
TEST_CASE("vm list: a malformed answer lists nothing", "[entry]")
{
  std::vector<std::string> answers;
  for (const testing::HeadBegin& head : testing::MalformedHeads()) {
    answers.push_back(Answer(head, "foreign: " + head.mWhat));
  }
  answers.push_back(Answer({}, "sound"));
  CHECK(FirstListed(answers) == "sound");
}

TEST_CASE("vm list: a sound odd answer counts", "[entry]")
{
  for (const testing::HeadBegin& head : testing::OddSoundHeads()) {
    INFO(head.mWhat);
    const bool isOk = head.mStatusLine.find(" 200 ") != std::string::npos;
    CHECK(FirstListed({ Answer(head, "odd"), Answer({}, "plain") }) ==
          (isOk ? "odd" : "plain"));
  }
}

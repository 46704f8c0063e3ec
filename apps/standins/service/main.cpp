#include <chrono>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <thread>

#include <CLI/CLI.hpp>

#include "apps/standins/common/answertext.hpp"
#include "apps/standins/common/httpprogram.hpp"

namespace {

using namespace samphiresail;
using nlohmann::json;

struct ServiceFaults
{
  std::chrono::milliseconds mDelay{ 0 };
  /// Calls that run and lose their answer.
  std::int64_t mLoseAnswers{ 0 };
  /// Calls that are answered with status 500 and don't run.
  std::int64_t mErrors{ 0 };
};

bool Take(std::int64_t& aCount)
{
  if (aCount <= 0) {
    return false;
  }
  --aCount;
  return true;
}

/// Plain service: every POST is an action that must not be repeated, every GET a lookup.
class PlainService
{
public:
  void Act(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    std::this_thread::sleep_for(Delay());
    const std::lock_guard lock(mMutex);
    mAuthorizationSeen += static_cast<std::int64_t>(aRequest.has_header("Authorization"));
    if (Take(mFaults.mErrors)) {
      standins::Answer(aResponse, { { "error", "the service failed" } }, 500);
      return;
    }
    const auto number = mExecutions.size() + 1;
    mExecutions.push_back({ { "number", number },
                            { "path", aRequest.path },
                            { "digest", standins::PromptDigest(aRequest.body) },
                            { "body", aRequest.body } });
    if (Take(mFaults.mLoseAnswers)) {
      standins::DropConnection(aRequest);
      return;
    }
    standins::Answer(
      aResponse, { { "confirmation", number }, { "path", aRequest.path } }, 201);
  }

  void LookUp(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    std::this_thread::sleep_for(Delay());
    const std::lock_guard lock(mMutex);
    mAuthorizationSeen += static_cast<std::int64_t>(aRequest.has_header("Authorization"));
    ++mLookups;
    if (Take(mFaults.mErrors)) {
      standins::Answer(aResponse, { { "error", "the service failed" } }, 500);
      return;
    }
    if (Take(mFaults.mLoseAnswers)) {
      standins::DropConnection(aRequest);
      return;
    }
    constexpr std::uint64_t kPallets = 1000;
    standins::Answer(aResponse,
                     { { "path", aRequest.path },
                       { "pallets", standins::PromptDigest(aRequest.path) % kPallets } });
  }

  json Journal()
  {
    const std::lock_guard lock(mMutex);
    return { { "executions", mExecutions },
             { "lookups", mLookups },
             { "authorization_seen", mAuthorizationSeen } };
  }

  void SetFaults(const json& aBody)
  {
    const std::lock_guard lock(mMutex);
    mFaults.mDelay =
      std::chrono::milliseconds(aBody.value("delay_ms", mFaults.mDelay.count()));
    mFaults.mLoseAnswers = aBody.value("lose_answers", mFaults.mLoseAnswers);
    mFaults.mErrors = aBody.value("errors", mFaults.mErrors);
  }

private:
  std::chrono::milliseconds Delay()
  {
    const std::lock_guard lock(mMutex);
    return mFaults.mDelay;
  }

  std::mutex mMutex;
  ServiceFaults mFaults;
  json mExecutions = json::array();
  std::int64_t mLookups{ 0 };
  std::int64_t mAuthorizationSeen{ 0 };
};

void Register(httplib::Server& aServer, PlainService& aService)
{
  aServer.Get("/journal",
              [&aService](const httplib::Request&, httplib::Response& aResponse) {
                standins::Answer(aResponse, aService.Journal());
              });
  aServer.Get("/health", [](const httplib::Request&, httplib::Response& aResponse) {
    standins::Answer(aResponse, { { "state", "ready" } });
  });
  standins::PostJson(aServer,
                     "/faults",
                     [&aService](const httplib::Request&,
                                 const json& aBody,
                                 httplib::Response& aResponse) {
                       aService.SetFaults(aBody);
                       standins::Answer(aResponse, json::object());
                     });
  aServer.Post(
    ".*", [&aService](const httplib::Request& aRequest, httplib::Response& aResponse) {
      aService.Act(aRequest, aResponse);
    });
  aServer.Get(
    ".*", [&aService](const httplib::Request& aRequest, httplib::Response& aResponse) {
      aService.LookUp(aRequest, aResponse);
    });
}

}

int main(int argc, char** argv)
{
  CLI::App app("Stand-in for a plain service with actions and lookups");
  std::uint16_t port = 0;
  std::size_t threads = 64;
  app.add_option("--port", port, "Port on the loopback address; 0 for any");
  app.add_option("--threads", threads, "Connections served at once");
  CLI11_PARSE(app, argc, argv);
  try {
    standins::HttpProgram program(port, threads);
    PlainService service;
    Register(program.Server(), service);
    program.Bind();
    program.Run();
  } catch (const std::exception& ec) {
    std::cerr << "samphiresail-standin-service: " << ec.what() << '\n';
    return EXIT_FAILURE;
  }
}

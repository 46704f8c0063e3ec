#include <chrono>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>

#include <CLI/CLI.hpp>

#include "apps/standins/common/httpprogram.hpp"
#include "components/timing/clock.hpp"

namespace {

using namespace samphiresail;
using nlohmann::json;

struct Vm
{
  std::string mAvailabilityZone;
  std::string mState{ "live" };
};

/// List of VMs whose changes show after a lag. Thread-safe.
class VmList
{
public:
  VmList(std::chrono::milliseconds aLag, const timing::Clock& aClock)
    : mLag(aLag)
    , mClock(aClock)
  {
  }

  void AddNow(const std::string& aName, const std::string& aAvailabilityZone)
  {
    mShown[aName] = { .mAvailabilityZone = aAvailabilityZone };
  }

  /// Changes or adds VMs; the state "gone" removes one.
  void Change(const json& aVms)
  {
    const std::lock_guard lock(mMutex);
    mPending.push_back({ mClock.Now() + mLag, aVms });
  }

  json Show()
  {
    const std::lock_guard lock(mMutex);
    while (!mPending.empty() && mPending.front().mAt <= mClock.Now()) {
      Apply(mPending.front().mVms);
      mPending.pop_front();
    }
    json vms = json::array();
    for (const auto& [name, vm] : mShown) {
      vms.push_back({ { "name", name },
                      { "availability_zone", vm.mAvailabilityZone },
                      { "state", vm.mState } });
    }
    return { { "vms", vms } };
  }

private:
  struct PendingChange
  {
    timing::Instant mAt;
    json mVms;
  };

  void Apply(const json& aVms)
  {
    for (const auto& change : aVms) {
      const auto name = change.at("name").get<std::string>();
      const auto state = change.value("state", "live");
      if (state == "gone") {
        mShown.erase(name);
        continue;
      }
      auto& vm = mShown[name];
      vm.mState = state;
      vm.mAvailabilityZone = change.value("availability_zone", vm.mAvailabilityZone);
    }
  }

  std::chrono::milliseconds mLag;
  const timing::Clock& mClock;
  std::mutex mMutex;
  std::map<std::string, Vm> mShown;
  std::deque<PendingChange> mPending;
};

}

int main(int argc, char** argv)
{
  CLI::App app("Stand-in for the platform's list of live and leaving VMs");
  std::uint16_t port = 0;
  std::int64_t lagMs = 0;
  std::vector<std::string> vms;
  app.add_option("--port", port, "Port on the loopback address; 0 for any");
  app.add_option("--lag-ms", lagMs, "Time before a change shows");
  app.add_option("--vm", vms, "NAME=AVAILABILITY-ZONE")->delimiter(',');
  CLI11_PARSE(app, argc, argv);
  try {
    constexpr std::size_t kThreads = 64;
    standins::HttpProgram program(port, kThreads);
    const timing::SystemClock clock;
    VmList list(std::chrono::milliseconds(lagMs), clock);
    for (const auto& vm : vms) {
      const auto at = vm.find('=');
      list.AddNow(vm.substr(0, at), at == std::string::npos ? "" : vm.substr(at + 1));
    }
    auto& server = program.Server();
    server.Get("/vms", [&list](const httplib::Request&, httplib::Response& aResponse) {
      standins::Answer(aResponse, list.Show());
    });
    standins::PostJson(
      server,
      "/vms",
      [&list](const httplib::Request&, const json& aBody, httplib::Response& aResponse) {
        list.Change(aBody.at("vms"));
        standins::Answer(aResponse, json::object());
      });
    program.Bind();
    program.Run();
  } catch (const std::exception& ec) {
    std::cerr << "samphiresail-standin-vms: " << ec.what() << '\n';
    return EXIT_FAILURE;
  }
}

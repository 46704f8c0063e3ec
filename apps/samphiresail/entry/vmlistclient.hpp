#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_VMLISTCLIENT_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_VMLISTCLIENT_HPP

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "components/membership/vmpresence.hpp"

namespace samphiresail::entry {

/// Reads the body of the platform's list of VMs; returns nothing for a malformed one.
std::optional<std::vector<membership::ListedVm>> ParseVmList(std::string_view aBody);

/// Fetches the platform's list of VMs again and again on a thread of its own. A list that
/// cannot be fetched is left out.
class VmListClient
{
public:
  using Handler = std::function<void(std::vector<membership::ListedVm>)>;

  VmListClient(std::string aUrl,
               std::chrono::milliseconds aInterval,
               std::chrono::milliseconds aTimeout,
               Handler aHandler);
  ~VmListClient();

private:
  void Run(const std::stop_token& aStop);
  void Fetch();

  std::string mUrl;
  std::chrono::milliseconds mInterval;
  std::chrono::milliseconds mTimeout;
  Handler mHandler;
  std::jthread mThread;
};

}

#endif

#ifndef SAMPHIRESAIL_APPS_TESTS_PROCESSES_DEPLOYMENT_HPP
#define SAMPHIRESAIL_APPS_TESTS_PROCESSES_DEPLOYMENT_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "apps/tests/processes/childprocess.hpp"

namespace samphiresail::tests {

struct DeploymentOptions
{
  std::size_t mEntries{ 3 };
  std::size_t mEngines{ 3 };
  /// Puts a forwarder before each agent.
  bool mForwardAgents{ false };
  /// Puts a forwarder between the entries and the store.
  bool mForwardStore{ false };
  std::vector<std::string> mEngineFlags{ "--token-us", "2000", "--answer-tokens", "400" };
  /// Lines added to the settings of each entry.
  std::string mEntrySettings;
};

/// The whole path as separate processes on the loopback address, with the demo catalogue
/// in force: engines with agents engine-1 and so on, one service with the agent
/// service-1, and entries. Process number n is in availability zone a, b, c in turn,
/// beginning with a.
class Deployment
{
public:
  explicit Deployment(const DeploymentOptions& aOptions = {});
  ~Deployment();

  ChildProcess& Process(const std::string& aName) { return *mProcesses.at(aName); }
  /// Starts a process again with its settings.
  void Restart(const std::string& aName);

  std::uint16_t EntryPort(std::size_t aNumber) const
  {
    return mEntryPorts.at(aNumber - 1);
  }
  /// Port of a stand-in, or the control port of a forwarder.
  std::uint16_t Port(const std::string& aName) const { return mPorts.at(aName); }

  ProgramResult Operate(std::vector<std::string> aArguments);
  /// Issues a key and waits until all entries know it.
  std::string IssueKey(const std::string& aAccount, const std::string& aName);

  /// Posts to a stand-in. Throws std::runtime_error if it does not answer.
  nlohmann::json Tell(const std::string& aName,
                      const std::string& aPath,
                      const nlohmann::json& aBody);
  nlohmann::json Ask(const std::string& aName, const std::string& aPath);

  /// Sum of the generations that the engines began.
  std::uint64_t EngineExecutions();
  std::uint64_t EngineExecutions(std::size_t aNumber);
  /// Digests of the prompts whose generation the engines began.
  std::set<std::uint64_t> ExecutedPrompts();
  /// Number of runs of the service with this body.
  std::size_t ServiceExecutions(const nlohmann::json& aBody);

  /// Checks what must hold in every run: no memory overcommitted, no key seen by an
  /// endpoint, nothing run twice by the service.
  void CheckStandIns();

private:
  void Start(const std::string& aName, std::vector<std::string> aCommand);
  std::uint16_t StartStandIn(const std::string& aName,
                             const std::string& aProgram,
                             std::vector<std::string> aArguments);
  std::uint16_t StartForwarder(const std::string& aName, std::uint16_t aTo);
  void StartEngines(const DeploymentOptions& aOptions);
  void StartAgent(const std::string& aName,
                  std::size_t aNumber,
                  const std::string& aPool,
                  std::uint16_t aBackend,
                  bool aForward);
  void StartEntries(const DeploymentOptions& aOptions);
  void AwaitReady();
  std::string WriteCatalogue() const;
  bool RosterIsComplete() const;
  std::string WriteSettings(const std::string& aName, const std::string& aText);
  std::string LogFile(const std::string& aName) const;

  std::string mFolder;
  std::string mStoreUrl;
  std::string mEntryStoreUrl;
  std::size_t mEngines;
  std::map<std::string, std::vector<std::string>> mCommands;
  std::map<std::string, std::uint16_t> mPorts;
  std::vector<std::uint16_t> mEntryPorts;
  std::map<std::string, std::unique_ptr<ChildProcess>> mProcesses;
};

/// Repeats the check until it holds; returns false after the limit.
bool Eventually(const std::function<bool()>& aCheck,
                std::chrono::milliseconds aLimit = std::chrono::seconds(20));

}

#endif

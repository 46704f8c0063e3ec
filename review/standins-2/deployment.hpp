#ifndef REVIEW_STANDINS_2_DEPLOYMENT_HPP
#define REVIEW_STANDINS_2_DEPLOYMENT_HPP

// Starts a small deployment: the store in this process, gateways and workers as processes.

#include <csignal>
#include <fstream>
#include <memory>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "store.hpp"

namespace review {

using std::chrono::milliseconds;

/// Exit statuses of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// A process that ends with this object.
class Process
{
public:
  Process(const std::vector<std::string>& aArguments,
          const std::vector<std::string>& aEnvironment,
          const std::string& aOutput)
  {
    std::vector<char*> arguments;
    std::vector<char*> environment;
    for (const std::string& it : aArguments) {
      arguments.push_back(const_cast<char*>(it.c_str()));
    }
    for (const std::string& it : aEnvironment) {
      environment.push_back(const_cast<char*>(it.c_str()));
    }
    arguments.push_back(nullptr);
    environment.push_back(nullptr);
    const pid_t parent = getpid();
    mPid = fork();
    if (mPid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(127);
      }
      const int out = open(aOutput.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      execve(arguments[0], arguments.data(), environment.data());
      _exit(127);
    }
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() { Kill(); }

  void Signal(int aSignal) const
  {
    if (mPid > 0) {
      kill(mPid, aSignal);
    }
  }
  void Kill()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
      mPid = -1;
    }
  }

private:
  pid_t mPid{ -1 };
};

class Gateway
{
public:
  Gateway(const std::string& aName,
          const std::string& aZone,
          int aStorePort,
          const std::string& aFolder)
    : mCallerPort(FreePort())
    , mReadyPort(FreePort())
  {
    const int peer = FreePort();
    const std::string settings = aFolder + "/" + aName + ".toml";
    std::ofstream(settings)
      << "nodeName = \"" << aName << "\"\nrole = \"entry\"\nmachineClass = \"front\"\n"
      << "serves = [\"front\"]\nip = \"127.0.0.1\"\nzone = \"" << aZone << "\"\n"
      << "region = \"region-a\"\nportRange = [" << peer << "," << peer + 15 << "]\n"
      << "seeds = []\nbootstrap = true\nfaultCounted = false\ndiscovery = \"platform\"\n"
      << "entry = \"virtual_ip\"\nheartbeatMs = 1200\n"
      << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"fleet\","
      << "\"stream\",\"engine\",\"tenants\",\"quota\",\"places\",\"platform\"]\n"
      << "[zones]\nzone-a = \"region-a\"\nzone-b = \"region-a\"\nzone-c = \"region-a\"\n"
      << "[listen]\nfront = \"127.0.0.1:" << mCallerPort << "\"\nreadyAddr = \"127.0.0.1:"
      << mReadyPort << "\"\n"
      << "[limits]\ncpuShare = 0.19\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n"
      << "linkMbps = 1000.0\ndiskMb = 0\n"
      << "[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
      << "[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\n"
      << "catchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n"
      << "rollbackSlackMs = 250\nstretchMaxMs = 5000\nstrictRevoke = true\nrevokeMs = 5000\n"
      << "budgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 54\nquotaWindowS = 8\n"
      << "quotaOverage = 0.1\nquotaSlack = 17000\ncoldOverage = 1.5\ncoldSlack = 5\n"
      << "evacuateMs = 5000\nrecoveryS = 12\npassMs = 120\nretryAfterS = 0\n"
      << "requireFence = true\nleaseMs = 3000\nthawMs = 300\nceilingWindowS = 5\n"
      << "ceilingOverage = 1.1\n"
      << "[platform]\naddress = \"127.0.0.1:" << aStorePort << "\"\nform = \"kv\"\n"
      << "writesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\n"
      << "ttlMinMs = 1000\n";
    // The run line of deploy/system.toml, with a free port for the metrics.
    mProcess = std::make_unique<Process>(
      std::vector<std::string>{ "target/apps/samphiresail/samphiresail",
                                "gateway",
                                "--metrics-port",
                                std::to_string(FreePort()) },
      std::vector<std::string>{ "PATH=/usr/bin:/bin", "SAMPHIRESAIL_NODE_FILE=" + settings },
      aFolder + "/" + aName + ".log");
  }

  int CallerPort() const { return mCallerPort; }
  Process& Child() { return *mProcess; }

  bool IsReady() const
  {
    const int fd = Connect(mReadyPort);
    if (fd < 0) {
      return false;
    }
    Connection connection(fd);
    connection.Send("GET /ready HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n");
    const auto head = ReadHead(connection, milliseconds(1000));
    return head && head->Status() == 200;
  }
  bool WaitReady(milliseconds aWait) const
  {
    const auto end = Clock::now() + aWait;
    while (Clock::now() < end) {
      if (IsReady()) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
  }

private:
  int mCallerPort;
  int mReadyPort;
  std::unique_ptr<Process> mProcess;
};

/// Lines of what was sent, answered and run, with the time since the start.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
  {
  }
  void Add(const std::string& aLine)
  {
    const std::lock_guard lock(mMutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", SecondsSince(mStart));
    mFile << time << aLine << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
  Clock::time_point mStart{ Clock::now() };
};

inline Json Route(const std::string& aName,
                  const std::string& aPrefix,
                  const std::string& aKind,
                  const std::string& aService,
                  int aAttempts,
                  bool aResumable)
{
  return { { "name", aName },         { "host", "desk.example" }, { "pathPrefix", aPrefix },
           { "kind", aKind },
           { "timeoutMs", aKind == "stream" ? 12000 : 4000 },
           { "targetLatencyMs", 300 },
           { "priority", 1 },         { "service", aService },    { "maxAttempts", aAttempts },
           { "public", false },       { "sticky", false },        { "canResume", aResumable },
           { "gapAimMs", 300 } };
}

/// A manifest with a booking service and a service of model workers.
inline Json Manifest(int aVersion)
{
  const Json model{ { "name", "m0" },      { "weightsMb", 72700.0 }, { "loadTimeS", 5.8 },
                    { "adapters", 0 },     { "adapterMb", 66.0 },    { "warmS", 0.4 },
                    { "diskS", 1.2 } };
  const Json engine{ { "slots", 64 },          { "kvCapacity", 136481 }, { "weightsMb", 220000.0 },
                     { "adapterSlots", 8 },    { "loadsPerS", 1.8 },     { "stride", 7 },
                     { "models", Json::array({ model }) } };
  return { { "version", aVersion },
           { "routes",
             Json::array({ Route("book", "/book/", "unsafe", "desk", 1, false),
                           Route("look", "/look/", "safe", "desk", 2, false),
                           Route("advice", "/gen/advice/", "stream", "models", 2, true),
                           Route("digest", "/gen/digest/", "stream", "models", 1, false) }) },
           { "services",
             Json::array({ { { "name", "desk" },
                             { "healthPath", "/health" },
                             { "maxConnections", 110 },
                             { "protocol", "h1" },
                             { "tls", false } },
                           { { "name", "models" },
                             { "healthPath", "/health" },
                             { "maxConnections", 360 },
                             { "protocol", "h1" },
                             { "tls", false },
                             { "coldStartS", 3.0 },
                             { "coldPerS", 19.0 },
                             { "engine", engine } } }) },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 4194304 },
               { "headerTimeoutMs", 5000 },
               { "idleTimeoutMs", 10000 } } },
           { "tenants",
             Json::array({ { { "name", "tenant-a" },
                             { "apiKeys", Json::array({ "key-a" }) },
                             { "ratePerS", 100000 },
                             { "burst", 100000 },
                             { "unit", "tokens" },
                             { "plainTokens", 200 } } }) } };
}

/// Starts a worker; the arguments after its identifier are those of review-worker.
inline std::unique_ptr<Process> StartWorker(const std::string& aProgram,
                                            int aStorePort,
                                            const std::string& aId,
                                            const std::string& aFolder,
                                            std::vector<std::string> aMore)
{
  std::vector<std::string> arguments{
    aProgram, "--store", std::to_string(aStorePort), "--id", aId, "--runs", aFolder + "/runs.txt"
  };
  arguments.insert(arguments.end(), aMore.begin(), aMore.end());
  return std::make_unique<Process>(arguments,
                                   std::vector<std::string>{ "PATH=/usr/bin:/bin" },
                                   aFolder + "/" + aId + ".log");
}

inline std::vector<std::string> ReadLines(const std::string& aPath)
{
  std::vector<std::string> lines;
  std::ifstream file(aPath);
  for (std::string line; std::getline(file, line);) {
    lines.push_back(line);
  }
  return lines;
}

inline bool HasTrouble()
{
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}

#endif

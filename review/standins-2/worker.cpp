// Stand-in of a worker: registers itself in the store, runs requests and notes each run.
//
//   review-worker --store PORT --id ID --service NAME --runs FILE [--zone Z] [--model M]
//                 [--events N] [--gap-ms MS] [--interim STATUS] [--port P] [--born-offset-ms MS]
//
// Requests under /gen/ get a stream of N events, others a body of 800 bytes; with "--interim",
// an interim response with that status comes first. SIGUSR1 makes the worker leave: its record
// says "draining" from then on. "--born-offset-ms" is how far its machine's time of day is
// ahead as it starts.

#include <atomic>
#include <csignal>
#include <fstream>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

#include "net.hpp"

namespace review {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

std::atomic<bool> gNotice{ false };
constexpr milliseconds kBeat{ 1200 };

struct Options
{
  int mStore{ 0 };
  std::string mId;
  std::string mService;
  std::string mRuns;
  std::string mZone{ "zone-a" };
  std::string mModel;
  int mEvents{ 40 };
  int mGapMs{ 100 };
  int mInterim{ 0 };
  int mPort{ 0 };
  std::int64_t mBornOffsetMs{ 0 };
};

class Worker
{
public:
  explicit Worker(Options aOptions)
    : mOptions(std::move(aOptions))
    , mListener(Listen(mOptions.mPort))
    , mBorn(std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count() +
            mOptions.mBornOffsetMs)
    , mRuns(mOptions.mRuns, std::ios::app)
  {
  }

  void Run()
  {
    std::thread([this] { Beat(); }).detach();
    for (;;) {
      const int fd = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }
  }

private:
  Json Models() const
  {
    Json models = Json::array();
    if (!mOptions.mModel.empty()) {
      models.push_back(
        { { "name", mOptions.mModel }, { "version", 1 }, { "adapters", Json::array() } });
    }
    return models;
  }
  void WriteRecord(bool aDraining)
  {
    const Json record{ { "service", mOptions.mService },
                 { "address", "127.0.0.1:" + std::to_string(PortOf(mListener)) },
                 { "zone", mOptions.mZone },
                 { "version", "v1" },
                 { "slots", 64 },
                 { "state", aDraining ? "draining" : "ready" },
                 { "coldRemainingMs", 0 },
                 { "sequence", 0 },
                 { "stage", "colocated" },
                 { "models", Models() },
                 { "born", mBorn } };
    const std::string body = record.dump();
    Connection connection(Connect(mOptions.mStore));
    connection.Send("POST /worker/" + mOptions.mId + " HTTP/1.1\r\nHost: store\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
    ReadHead(connection, milliseconds(1000));
  }
  void Beat()
  {
    Clock::time_point next = Clock::now();
    bool noticed = false;
    for (;;) {
      const bool first = gNotice && !noticed;
      if (first || Clock::now() >= next) {
        noticed = gNotice;
        WriteRecord(noticed);
        next = Clock::now() + kBeat;
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
  }
  void Note(const std::string& aLine)
  {
    const std::lock_guard lock(mMutex);
    mRuns << aLine << std::endl;
  }

  void Serve(int aFd)
  {
    Connection connection(aFd);
    while (auto request = ReadHead(connection, std::chrono::minutes(1))) {
      if (!ReadBody(connection, *request, std::chrono::seconds(10)) ||
          !Answer(connection, *request)) {
        return;
      }
    }
  }
  bool Answer(Connection& aConnection, const Message& aRequest)
  {
    const std::string path = aRequest.Word(1);
    if (path == "/report") {
      const Json report{ { "stage", "colocated" }, { "models", Models() }, { "busy", false },
                         { "sequence", 0 },        { "queued", 0 },        { "inFlight", 0 },
                         { "kvUsed", 0 },          { "kvTotal", 100000 },  { "handles", 0 } };
      return aConnection.Send(
        Response(200, "Content-Type: application/json\r\n", report.dump()));
    }
    if (path == "/health") {
      return aConnection.Send(
        Response(gNotice ? 503 : 200, "Instance-Id: " + mOptions.mId + "\r\n", ""));
    }
    if (path == "/order") {
      return aConnection.Send(Response(200, "", ""));
    }
    const std::string expected = aRequest.Header("expect-instance");
    if (!expected.empty() && expected != mOptions.mId) {
      return aConnection.Send(Response(421, "Instance-Id: " + mOptions.mId + "\r\n", ""));
    }
    const std::string attempt = aRequest.Header("attempt-id");
    if (attempt.empty()) {
      return aConnection.Send(Response(400, "Not-Executed: 1\r\n", ""));
    }
    Note("run id=" + attempt + " worker=" + mOptions.mId + " method=" + aRequest.Word(0) +
         " path=" + path + " body=" + std::to_string(aRequest.mBody.size()) +
         " tenant=" + aRequest.Header("tenant") + (gNotice ? " while draining" : ""));
    const std::string headers = "Attempt-Id: " + attempt + "\r\nResponse-Seal: seal." + attempt +
                                "." + mOptions.mId + "\r\nServer-Load: 1,0,64\r\n";
    if (mOptions.mInterim != 0) {
      aConnection.Send("HTTP/1.1 " + std::to_string(mOptions.mInterim) +
                       " Interim\r\nAttempt-Id: " + attempt + "\r\n\r\n");
      std::this_thread::sleep_for(milliseconds(100));
    }
    if (path.rfind("/gen/", 0) != 0) {
      return aConnection.Send(Response(200, headers, std::string(800, 'x')));
    }
    return Stream(aConnection, headers, std::atoi(aRequest.Header("last-event-id").c_str()));
  }
  bool Stream(Connection& aConnection, const std::string& aHeaders, int aLast)
  {
    const bool sent =
      aConnection.Send("HTTP/1.1 200 OK\r\n" + aHeaders +
                       "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = aLast + 1; sent && i <= mOptions.mEvents; ++i) {
      std::this_thread::sleep_for(milliseconds(mOptions.mGapMs));
      const std::string event = "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) +
                                " of " + std::to_string(mOptions.mEvents) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      if (!aConnection.Send(size + event + "\r\n")) {
        return false;
      }
    }
    return sent && aConnection.Send("0\r\n\r\n");
  }

  Options mOptions;
  int mListener;
  std::int64_t mBorn;
  std::mutex mMutex;
  std::ofstream mRuns;
};

}
}

int main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGUSR1, [](int) { review::gNotice = true; });
  review::Options options;
  for (int i = 1; i + 1 < aCount; i += 2) {
    const std::string name = aArguments[i];
    const std::string value = aArguments[i + 1];
    if (name == "--store") {
      options.mStore = std::atoi(value.c_str());
    } else if (name == "--id") {
      options.mId = value;
    } else if (name == "--service") {
      options.mService = value;
    } else if (name == "--runs") {
      options.mRuns = value;
    } else if (name == "--zone") {
      options.mZone = value;
    } else if (name == "--model") {
      options.mModel = value;
    } else if (name == "--events") {
      options.mEvents = std::atoi(value.c_str());
    } else if (name == "--gap-ms") {
      options.mGapMs = std::atoi(value.c_str());
    } else if (name == "--interim") {
      options.mInterim = std::atoi(value.c_str());
    } else if (name == "--port") {
      options.mPort = std::atoi(value.c_str());
    } else if (name == "--born-offset-ms") {
      options.mBornOffsetMs = std::atoi(value.c_str());
    }
  }
  review::Worker(options).Run();
}

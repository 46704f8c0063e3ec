// A worker that starts again under its id after its machine's time of day was set back.
//
//   review-case10 WORKER-PROGRAM CASE-FOLDER TEMPORARY-FOLDER

#include "deployment.hpp"

using namespace review;

namespace {

/// One of them is 0.125, less than each share of the site.
constexpr int kWorkers = 8;
constexpr milliseconds kDrainTime{ 2000 };

int RunCase(const std::string& aWorkerProgram,
            const std::string& aFolder,
            const std::string& aTemporary)
{
  const bool trouble = HasTrouble();
  Record record(aFolder + "/record.txt");
  Store& store = *new Store; // its threads run until the process ends
  store.Put("op/config", Manifest(1).dump());
  std::vector<std::unique_ptr<Process>> workers(kWorkers);
  const std::string port = std::to_string(FreePort());
  const auto start = [&](int aNumber, const char* aAhead) {
    std::vector<std::string> options{ "--service", "desk", "--born-offset-ms", aAhead };
    if (aNumber == 1) {
      options.insert(options.end(), { "--port", port });
    }
    workers[static_cast<std::size_t>(aNumber - 1)] = StartWorker(
      aWorkerProgram, store.Port(), "w-" + std::to_string(aNumber), aTemporary, options);
  };
  for (int i = 2; i <= kWorkers; ++i) {
    start(i, "0");
  }
  Gateway gateway("front-zone-a-1", "zone-a", store.Port(), aTemporary);
  if (!gateway.WaitReady(milliseconds(20000))) {
    record.Add("the gateway is not ready");
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(milliseconds(4000));

  // The machine's time of day is 2.4 s ahead as the worker starts, and is then right again.
  start(1, trouble ? "2400" : "0");
  record.Add(std::string("w-1 starts") + (trouble ? ", its clock is 2.4 s ahead" : ""));
  std::this_thread::sleep_for(milliseconds(1200));
  workers[0]->Kill();
  record.Add("w-1 crashes");
  std::this_thread::sleep_for(milliseconds(700));
  start(1, "0");
  record.Add("w-1 starts again under its id");
  std::this_thread::sleep_for(milliseconds(5000));

  int number = 0;
  int served = 0;
  const auto send = [&](int aCount) {
    for (int i = 0; i < aCount; ++i) {
      const std::string id = "booking-" + std::to_string(++number);
      Connection connection(Connect(gateway.CallerPort()));
      connection.Send("POST /book/1/ HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id +
                      "\r\nApi-Key: key-a\r\nDeadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody");
      const Answer answer = ReadAnswer(connection, milliseconds(5000));
      record.Add(id + " answered " + std::to_string(answer.mStatus));
      served += answer.mStatus == 200 ? 1 : 0;
      std::this_thread::sleep_for(milliseconds(50));
    }
  };
  send(60);
  workers[0]->Signal(SIGUSR1);
  const auto noticed = Clock::now();
  while (store.WorkerRecord("w-1").find("\"draining\"") == std::string::npos) {
    if (SecondsSince(noticed) > 2.0) {
      record.Add("w-1 does not say that it leaves");
      return kCouldNotRun;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  record.Add("the store has accepted that w-1 is draining");
  std::this_thread::sleep_for(kDrainTime + milliseconds(200));
  record.Add("drainMs is over");
  const std::size_t before = ReadLines(aTemporary + "/runs.txt").size();
  send(60);
  const std::vector<std::string> runs = ReadLines(aTemporary + "/runs.txt");
  int broken = 0;
  int earlier = 0;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const bool leaving = runs[i].find("worker=w-1 ") != std::string::npos;
    broken += i >= before && leaving ? 1 : 0;
    earlier += i < before && leaving ? 1 : 0;
    record.Add(runs[i] + (i >= before && leaving ? "  BROKEN: w-1 has said that it leaves" : ""));
  }
  record.Add("runs at w-1 before it drained=" + std::to_string(earlier) +
             " later than drainMs=" + std::to_string(broken));
  if (served < number || earlier == 0) {
    return kCouldNotRun;
  }
  return broken > 0 ? kBroken : kHeld;
}

}

int main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  if (aCount != 4) {
    return kCouldNotRun;
  }
  try {
    return RunCase(aArguments[1], aArguments[2], aArguments[3]);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kCouldNotRun;
  }
}

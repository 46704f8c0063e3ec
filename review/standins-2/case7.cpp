// Workers that send an interim response before the final one.
//
//   review-case7 WORKER-PROGRAM CASE-FOLDER TEMPORARY-FOLDER

#include "deployment.hpp"

using namespace review;

namespace {

constexpr int kRequests = 12;
/// The routes' timeoutMs, and half a second.
constexpr milliseconds kBound{ 4500 };

struct Outcome
{
  std::vector<int> mInterim;
  int mFinal{ 0 };
};

int RunCase(const std::string& aWorkerProgram,
            const std::string& aFolder,
            const std::string& aTemporary)
{
  const bool trouble = HasTrouble();
  Record record(aFolder + "/record.txt");
  Store& store = *new Store; // its threads run until the process ends
  store.Put("op/config", Manifest(1).dump());
  std::vector<std::unique_ptr<Process>> workers;
  for (int i = 1; i <= 3; ++i) {
    std::vector<std::string> options{ "--service", "desk" };
    if (trouble) {
      options.insert(options.end(), { "--interim", i == 1 ? "102" : "103" });
    }
    workers.push_back(StartWorker(
      aWorkerProgram, store.Port(), "w-" + std::to_string(i), aTemporary, options));
  }
  Gateway gateway("front-zone-a-1", "zone-a", store.Port(), aTemporary);
  if (!gateway.WaitReady(milliseconds(20000))) {
    record.Add("the gateway is not ready");
    return kCouldNotRun;
  }
  // Until the gateway is in touch.
  std::this_thread::sleep_for(milliseconds(4000));

  std::vector<Outcome> outcomes(kRequests);
  std::vector<std::thread> clients;
  for (int i = 0; i < kRequests; ++i) {
    clients.emplace_back([&, i] {
      std::this_thread::sleep_for(milliseconds(100 * i));
      const std::string id = "request-" + std::to_string(i);
      const bool book = i % 2 == 0;
      Outcome& outcome = outcomes[static_cast<std::size_t>(i)];
      Connection connection(Connect(gateway.CallerPort()));
      record.Add("sent " + id + (book ? " (booking)" : " (lookup)"));
      connection.Send((book ? "POST /book/1/" : "GET /look/1/") +
                      std::string(" HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: ") + id +
                      "\r\nApi-Key: key-a\r\nDeadline-Ms: 8000\r\n" +
                      (book ? "Content-Length: 4\r\n\r\nbody" : "\r\n"));
      const auto end = Clock::now() + kBound;
      while (outcome.mFinal == 0 && Clock::now() < end) {
        const auto head = ReadHead(
          connection, std::chrono::duration_cast<milliseconds>(end - Clock::now()));
        if (!head) {
          break;
        }
        (head->Status() < 200 ? outcome.mInterim.emplace_back() : outcome.mFinal) =
          head->Status();
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  int ran = 0;
  for (const std::string& line : ReadLines(aTemporary + "/runs.txt")) {
    ++ran;
    record.Add(line);
  }
  int unanswered = 0;
  for (int i = 0; i < kRequests; ++i) {
    const Outcome& outcome = outcomes[static_cast<std::size_t>(i)];
    std::string interim;
    for (const int status : outcome.mInterim) {
      interim += " interim=" + std::to_string(status);
    }
    unanswered += outcome.mFinal == 0 ? 1 : 0;
    record.Add("request-" + std::to_string(i) + interim +
               (outcome.mFinal == 0 ? "  BROKEN: no answer half a second after timeoutMs"
                                    : " answered " + std::to_string(outcome.mFinal)));
  }
  record.Add("ran=" + std::to_string(ran) + " unanswered=" + std::to_string(unanswered) + " of " +
             std::to_string(kRequests));
  if (2 * unanswered > kRequests) {
    return kBroken;
  }
  return !trouble && unanswered > 0 ? kCouldNotRun : kHeld;
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

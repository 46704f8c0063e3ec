// A worker that sends an interim response before the final one.
//
//   review-case7 WORKER-PROGRAM CASE-FOLDER TEMPORARY-FOLDER

#include "deployment.hpp"

using namespace review;

namespace {

constexpr int kRequests = 36;
/// The routes' timeoutMs, and half a second later.
constexpr double kTimeout = 4.0;
constexpr double kBound = 4.5;
/// Fewer unanswered requests than this don't break the rule here.
constexpr int kMinUnanswered = 4;

struct Outcome
{
  std::vector<int> mInterim;
  /// 0 if there is no answer.
  int mFinal{ 0 };
  /// When the answer or the end of the connection came, in seconds since the request.
  double mEndedAfter{ 1000.0 };
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
    if (trouble && i == 1) {
      options.insert(options.end(), { "--interim", "103" });
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
      const auto sent = Clock::now();
      while (outcome.mFinal == 0 && SecondsSince(sent) < kBound) {
        const auto left = milliseconds(static_cast<int>(1000 * (kBound - SecondsSince(sent))) + 2);
        const auto head = ReadHead(connection, left);
        if (!head) {
          if (SecondsSince(sent) < kBound) {
            outcome.mEndedAfter = SecondsSince(sent);
          }
          break;
        }
        if (head->Status() < 200) {
          outcome.mInterim.push_back(head->Status());
        } else {
          outcome.mFinal = head->Status();
          outcome.mEndedAfter = SecondsSince(sent);
        }
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const std::vector<std::string> runs = ReadLines(aTemporary + "/runs.txt");
  for (const std::string& line : runs) {
    record.Add(line);
  }
  int served = 0;
  int atTimeout = 0;
  int later = 0;
  for (int i = 0; i < kRequests; ++i) {
    const Outcome& outcome = outcomes[static_cast<std::size_t>(i)];
    std::string interim;
    for (const int status : outcome.mInterim) {
      interim += " interim=" + std::to_string(status);
    }
    served += outcome.mFinal == 200 ? 1 : 0;
    atTimeout += outcome.mEndedAfter > kTimeout ? 1 : 0;
    later += outcome.mEndedAfter > kBound ? 1 : 0;
    record.Add("request-" + std::to_string(i) + interim +
               (outcome.mFinal != 0            ? " answered " + std::to_string(outcome.mFinal)
                : outcome.mEndedAfter > kBound ? " has no answer half a second after timeoutMs"
                                               : " its connection ended"));
  }
  const bool broken = 2 * later > atTimeout && later >= kMinUnanswered;
  record.Add("ran=" + std::to_string(runs.size()) + " answered 200=" + std::to_string(served) +
             " unanswered at timeoutMs=" + std::to_string(atTimeout) +
             " half a second later=" + std::to_string(later) + (broken ? "  BROKEN" : ""));
  // The other workers' requests show that the gateway serves.
  if (3 * served < kRequests || !gateway.IsReady()) {
    return kCouldNotRun;
  }
  if (broken) {
    return kBroken;
  }
  return !trouble && served < kRequests ? kCouldNotRun : kHeld;
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

// Streams without a length, from a worker that is removed at short notice.
//
//   review-case6 WORKER-PROGRAM CASE-FOLDER TEMPORARY-FOLDER

#include "deployment.hpp"

using namespace review;

namespace {

constexpr int kEvents = 60;
constexpr int kGapMs = 100;
constexpr int kStreams = 32;
/// One of these is removed, which is less than the share of 0.14 of the site.
constexpr int kWorkers = 8;

/// Returns the numbers of the events that a client received, in their order.
std::vector<int> EventsOf(const std::string& aBody)
{
  std::vector<int> events;
  for (std::size_t at = aBody.find("id: "); at != std::string::npos;
       at = aBody.find("id: ", at + 1)) {
    events.push_back(std::atoi(aBody.c_str() + at + 4));
  }
  return events;
}

int RunCase(const std::string& aWorkerProgram,
            const std::string& aFolder,
            const std::string& aTemporary)
{
  const bool trouble = HasTrouble();
  Record record(aFolder + "/record.txt");
  Store& store = *new Store; // its threads run until the process ends
  store.Put("op/config", Manifest(1).dump());
  const std::vector<std::string> options{ "--service", "models", "--model", "m0",
                                          "--events",  std::to_string(kEvents),
                                          "--gap-ms",  std::to_string(kGapMs),
                                          "--length",  "none" };
  std::vector<std::unique_ptr<Process>> workers;
  for (int i = 1; i <= kWorkers; ++i) {
    workers.push_back(StartWorker(
      aWorkerProgram, store.Port(), "w-" + std::to_string(i), aTemporary, options));
  }
  Gateway gateway("front-zone-a-1", "zone-a", store.Port(), aTemporary);
  if (!gateway.WaitReady(milliseconds(20000))) {
    record.Add("the gateway is not ready");
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(milliseconds(1500));

  std::vector<Answer> answers(kStreams);
  std::vector<std::thread> clients;
  for (int i = 0; i < kStreams; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "stream-" + std::to_string(i);
      Connection connection(Connect(gateway.CallerPort()));
      record.Add("sent " + id);
      connection.Send("POST /gen/advice/1/ HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id +
                      "\r\nModel: m0\r\nToken-Count: 800,420\r\nPrompt-Prefix: a" +
                      std::to_string(i) + ":800\r\nDeadline-Ms: 12000\r\nApi-Key: key-a\r\n" +
                      "Content-Length: 4\r\n\r\nbody");
      answers[static_cast<std::size_t>(i)] = ReadAnswer(connection, milliseconds(13000));
    });
  }
  std::this_thread::sleep_for(milliseconds(1500));
  if (trouble) {
    record.Add("w-1 is told that it will be removed in 2 s");
    workers[0]->Signal(SIGUSR1);
    std::this_thread::sleep_for(milliseconds(2000));
    workers[0]->Kill();
    store.Remove("servers/w-1");
    record.Add("w-1 is gone");
  }
  for (std::thread& client : clients) {
    client.join();
  }
  for (const std::string& line : ReadLines(aTemporary + "/runs.txt")) {
    record.Add(line);
  }
  int broken = 0;
  int whole = 0;
  for (int i = 0; i < kStreams; ++i) {
    const Answer& answer = answers[static_cast<std::size_t>(i)];
    const std::vector<int> events = EventsOf(answer.mBody);
    bool ordered = true;
    for (std::size_t at = 0; at < events.size(); ++at) {
      ordered = ordered && events[at] == static_cast<int>(at) + 1;
    }
    const bool complete = static_cast<int>(events.size()) == kEvents;
    const bool shortButWhole = answer.mStatus == 200 && answer.mWhole && !complete;
    broken += shortButWhole || !ordered ? 1 : 0;
    whole += answer.mWhole && complete && ordered ? 1 : 0;
    record.Add("answered stream-" + std::to_string(i) + " status=" +
               std::to_string(answer.mStatus) + " events=" + std::to_string(events.size()) +
               " of " + std::to_string(kEvents) + " framing=" +
               (answer.mWhole ? "complete" : "incomplete") + " end=" + answer.mEnd +
               (shortButWhole ? "  BROKEN: ends as complete before its last piece" : "") +
               (ordered ? "" : "  BROKEN: a piece is missing or comes twice"));
  }
  record.Add("broken=" + std::to_string(broken) + " whole=" + std::to_string(whole) + " of " +
             std::to_string(kStreams));
  if (broken > 0) {
    return kBroken;
  }
  return !trouble && whole < kStreams ? kCouldNotRun : kHeld;
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

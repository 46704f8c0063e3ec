// A manifest that takes the last tenant away.
//
//   review-case8 WORKER-PROGRAM CASE-FOLDER TEMPORARY-FOLDER

#include "deployment.hpp"

using namespace review;

namespace {

constexpr milliseconds kRevokeTime{ 5000 };

int RunCase(const std::string& aWorkerProgram,
            const std::string& aFolder,
            const std::string& aTemporary)
{
  const bool trouble = HasTrouble();
  Record record(aFolder + "/record.txt");
  Store& store = *new Store; // its threads run until the process ends
  store.Put("op/config", Manifest(1).dump());
  const auto worker = StartWorker(
    aWorkerProgram, store.Port(), "w-1", aTemporary, { "--service", "desk" });
  Gateway gateway("front-zone-a-1", "zone-a", store.Port(), aTemporary);
  if (!gateway.WaitReady(milliseconds(20000))) {
    record.Add("the gateway is not ready");
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(milliseconds(1500));
  const auto book = [&](const std::string& aId, const std::string& aKey) {
    Connection connection(Connect(gateway.CallerPort()));
    record.Add("sent " + aId + " with " + aKey);
    connection.Send("POST /book/1/ HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + aId +
                    "\r\nApi-Key: " + aKey +
                    "\r\nDeadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody");
    const Answer answer = ReadAnswer(connection, milliseconds(5000));
    record.Add("answered " + aId + " status=" + std::to_string(answer.mStatus));
    return answer.mStatus;
  };
  const bool before =
    book("before-key-a", "key-a") == 200 && book("before-key-x", "key-x") == 401;
  if (trouble) {
    Json manifest = Manifest(2);
    manifest["tenants"] = Json::array();
    store.Put("op/config", manifest.dump());
    record.Add("version 2 is acknowledged: no tenant and no key any more");
  }
  std::this_thread::sleep_for(kRevokeTime + milliseconds(1000));
  // No manifest ever held key-x.
  const bool after = book("after-key-a", "key-a") != 0 && book("after-key-x", "key-x") != 0;
  int broken = 0;
  for (const std::string& line : ReadLines(aTemporary + "/runs.txt")) {
    const bool revoked = line.find("id=after-key-a") != std::string::npos && trouble;
    const bool foreign = line.find("id=after-key-x") != std::string::npos;
    broken += revoked || foreign ? 1 : 0;
    record.Add(line + (revoked   ? "  BROKEN: its key was taken away"
                       : foreign ? "  BROKEN (ROUTE): no manifest ever held its key"
                                 : ""));
  }
  record.Add("broken=" + std::to_string(broken));
  if (!before || !after) {
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

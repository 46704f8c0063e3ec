// Requests whose Transfer-Encoding does not end with "chunked".
//
//   review-case6 WORKER-PROGRAM CASE-FOLDER TEMPORARY-FOLDER

#include "deployment.hpp"

using namespace review;

namespace {

/// A booking whose text looks like a request; it is data of the caller's and no request.
std::string BookingText(const std::string& aId)
{
  return "POST /book/inner/ HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: inner-" + aId +
         "\r\nApi-Key: key-a\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n";
}

std::string Chunked(const std::string& aBody)
{
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", aBody.size());
  return size + aBody + "\r\n0\r\n\r\n";
}

struct Attempt
{
  std::string mId;
  std::string mCoding;
  bool mChunks{ false };
};

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

  // The first and the last one show that requests in chunks are served.
  std::vector<Attempt> attempts{ { "first", "chunked", true } };
  if (trouble) {
    attempts.push_back({ "a", "chunked, identity", true });
    attempts.push_back({ "b", "chunked, identity", false });
  }
  attempts.push_back({ "last", "chunked", true });
  int served = 0;
  for (const Attempt& attempt : attempts) {
    const std::string text = BookingText(attempt.mId);
    Connection connection(Connect(gateway.CallerPort()));
    record.Add("sent outer-" + attempt.mId + " Transfer-Encoding: " + attempt.mCoding +
               " text=" + std::to_string(text.size()) + " bytes" +
               (attempt.mChunks ? " in chunks" : ""));
    connection.Send("POST /book/outer/ HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: outer-" +
                    attempt.mId + "\r\nApi-Key: key-a\r\nDeadline-Ms: 4000\r\n" +
                    "Transfer-Encoding: " + attempt.mCoding + "\r\n\r\n" +
                    (attempt.mChunks ? Chunked(text) : text));
    for (int i = 0; i < 3; ++i) {
      const Answer answer = ReadAnswer(connection, milliseconds(1500));
      if (answer.mStatus == 0) {
        break;
      }
      record.Add("answered status=" + std::to_string(answer.mStatus) +
                 " id=" + answer.mHead.Header("attempt-id"));
      served += answer.mStatus == 200 && attempt.mCoding == "chunked" ? 1 : 0;
    }
  }
  int broken = 0;
  for (const std::string& line : ReadLines(aTemporary + "/runs.txt")) {
    const bool inner = line.find("id=inner-") != std::string::npos;
    // The length of a body that is neither in chunks nor has a length is not known.
    const bool changed =
      std::any_of(attempts.begin(), attempts.end(), [&](const Attempt& aAttempt) {
        const std::string size = std::to_string(BookingText(aAttempt.mId).size());
        return aAttempt.mChunks &&
               line.find("id=outer-" + aAttempt.mId + " ") != std::string::npos &&
               line.find(" body=" + size + " ") == std::string::npos;
      });
    broken += inner || changed ? 1 : 0;
    record.Add(line + (inner     ? "  BROKEN: was smuggled inside another request"
                       : changed ? "  BROKEN: its body was changed"
                                 : ""));
  }
  record.Add("broken=" + std::to_string(broken));
  if (served < 2) {
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

#ifndef SAMPHIRESAIL_APPS_TESTS_PROCESSES_CHILDPROCESS_HPP
#define SAMPHIRESAIL_APPS_TESTS_PROCESSES_CHILDPROCESS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace samphiresail::tests {

/// Result of a program that ran to its end.
struct ProgramResult
{
  int mStatus{ 0 };
  std::string mOutput;
};

/// Program that runs beside the test; killed by the destructor, and by the system if the
/// test ends without it. Its standard error goes to a file.
class ChildProcess
{
public:
  ChildProcess(std::vector<std::string> aCommand, const std::string& aErrorFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Waits for one line on standard output. Throws std::runtime_error after the limit.
  std::string ReadLine(std::chrono::milliseconds aLimit);
  /// Reads standard output to its end.
  std::string ReadAll();

  void Signal(int aSignal) const;
  /// Stops the program and waits until none of its threads runs any more.
  void Pause() const;
  bool IsRunning();
  /// Waits for the end and returns the exit status, or the negated signal number; nothing
  /// if the program still runs after the limit.
  std::optional<int> Wait(std::chrono::milliseconds aLimit);
  void Kill();
  pid_t Id() const { return mId; }

private:
  void Reap(int aOptions);

  pid_t mId{ -1 };
  int mOutput{ -1 };
  std::string mBuffer;
  std::optional<int> mStatus;
};

/// Runs a program to its end and returns what it printed.
ProgramResult RunProgram(std::vector<std::string> aCommand,
                         const std::string& aErrorFile);

}

#endif

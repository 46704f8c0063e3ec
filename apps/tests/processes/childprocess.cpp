#include "apps/tests/processes/childprocess.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <system_error>
#include <thread>

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace samphiresail::tests {

namespace {

constexpr std::chrono::milliseconds kWaitStep{ 5 };
constexpr int kExecFailed = 127;
constexpr mode_t kLogMode = 0644;

/// Runs in the new process; only calls that are safe between fork and exec.
[[noreturn]] void Exec(char* const* aArguments, int aOutput, int aError, pid_t aParent)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != aParent) {
    _exit(kExecFailed);
  }
  dup2(aOutput, STDOUT_FILENO);
  dup2(aError, STDERR_FILENO);
  execv(aArguments[0], aArguments);
  _exit(kExecFailed);
}

}

ChildProcess::ChildProcess(std::vector<std::string> aCommand,
                           const std::string& aErrorFile)
{
  std::vector<char*> arguments;
  std::ranges::transform(aCommand, std::back_inserter(arguments), [](std::string& aText) {
    return aText.data();
  });
  arguments.push_back(nullptr);
  std::array<int, 2> pipe{};
  if (pipe2(pipe.data(), O_CLOEXEC) != 0) {
    throw std::system_error(errno, std::generic_category(), "pipe");
  }
  const int log =
    open(aErrorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  const pid_t parent = getpid();
  mId = fork();
  if (mId == 0) {
    Exec(arguments.data(), pipe[1], log, parent);
  }
  close(pipe[1]);
  close(log);
  mOutput = pipe[0];
  if (mId < 0) {
    throw std::system_error(errno, std::generic_category(), "fork");
  }
}

ChildProcess::~ChildProcess()
{
  Kill();
  close(mOutput);
}

std::string ChildProcess::ReadLine(std::chrono::milliseconds aLimit)
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (mBuffer.find('\n') == std::string::npos) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      end - std::chrono::steady_clock::now());
    pollfd ready{ .fd = mOutput, .events = POLLIN, .revents = 0 };
    std::array<char, 4096> buf{};
    if (left.count() <= 0 || poll(&ready, 1, static_cast<int>(left.count())) <= 0) {
      throw std::runtime_error("no line from the program in time");
    }
    const auto n = read(mOutput, buf.data(), buf.size());
    if (n <= 0) {
      throw std::runtime_error("the program ended before its first line");
    }
    mBuffer.append(buf.data(), static_cast<std::size_t>(n));
  }
  const auto at = mBuffer.find('\n');
  auto line = mBuffer.substr(0, at);
  mBuffer.erase(0, at + 1);
  return line;
}

std::string ChildProcess::ReadAll()
{
  std::array<char, 4096> buf{};
  for (;;) {
    const auto n = read(mOutput, buf.data(), buf.size());
    if (n <= 0) {
      return std::move(mBuffer);
    }
    mBuffer.append(buf.data(), static_cast<std::size_t>(n));
  }
}

void ChildProcess::Signal(int aSignal) const
{
  if (!mStatus) {
    kill(mId, aSignal);
  }
}

void ChildProcess::Pause() const
{
  Signal(SIGSTOP);
  siginfo_t info{};
  while (!mStatus && waitid(P_PID, static_cast<id_t>(mId), &info, WSTOPPED) != 0 &&
         errno == EINTR) {
  }
}

void ChildProcess::Reap(int aOptions)
{
  int status = 0;
  if (mStatus || waitpid(mId, &status, aOptions) != mId) {
    return;
  }
  mStatus = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool ChildProcess::IsRunning()
{
  Reap(WNOHANG);
  return !mStatus;
}

std::optional<int> ChildProcess::Wait(std::chrono::milliseconds aLimit)
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (IsRunning() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kWaitStep);
  }
  return mStatus;
}

void ChildProcess::Kill()
{
  Signal(SIGKILL);
  Reap(0);
}

ProgramResult RunProgram(std::vector<std::string> aCommand, const std::string& aErrorFile)
{
  ChildProcess program(std::move(aCommand), aErrorFile);
  ProgramResult result;
  result.mOutput = program.ReadAll();
  constexpr std::chrono::seconds kLimit{ 30 };
  result.mStatus = program.Wait(kLimit).value_or(-SIGALRM);
  return result;
}

}

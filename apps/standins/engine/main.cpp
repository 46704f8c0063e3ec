#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "apps/standins/common/httpprogram.hpp"
#include "apps/standins/engine/api.hpp"
#include "apps/standins/engine/engine.hpp"

namespace {

using samphiresail::standins::EngineOptions;

struct CommandLine
{
  std::uint16_t mPort{ 0 };
  std::size_t mThreads{ 128 };
  std::int64_t mFirstTokenUs{ 0 };
  std::int64_t mTokenUs{ 0 };
  std::int64_t mLoadMs{ 0 };
  std::int64_t mColdMs{ 0 };
  std::vector<std::string> mResident;
  std::vector<std::string> mMemoryOf;
  EngineOptions mOptions;
};

void AddOptions(CLI::App& aApp, CommandLine& aLine)
{
  aApp.add_option("--port", aLine.mPort, "Port on the loopback address; 0 for any");
  aApp.add_option("--threads", aLine.mThreads, "Connections served at once");
  aApp.add_option("--first-token-us", aLine.mFirstTokenUs, "Time before the first token");
  aApp.add_option("--token-us", aLine.mTokenUs, "Time of each token");
  aApp.add_option("--knee", aLine.mOptions.mKnee, "In flight before tokens slow down");
  aApp.add_option(
    "--adapter-knee", aLine.mOptions.mAdapterKnee, "The same for one adapter");
  aApp.add_option("--answer-tokens", aLine.mOptions.mAnswerTokens, "Natural length");
  aApp.add_option("--memory", aLine.mOptions.mMemory, "Bytes; 0 for no limit");
  aApp.add_option("--model-memory", aLine.mOptions.mModelMemory, "Bytes of a model");
  aApp.add_option("--memory-of", aLine.mMemoryOf, "NAME=BYTES of one model");
  aApp.add_option("--resident", aLine.mResident, "Models resident at the start")
    ->delimiter(',');
  aApp.add_option("--load-ms", aLine.mLoadMs, "Time of a load");
  aApp.add_option("--cold-ms", aLine.mColdMs, "Length of a cold start");
  aApp.add_option("--cold-limit", aLine.mOptions.mColdLimit, "In flight borne when cold");
  aApp.add_flag("--check-fencing", aLine.mOptions.mChecksFencing, "Refuse old numbers");
  aApp.add_option("--journal-limit", aLine.mOptions.mJournalLimit, "Entries kept");
}

EngineOptions ReadOptions(const CommandLine& aLine)
{
  auto options = aLine.mOptions;
  options.mFirstToken = std::chrono::microseconds(aLine.mFirstTokenUs);
  options.mToken = std::chrono::microseconds(aLine.mTokenUs);
  options.mCold = std::chrono::milliseconds(aLine.mColdMs);
  for (const auto& pair : aLine.mMemoryOf) {
    const auto at = pair.find('=');
    options.mMemoryOf[pair.substr(0, at)] = std::stoll(pair.substr(at + 1));
  }
  return options;
}

}

int main(int argc, char** argv)
{
  using namespace samphiresail;
  CLI::App app("Stand-in for a model engine with an OpenAI-style interface");
  CommandLine line;
  AddOptions(app, line);
  CLI11_PARSE(app, argc, argv);
  try {
    standins::HttpProgram program(line.mPort, line.mThreads);
    const timing::SystemClock clock;
    standins::Engine engine(ReadOptions(line), clock);
    for (const auto& model : line.mResident) {
      engine.Execute({ .mAction = standins::OrderAction::Load, .mModel = model });
    }
    engine.SetLoadTime(std::chrono::milliseconds(line.mLoadMs));
    standins::RegisterApi(program.Server(), engine);
    program.Bind();
    program.Run();
  } catch (const std::exception& ec) {
    std::cerr << "samphiresail-standin-engine: " << ec.what() << '\n';
    return EXIT_FAILURE;
  }
}

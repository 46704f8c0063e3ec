#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace {

using std::chrono::steady_clock;

struct Options
{
  int mDirectPort{ 0 };
  std::vector<int> mEntryPorts;
  std::string mKey;
  std::string mModel{ "depot-assistant" };
  std::size_t mCallers{ 64 };
  std::size_t mRequests{ 200 };
  std::size_t mTokens{ 8 };
  /// Pause of each caller between two requests.
  std::size_t mPauseMs{ 0 };
};

struct Samples
{
  std::vector<double> mMilliseconds;
  std::size_t mFailed{ 0 };
  /// Body of the last failure, or the error of the connection.
  std::string mFailure;
};

std::string Body(const Options& aOptions, bool aStream)
{
  nlohmann::json body{
    { "model", aOptions.mModel },
    { "max_tokens", aOptions.mTokens },
    { "messages", { { { "role", "user" }, { "content", "latency of the path" } } } }
  };
  if (aStream) {
    body["stream"] = true;
  }
  return body.dump();
}

httplib::Client MakeClient(int aPort, const std::string& aKey)
{
  httplib::Client client("127.0.0.1", aPort);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  client.set_read_timeout(std::chrono::seconds(30));
  if (!aKey.empty()) {
    client.set_default_headers({ { "Authorization", "Bearer " + aKey } });
  }
  return client;
}

/// Runs all callers at once and returns the latency of each answered request.
Samples Measure(const Options& aOptions,
                const std::vector<int>& aPorts,
                const std::string& aKey)
{
  Samples samples;
  std::mutex mutex;
  std::vector<std::jthread> threads;
  const auto body = Body(aOptions, false);
  for (std::size_t it = 0; it < aOptions.mCallers; ++it) {
    threads.emplace_back([&, port = aPorts[it % aPorts.size()]] {
      auto client = MakeClient(port, aKey);
      for (std::size_t n = 0; n < aOptions.mRequests; ++n) {
        const auto begin = steady_clock::now();
        const auto result = client.Post("/v1/chat/completions", body, "application/json");
        const std::chrono::duration<double, std::milli> time =
          steady_clock::now() - begin;
        {
          const std::lock_guard lock(mutex);
          if (result && result->status == 200) {
            samples.mMilliseconds.push_back(time.count());
          } else {
            ++samples.mFailed;
            samples.mFailure = result ? result->body : httplib::to_string(result.error());
          }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(aOptions.mPauseMs));
      }
    });
  }
  threads.clear();
  std::ranges::sort(samples.mMilliseconds);
  return samples;
}

double Percentile(const Samples& aSamples, double aShare)
{
  if (aSamples.mMilliseconds.empty()) {
    return 0.0;
  }
  const auto last = static_cast<double>(aSamples.mMilliseconds.size() - 1);
  return aSamples.mMilliseconds[static_cast<std::size_t>(last * aShare)];
}

void Print(const char* aName, const Samples& aSamples)
{
  std::printf("%-8s %8zu answered %6zu failed  p50 %8.3f ms  p99 %8.3f ms\n",
              aName,
              aSamples.mMilliseconds.size(),
              aSamples.mFailed,
              Percentile(aSamples, 0.5),
              Percentile(aSamples, 0.99));
}

/// Streams with all callers and returns events per second.
double MeasureStream(const Options& aOptions,
                     const std::vector<int>& aPorts,
                     const std::string& aKey)
{
  std::atomic<std::size_t> tokens{ 0 };
  const auto body = Body(aOptions, true);
  const auto begin = steady_clock::now();
  std::vector<std::jthread> threads;
  for (std::size_t it = 0; it < aOptions.mCallers; ++it) {
    threads.emplace_back([&, port = aPorts[it % aPorts.size()]] {
      auto client = MakeClient(port, aKey);
      const auto result = client.Post("/v1/chat/completions", body, "application/json");
      if (result && result->body.ends_with("data: [DONE]\n\n")) {
        tokens += aOptions.mTokens;
      }
    });
  }
  threads.clear();
  const std::chrono::duration<double> time = steady_clock::now() - begin;
  return static_cast<double>(tokens) / time.count();
}

}

int main(int argc, char** argv)
{
  CLI::App app("Latency of entry and agent beside direct calls to the same engine");
  Options options;
  bool stream = false;
  app.add_option("--direct", options.mDirectPort, "Port of the engine")->required();
  app.add_option("--entry", options.mEntryPorts, "Ports of entries")->required();
  app.add_option("--key", options.mKey, "Key of a client account")->required();
  app.add_option("--callers", options.mCallers, "Callers at once");
  app.add_option("--requests", options.mRequests, "Requests of each caller");
  app.add_option("--tokens", options.mTokens, "Tokens of each answer");
  app.add_option("--pause-ms", options.mPauseMs, "Pause of a caller after an answer");
  app.add_flag("--stream", stream, "Measure streamed tokens per second instead");
  CLI11_PARSE(app, argc, argv);
  if (stream) {
    std::printf("streamed %.0f tokens/s\n",
                MeasureStream(options, options.mEntryPorts, options.mKey));
    return EXIT_SUCCESS;
  }
  const auto direct = Measure(options, { options.mDirectPort }, "");
  const auto path = Measure(options, options.mEntryPorts, options.mKey);
  Print("direct", direct);
  Print("path", path);
  if (!path.mFailure.empty()) {
    std::printf("last failure: %s\n", path.mFailure.c_str());
  }
  std::printf("added    p50 %.3f ms  p99 %.3f ms\n",
              Percentile(path, 0.5) - Percentile(direct, 0.5),
              Percentile(path, 0.99) - Percentile(direct, 0.99));
  return direct.mFailed + path.mFailed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

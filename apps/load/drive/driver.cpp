#include "apps/load/drive/driver.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <random>
#include <thread>

#include <httplib.h>

namespace samphiresail::load {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kTimeout{ 60 };
constexpr std::size_t kErrorBytes = 200;
constexpr int kTooManyRequests = 429;
constexpr int kFirstError = 400;

double Milliseconds(Clock::duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

std::size_t CountEvents(const std::string& aText)
{
  std::size_t count = 0;
  constexpr std::string_view kMark = "data: ";
  for (auto at = aText.find(kMark); at != std::string::npos;
       at = aText.find(kMark, at + kMark.size())) {
    ++count;
  }
  return count;
}

/// Returns true once the answer has a first token; the first event of a stream has only
/// the role.
bool HasContent(const PlannedRequest& aPlanned, const std::string& aAnswer)
{
  if (!aPlanned.mStream) {
    return !aAnswer.empty();
  }
  const auto role = aAnswer.find("data: ");
  return role != std::string::npos &&
         aAnswer.find("data: ", role + 1) != std::string::npos;
}

/// Sends requests over connections that it keeps.
class Caller
{
public:
  explicit Caller(const DriverOptions& aOptions)
    : mOptions(aOptions)
    , mClients(aOptions.mTargets.size())
  {
  }

  Measured Call(const PlannedRequest& aPlanned,
                std::size_t aTarget,
                Clock::time_point aAt)
  {
    httplib::Client& client = ClientOf(aTarget);
    httplib::Request request;
    request.method = aPlanned.mMethod;
    request.path = aPlanned.mPath;
    request.body = aPlanned.mBody;
    request.set_header("Authorization", "Bearer " + mOptions.mKeys.at(aPlanned.mAccount));
    if (!aPlanned.mBody.empty()) {
      request.set_header("Content-Type", "application/json");
    }
    if (!aPlanned.mIdempotencyKey.empty()) {
      request.set_header("Idempotency-Key", aPlanned.mIdempotencyKey);
    }
    std::string answer;
    Clock::time_point first{};
    request.content_receiver = [&](const char* aData,
                                   std::size_t aLength,
                                   std::uint64_t /*aOffset*/,
                                   std::uint64_t /*aTotal*/) {
      const bool before = HasContent(aPlanned, answer);
      answer.append(aData, aLength);
      if (!before && HasContent(aPlanned, answer)) {
        first = Clock::now();
      }
      return true;
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    const bool sent = client.send(request, response, error);
    const auto end = Clock::now();
    Measured measured;
    measured.mStatus = sent ? response.status : 0;
    measured.mTotalMs = Milliseconds(end - aAt);
    measured.mFirstMs = Milliseconds((HasContent(aPlanned, answer) ? first : end) - aAt);
    Judge(aPlanned, answer, sent, measured);
    return measured;
  }

private:
  httplib::Client& ClientOf(std::size_t aTarget)
  {
    auto& client = mClients.at(aTarget);
    if (!client) {
      const Target& target = mOptions.mTargets.at(aTarget);
      client = std::make_unique<httplib::Client>(target.mHost, target.mPort);
      client->set_keep_alive(false);
      client->set_read_timeout(kTimeout);
      client->set_tcp_nodelay(true);
    }
    return *client;
  }

  static void Judge(const PlannedRequest& aPlanned,
                    const std::string& aAnswer,
                    bool aSent,
                    Measured& aMeasured)
  {
    const bool whole = !aPlanned.mStream || aAnswer.find("[DONE]") != std::string::npos;
    if (aSent && aMeasured.mStatus > 0 && aMeasured.mStatus < kFirstError && whole) {
      aMeasured.mOutcome = Outcome::Answered;
      aMeasured.mTokens = aPlanned.mStream ? CountEvents(aAnswer) : 0;
      return;
    }
    aMeasured.mError = aAnswer.substr(0, kErrorBytes);
    if (aMeasured.mStatus == kTooManyRequests) {
      aMeasured.mOutcome = Outcome::RateRefused;
    } else if (aAnswer.find("not_run") != std::string::npos ||
               aAnswer.find("not run") != std::string::npos) {
      aMeasured.mOutcome = Outcome::NotRun;
    }
  }

  const DriverOptions& mOptions;
  std::vector<std::unique_ptr<httplib::Client>> mClients;
};

std::vector<std::size_t> DrawTargets(std::size_t aCount, const DriverOptions& aOptions)
{
  std::vector<double> weights;
  std::ranges::transform(aOptions.mTargets,
                         std::back_inserter(weights),
                         [](const Target& aTarget) { return aTarget.mWeight; });
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  std::mt19937_64 generator(aOptions.mSeed + 1);
  std::vector<std::size_t> targets(aCount);
  std::ranges::generate(targets, [&] { return draw(generator); });
  return targets;
}

}

std::vector<Measured> Drive(const std::vector<PlannedRequest>& aPlan,
                            const DriverOptions& aOptions)
{
  std::vector<Measured> measured(aPlan.size());
  const auto targets = DrawTargets(aPlan.size(), aOptions);
  std::atomic<std::size_t> next{ 0 };
  const auto start = Clock::now() + std::chrono::milliseconds(100);
  const auto work = [&] {
    Caller caller(aOptions);
    for (std::size_t it = next.fetch_add(1); it < aPlan.size(); it = next.fetch_add(1)) {
      const auto at = start + aPlan[it].mAt;
      std::this_thread::sleep_until(at);
      measured[it] = caller.Call(aPlan[it], targets[it], at);
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(aOptions.mThreads);
  for (std::size_t it = 0; it < aOptions.mThreads; ++it) {
    threads.emplace_back(work);
  }
  std::ranges::for_each(threads, &std::thread::join);
  return measured;
}

}

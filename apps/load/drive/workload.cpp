#include "apps/load/drive/workload.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

#include <nlohmann/json.hpp>

namespace samphiresail::load {

namespace {

using catalogue::RequestClass;

constexpr double kExcessFactor = 5.0;
/// Share of the calls of plain services among all requests, and of repeated actions.
constexpr double kServiceShare = 0.15;
constexpr double kRepeatShare = 0.2;
/// Demand of an adapter over that of a model.
constexpr double kAdapterShare = 0.25;
constexpr double kBatchNightFactor = 6.0;

class Planner
{
public:
  Planner(const catalogue::Catalogue& aCatalogue, const WorkloadOptions& aOptions)
    : mCatalogue(aCatalogue)
    , mOptions(aOptions)
    , mGenerator(aOptions.mSeed)
  {
    std::uniform_real_distribution<double> phase(0.0, 2.0 * std::numbers::pi);
    for (std::size_t it = 0; it < aCatalogue.mModels.size(); ++it) {
      mPhases.push_back(phase(mGenerator));
    }
  }

  std::vector<PlannedRequest> Plan()
  {
    const auto& accounts = mCatalogue.mClientAccounts;
    const auto excess = std::ranges::find_if(accounts, [](const auto& aAccount) {
      return aAccount.mClass != RequestClass::Urgent &&
             aAccount.mClass != RequestClass::Batch;
    });
    double weights = 0.0;
    for (const auto& account : accounts) {
      weights += Part(account);
    }
    for (const auto& account : accounts) {
      const double rate = mOptions.mPerSecond * Part(account) / weights;
      const bool over = mOptions.mDemand == Demand::Overload &&
                        excess != accounts.end() && account.mName == excess->mName;
      PlanAccount(account, rate, false);
      if (over) {
        PlanAccount(account, rate * (kExcessFactor - 1.0), true);
      }
    }
    std::ranges::stable_sort(mPlan, {}, &PlannedRequest::mAt);
    return std::move(mPlan);
  }

private:
  /// Accounts send by their rates.
  static double Part(const catalogue::ClientAccount& aAccount)
  {
    return aAccount.mRate.Count();
  }

  double Intensity(const catalogue::ClientAccount& aAccount, double aTime) const
  {
    const double share = aTime / static_cast<double>(mOptions.mDuration.count());
    if (mOptions.mDemand == Demand::Burst) {
      return std::fmod(aTime, 4.0) < 2.0 ? 1.6 : 0.4;
    }
    if (mOptions.mDemand == Demand::BatchNight &&
        aAccount.mClass == RequestClass::Batch) {
      return share < 0.1 ? kBatchNightFactor : 0.2;
    }
    return 1.0;
  }

  void PlanAccount(const catalogue::ClientAccount& aAccount, double aRate, bool aExcess)
  {
    std::exponential_distribution<double> gap(1.0);
    const auto end = static_cast<double>(mOptions.mDuration.count());
    double now = 0.0;
    while (true) {
      now += gap(mGenerator) / (aRate * std::max(Intensity(aAccount, now), 0.05));
      if (now >= end) {
        return;
      }
      PlannedRequest request;
      request.mAt = std::chrono::microseconds(static_cast<std::int64_t>(now * 1e6));
      request.mAccount = aAccount.mName.Str();
      request.mExcess = aExcess;
      std::uniform_real_distribution<double> share(0.0, 1.0);
      const bool service = aAccount.mClass == RequestClass::Short &&
                           !mCatalogue.mServices.empty() &&
                           share(mGenerator) < 2 * kServiceShare;
      if (service) {
        PlanService(request);
      } else if (!PlanModel(aAccount, now, request)) {
        return;
      }
      mPlan.push_back(std::move(request));
    }
  }

  /// Models of the account's class; their demand moves tenfold in a burst.
  bool PlanModel(const catalogue::ClientAccount& aAccount,
                 double aTime,
                 PlannedRequest& aRequest)
  {
    std::vector<double> weights;
    const auto& models = mCatalogue.mModels;
    for (std::size_t it = 0; it < models.size(); ++it) {
      const double wave = std::sin(mPhases.at(it) + aTime * 0.4);
      const double demand =
        mOptions.mDemand == Demand::Burst ? std::pow(10.0, 0.5 * wave) : 1.0;
      const double share = models.at(it).mBase.Empty() ? 1.0 : kAdapterShare;
      weights.push_back(models.at(it).mClass == aAccount.mClass ? demand * share : 0.0);
    }
    if (std::ranges::none_of(weights, [](double aWeight) { return aWeight > 0.0; })) {
      std::ranges::fill(weights, 1.0);
    }
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    if (models.empty()) {
      return false;
    }
    const auto& model = models.at(draw(mGenerator));
    aRequest.mModel = model.mName.Str();
    aRequest.mClass = model.mClass;
    aRequest.mMethod = "POST";
    aRequest.mPath = "/v1/chat/completions";
    aRequest.mStream =
      model.mClass == RequestClass::Urgent || model.mClass == RequestClass::Streamed;
    nlohmann::json body;
    body["model"] = aRequest.mModel;
    body["stream"] = aRequest.mStream;
    body["max_tokens"] = mOptions.mOutputTokens;
    body["messages"] = { { { "role", "user" }, { "content", Prompt(aRequest.mModel) } } };
    aRequest.mBody = body.dump();
    return true;
  }

  /// The first half of a prompt is one of eight of the model, so that prefixes recur.
  std::string Prompt(const std::string& aModel)
  {
    const auto prefix = std::to_string(mGenerator() % 8);
    std::string text = "manual " + aModel + " " + prefix;
    for (std::size_t it = 0; it < mOptions.mPromptWords; ++it) {
      text += " word" + prefix + std::to_string(it);
    }
    return text + " question " + std::to_string(mGenerator() % 100000);
  }

  void PlanService(PlannedRequest& aRequest)
  {
    const auto& service = mCatalogue.mServices.at(0);
    const auto pick = mGenerator() % service.mCalls.size();
    const auto& call = service.mCalls.at(pick);
    aRequest.mClass = call.mRepeatable ? RequestClass::Short : RequestClass::Irreversible;
    aRequest.mMethod = call.mMethod;
    std::string path = call.mPath;
    if (path.ends_with('*')) {
      path.replace(path.size() - 1, 1, std::to_string(mGenerator() % 500));
    }
    aRequest.mPath = service.mRoute + path;
    if (call.mRepeatable) {
      return;
    }
    std::uniform_real_distribution<double> share(0.0, 1.0);
    aRequest.mRepeated = mActions > 0 && share(mGenerator) < kRepeatShare;
    const auto action = aRequest.mRepeated ? mGenerator() % mActions : mActions++;
    aRequest.mIdempotencyKey =
      "action-" + std::to_string(mOptions.mSeed) + "-" + std::to_string(action);
    aRequest.mBody = R"({"action":")" + aRequest.mIdempotencyKey + R"("})";
    aRequest.mPath = service.mRoute + FirstAction(service);
  }

  /// All actions go to one call, so that a repeated key repeats the same call.
  static std::string FirstAction(const catalogue::Service& aService)
  {
    const auto it =
      std::ranges::find(aService.mCalls, false, &catalogue::ServiceCall::mRepeatable);
    return it->mPath;
  }

  const catalogue::Catalogue& mCatalogue;
  WorkloadOptions mOptions;
  std::mt19937_64 mGenerator;
  std::vector<double> mPhases;
  std::vector<PlannedRequest> mPlan;
  std::uint64_t mActions{ 0 };
};

}

std::vector<PlannedRequest> PlanWorkload(const catalogue::Catalogue& aCatalogue,
                                         const WorkloadOptions& aOptions)
{
  return Planner(aCatalogue, aOptions).Plan();
}

}

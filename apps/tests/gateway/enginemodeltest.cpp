#include <catch2/catch.hpp>

#include "components/gateway/enginemodel.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;

namespace {

const timing::Instant kNow{ 1h };
const ids::EndpointId kEngine("e1");
const ids::EndpointId kOther("e2");
const ids::ModelId kModel("m");
constexpr EngineCapacity kCapacity{ 16, 50000.0 };

EngineWork Work(double aPrompt)
{
  return { kModel, aPrompt, aPrompt, 100.0 };
}

/// Lets an engine answer requests that take the given time for each token of their
/// prompt.
void Observe(EngineModel& aModel,
             const ids::EndpointId& aEndpoint,
             int aRequests,
             Milliseconds aReadTime,
             timing::Instant aNow)
{
  for (int i = 0; i < aRequests; ++i) {
    const double tokens = 800.0 + 100.0 * (i % 9);
    const EngineForecast forecast =
      aModel.Predict(aEndpoint, {}, kCapacity, Work(tokens), aNow);
    aModel.ObserveFirstEvent(
      aEndpoint, kModel, forecast, aReadTime * tokens + Milliseconds(12), aNow);
  }
}

}

TEST_CASE("engine model: the read time of another make is learned", "[gateway]")
{
  const Milliseconds readTime = GENERATE(Milliseconds(0.01), Milliseconds(0.3));
  EngineModel model;
  Observe(model, kEngine, 20, readTime, kNow);
  const double factor = model.ReadTime(kModel, 1000.0) / (readTime * 1000.0);
  CHECK(factor > 0.8);
  CHECK(factor < 1.25);
  // A model that was never seen begins with the average.
  CHECK(model.ReadTime(ids::ModelId("new"), 1000.0) < 1.5 * readTime * 1000.0);
}

TEST_CASE("engine model: a slow engine is seen after few requests and forgiven later",
          "[gateway]")
{
  EngineModel model;
  Observe(model, kOther, 50, Milliseconds(0.05), kNow);
  Observe(model, kEngine, 6, Milliseconds(0.4), kNow);
  CHECK(model.Slowness(kEngine, kNow) > 3.0);
  CHECK(model.Slowness(kOther, kNow) < 1.5);
  CHECK(model.Slowness(kEngine, kNow + 30s) < 1.1);
  model.Forget(kEngine);
  CHECK(model.Slowness(kEngine, kNow) == 1.0);
}

TEST_CASE("engine model: a request waits for prompts, slots and memory before it",
          "[gateway]")
{
  const EngineModel model;
  const auto wait = [&](const EngineLoad& aLoad) {
    return model.Predict(kEngine, aLoad, kCapacity, Work(1000), kNow).mWait;
  };
  CHECK(wait({}) == Milliseconds(0));
  CHECK(wait({ 3, Milliseconds(200), 3000.0 }) == Milliseconds(200));
  CHECK(wait({ 15, Milliseconds(0), 15000.0 }) == Milliseconds(0));
  CHECK(wait({ 20, Milliseconds(0), 20000.0 }) > Milliseconds(0));
  CHECK(wait({ 10, Milliseconds(0), 49500.0 }) > Milliseconds(0));
}

TEST_CASE("engine model: a request uses an engine by its prompt and its responses' steps",
          "[gateway]")
{
  EngineModel model;
  Observe(model, kEngine, 20, Milliseconds(0.05), kNow);
  for (int i = 0; i < 20; ++i) {
    model.ObserveCompletion(100.0, Milliseconds(1000), Milliseconds(1100));
  }
  const auto time = [&](double aUnread, double aOutput) {
    return model.EngineTime({ kModel, aUnread, aUnread, aOutput }, { 16, 0.0 });
  };
  CHECK(time(2000, 0) > 1.8 * time(1000, 0));
  // 100 tokens of 8 ms, the shortest time seen, in a sixteenth of the engine.
  CHECK(time(0, 100) > Milliseconds(40));
  CHECK(time(0, 100) < Milliseconds(70));
  // Where memory holds fewer requests than there are slots, each uses more.
  CHECK(model.EngineTime({ kModel, 0, 10000.0, 100 }, { 16, 20000.0 }) >
        5 * time(0, 100));
}

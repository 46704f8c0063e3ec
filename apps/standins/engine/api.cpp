#include "apps/standins/engine/api.hpp"

#include <memory>

#include "apps/standins/common/httpprogram.hpp"
#include "apps/standins/engine/generation.hpp"

namespace samphiresail::standins {

namespace {

using nlohmann::json;

constexpr char kFencingHeader[] = "X-Fencing-Number";

void Fail(httplib::Response& aResponse,
          int aStatus,
          const std::string& aType,
          const std::string& aText)
{
  Answer(
    aResponse, { { "error", { { "type", aType }, { "message", aText } } } }, aStatus);
}

void FinishEntry(Engine& aEngine, JournalEntry& aEntry, GenerationEnd aEnd)
{
  switch (aEnd) {
    case GenerationEnd::Completed:
      aEntry.mState = "completed";
      break;
    case GenerationEnd::CallerGone:
      aEntry.mState = "cancelled";
      break;
    case GenerationEnd::Cut:
      aEntry.mState = "cut";
      break;
  }
  aEngine.End(aEntry);
}

bool Write(httplib::DataSink& aSink, const std::string& aText)
{
  return aSink.write(aText.data(), aText.size());
}

bool StreamTokens(Engine& aEngine,
                  const GenerationRequest& aRequest,
                  JournalEntry aEntry,
                  httplib::DataSink& aSink)
{
  const auto id = "gen-" + std::to_string(aEntry.mNumber);
  bool open = Write(aSink, RoleEvent(aRequest, id));
  const auto end = Generate(aEngine, aRequest, aEntry, [&](std::size_t aIndex) {
    open = open && aSink.is_writable() && Write(aSink, TokenEvent(aRequest, id, aIndex));
    return open;
  });
  FinishEntry(aEngine, aEntry, end);
  if (end != GenerationEnd::Completed) {
    return false;
  }
  Write(aSink, FinishEvent(aRequest, id));
  if (aRequest.mIncludeUsage) {
    Write(aSink, UsageEvent(aRequest, id));
  }
  Write(aSink, "data: [DONE]\n\n");
  aSink.done();
  return true;
}

void AnswerWhole(Engine& aEngine,
                 const GenerationRequest& aRequest,
                 JournalEntry aEntry,
                 const httplib::Request& aHttp,
                 httplib::Response& aResponse)
{
  const auto end = Generate(aEngine, aRequest, aEntry, [](std::size_t) { return true; });
  FinishEntry(aEngine, aEntry, end);
  if (end == GenerationEnd::Cut) {
    DropConnection(aHttp);
    return;
  }
  Answer(aResponse, WriteAnswer(aRequest, "gen-" + std::to_string(aEntry.mNumber)));
}

void ServeGeneration(Engine& aEngine,
                     ApiKind aKind,
                     const httplib::Request& aHttp,
                     const json& aBody,
                     httplib::Response& aResponse)
{
  aEngine.NoteHeaders(aHttp.has_header("Authorization"));
  const auto request = ReadGeneration(aKind, aBody, aEngine.Options().mAnswerTokens);
  JournalEntry entry;
  entry.mRequestId = aHttp.get_header_value("X-Request-Id");
  entry.mModel = request.mModel;
  entry.mPriority = aHttp.get_header_value("X-Priority");
  entry.mPromptDigest = request.mPromptDigest;
  entry.mStart = request.mStart;
  const auto admission = aEngine.Begin(entry);
  if (admission == Admission::NotResident) {
    Fail(aResponse, 404, "not_found", "model " + request.mModel + " is not resident");
    return;
  }
  if (admission == Admission::Failed) {
    Fail(aResponse, 503, "engine_error", "the engine failed");
    return;
  }
  if (!request.mStream) {
    AnswerWhole(aEngine, request, entry, aHttp, aResponse);
    return;
  }
  aResponse.set_chunked_content_provider(
    "text/event-stream",
    [&aEngine, request, entry](std::size_t, httplib::DataSink& aSink) {
      return StreamTokens(aEngine, request, entry, aSink);
    });
}

void AddGeneration(httplib::Server& aServer,
                   Engine& aEngine,
                   const char* aPath,
                   ApiKind aKind)
{
  PostJson(aServer,
           aPath,
           [&aEngine, aKind](const httplib::Request& aHttp,
                             const json& aBody,
                             httplib::Response& aResponse) {
             try {
               ServeGeneration(aEngine, aKind, aHttp, aBody, aResponse);
             } catch (const RequestError& ec) {
               Fail(aResponse, 400, "invalid_request_error", ec.what());
             }
           });
}

Order ReadOrder(OrderAction aAction,
                const char* aField,
                const httplib::Request& aHttp,
                const json& aBody)
{
  Order order{ .mAction = aAction, .mModel = aBody.at(aField).get<std::string>() };
  order.mMemory = aBody.value("memory_bytes", order.mMemory);
  if (aHttp.has_header(kFencingHeader)) {
    order.mFencing =
      std::strtoull(aHttp.get_header_value(kFencingHeader).c_str(), nullptr, 10);
  }
  return order;
}

void AnswerOrder(OrderOutcome aOutcome,
                 const httplib::Request& aHttp,
                 httplib::Response& aResponse)
{
  switch (aOutcome) {
    case OrderOutcome::Done:
      Answer(aResponse, { { "status", "ok" } });
      return;
    case OrderOutcome::Unknown:
      Fail(aResponse, 404, "not_found", "the model is not resident");
      return;
    case OrderOutcome::Stale:
      Fail(aResponse, 409, "stale_fencing_number", "the fencing number is old");
      return;
    case OrderOutcome::Lost:
    case OrderOutcome::AnswerLost:
      DropConnection(aHttp);
      return;
  }
}

void AddOrder(httplib::Server& aServer,
              Engine& aEngine,
              const char* aPath,
              OrderAction aAction,
              const char* aField)
{
  PostJson(aServer,
           aPath,
           [&aEngine, aAction, aField](const httplib::Request& aHttp,
                                       const json& aBody,
                                       httplib::Response& aResponse) {
             const auto order = ReadOrder(aAction, aField, aHttp, aBody);
             AnswerOrder(aEngine.Execute(order), aHttp, aResponse);
           });
}

}

void RegisterApi(httplib::Server& aServer, Engine& aEngine)
{
  AddGeneration(aServer, aEngine, "/v1/chat/completions", ApiKind::Chat);
  AddGeneration(aServer, aEngine, "/v1/completions", ApiKind::Completion);
  AddOrder(aServer, aEngine, "/v1/load_model", OrderAction::Load, "model");
  AddOrder(aServer, aEngine, "/v1/unload_model", OrderAction::Unload, "model");
  AddOrder(aServer, aEngine, "/v1/load_lora_adapter", OrderAction::Load, "lora_name");
  AddOrder(aServer, aEngine, "/v1/unload_lora_adapter", OrderAction::Unload, "lora_name");
  aServer.Get("/v1/models",
              [&aEngine](const httplib::Request&, httplib::Response& aResponse) {
                Answer(aResponse, aEngine.Models());
              });
  aServer.Get("/health",
              [&aEngine](const httplib::Request&, httplib::Response& aResponse) {
                Answer(aResponse, { { "state", aEngine.Cold() ? "cold" : "ready" } });
              });
  aServer.Get("/metrics",
              [&aEngine](const httplib::Request&, httplib::Response& aResponse) {
                aResponse.set_content(aEngine.Metrics(), "text/plain");
              });
  aServer.Get("/journal",
              [&aEngine](const httplib::Request&, httplib::Response& aResponse) {
                Answer(aResponse, aEngine.Journal());
              });
  PostJson(
    aServer,
    "/faults",
    [&aEngine](const httplib::Request&, const json& aBody, httplib::Response& aResponse) {
      aEngine.SetFaults(aBody);
      Answer(aResponse, json::object());
    });
}

}

#include "apps/fuzz/decoders.hpp"

#include <algorithm>
#include <iterator>
#include <memory>
#include <stdexcept>

#include "apps/fuzz/check.hpp"
#include "apps/samphiresail/agent/answerreader.hpp"
#include "apps/samphiresail/entry/apierror.hpp"
#include "apps/samphiresail/entry/callerrequest.hpp"
#include "apps/samphiresail/entry/routingsnapshot.hpp"
#include "apps/tests/platform/platformdecoders.hpp"
#include "components/catalogue/catalogueparser.hpp"
#include "components/catalogue/configurationcodec.hpp"
#include "components/findings/findingserror.hpp"
#include "components/settings/settingsloader.hpp"
#include "components/store/etcdcodec.hpp"
#include "components/transport/framecodec.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::fuzz {

namespace {

constexpr char kCatalogueSeed[] =
  R"(weight_store: { loads_per_second: 2, loads_at_once: 4 }
availability_zones:
  - { name: a, owner: p, class: s, region: r, limits: { loads_at_once: 2 } }
client_accounts:
  - { name: c, owner: o, class: urgent, limits: { tokens_per_second: 20, burst_tokens: 60, weight: 2 } }
pools:
  - name: e
    owner: p
    class: g
    kind: engine
    checks_fencing: true
    limits: { memory_mib: 16384, in_flight: 16, queue: 64, cold_in_flight: 2, cold_ms: 3000 }
  - { name: b, owner: p, class: g, kind: service, limits: { in_flight: 8, cold_in_flight: 1, cold_ms: 0 } }
models:
  - { name: m, owner: d, class: urgent, pool: e, limits: { memory_mib: 8192, keepers: 2 } }
adapters:
  - { name: l, base: m, owner: d, class: urgent, pool: e, limits: { memory_mib: 256, knee: 50 } }
services:
  - name: s
    owner: d
    class: short
    pool: b
    route: /s
    open: true
    limits: { timeout_ms: 10000 }
    calls:
      - { method: GET, path: /x/*, repeatable: true, cost_tokens: 1 }
)";

constexpr char kSettingsSeed[] = R"(name: entry-1
vm: vm-1
availability_zone: a
peer: 127.0.0.1:7000
http: 127.0.0.1:8080
store_url: http://127.0.0.1:2379
vm_list_url: http://127.0.0.1:2380
in_touch_ms: 2500
poll_interval_ms: 500
curve: { public_key: "", secret_key: "" }
)";

void RunFrame(std::string_view aBytes)
{
  const auto envelope = transport::DecodeFrame(aBytes);
  if (!envelope) {
    return;
  }
  const auto again = transport::DecodeFrame(transport::EncodeFrame(*envelope));
  Check(again.has_value(), "a decoded frame encodes to a frame");
  Check(again->SerializeAsString() == envelope->SerializeAsString(),
        "a frame keeps its content");
}

std::vector<std::string> FrameSeeds()
{
  wire::Envelope submit;
  submit.set_sender("entry-1");
  submit.mutable_submit()->set_request_id("r-1");
  submit.mutable_submit()->set_body("{\"model\":\"m\"}");
  wire::Envelope report;
  auto* load = report.mutable_load_report();
  load->mutable_load()->set_in_flight(3);
  load->add_models()->set_name("m");
  wire::Envelope timeline;
  timeline.mutable_timeline_reply()->add_events()->set_kind("admitted");
  return { transport::EncodeFrame(submit),
           transport::EncodeFrame(report),
           transport::EncodeFrame(timeline) };
}

void RunStoreAnswer(std::string_view aBytes)
{
  const std::vector<store::StoreRequest> requests{ store::RangeRequest{},
                                                   store::TransactionRequest{},
                                                   store::LeaseGrantRequest{},
                                                   store::LeaseKeepAliveRequest{},
                                                   store::LeaseRevokeRequest{} };
  for (const auto& request : requests) {
    const auto reply = store::DecodeEtcdReply(request, aBytes);
    Check(!reply || reply->mOutcome == store::StoreOutcome::Answered,
          "a decoded answer counts as answered");
  }
}

std::vector<std::string> StoreAnswerSeeds()
{
  return {
    R"({"header":{"revision":"7"},"kvs":[{"key":"L2EvYg==","value":"aGVsbG8=","create_revision":"2","mod_revision":"3","lease":"4"}],"count":"1"})",
    R"({"header":{"revision":"7"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"7"}}}]})",
    R"({"header":{"revision":"7"},"responses":[{"response_range":{"kvs":[{"key":"YQ=="}]}}]})",
    R"({"header":{"revision":"7"},"ID":"7000001","TTL":"5"})",
    R"({"result":{"header":{"revision":"7"},"ID":"7000001","TTL":"5"}})"
  };
}

void RunConfiguration(std::string_view aBytes)
{
  try {
    const auto configuration = catalogue::DecodeConfiguration(aBytes);
    const auto text = catalogue::EncodeConfiguration(configuration);
    Check(catalogue::EncodeConfiguration(catalogue::DecodeConfiguration(text)) == text,
          "a configuration record keeps its content");
  } catch (const catalogue::ConfigurationError&) {
    return;
  }
}

std::vector<std::string> ConfigurationSeeds()
{
  catalogue::Configuration configuration;
  configuration.mCatalogue = catalogue::ParseCatalogue(kCatalogueSeed, "seed.yml");
  configuration.mKeys.push_back(
    { ids::KeyHash("00ff"), ids::ClientAccountId("c"), "key-1" });
  return { catalogue::EncodeConfiguration(configuration) };
}

void RunCatalogue(std::string_view aBytes)
{
  try {
    const auto catalogue = catalogue::ParseCatalogue(std::string(aBytes), "input.yml");
    catalogue::Configuration configuration;
    configuration.mCatalogue = catalogue;
    const auto text = catalogue::EncodeConfiguration(configuration);
    Check(catalogue::EncodeConfiguration(catalogue::DecodeConfiguration(text)) == text,
          "an accepted catalogue can be stored");
  } catch (const findings::FindingsError& ec) {
    Check(!ec.All().empty(), "a refused catalogue has findings");
  }
}

void RunSettings(std::string_view aBytes)
{
  const std::string text(aBytes);
  try {
    settings::ParseEntrySettings(text, "input.yml");
  } catch (const findings::FindingsError& ec) {
    Check(!ec.All().empty(), "refused settings have findings");
  }
  try {
    settings::ParseAgentSettings(text, "input.yml");
  } catch (const findings::FindingsError& ec) {
    Check(!ec.All().empty(), "refused settings have findings");
  }
}

void RunEngineEvents(std::string_view aBytes)
{
  agent::AnswerReader whole(true);
  auto text = whole.Read(aBytes);
  text += whole.Finish();
  agent::AnswerReader pieces(true);
  std::string joined;
  for (const char it : aBytes) {
    joined += pieces.Read({ &it, 1 });
  }
  joined += pieces.Finish();
  Check(joined == text, "an answer does not depend on how its bytes arrive");
  Check(pieces.Complete() == whole.Complete(), "nor does its end");
}

std::vector<std::string> EngineEventSeeds()
{
  return { "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n"
           "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":2,"
           "\"completion_tokens\":1}}\n\ndata: [DONE]\n\n",
           ": comment\r\n\r\ndata: [DONE]\r\n\r\n" };
}

const entry::RoutingSnapshot& CallerSnapshot()
{
  static const entry::RoutingSnapshot snapshot = [] {
    auto configuration = std::make_shared<catalogue::Configuration>();
    configuration->mVersion = units::Version(1);
    configuration->mCatalogue = catalogue::ParseCatalogue(kCatalogueSeed, "seed.yml");
    return entry::RoutingSnapshot(std::move(configuration), {});
  }();
  return snapshot;
}

void RunCallerRequest(std::string_view aBytes)
{
  const std::string body(aBytes);
  for (const auto* path : { "/v1/chat/completions", "/v1/completions", "/s/x/1" }) {
    entry::RawRequest raw;
    raw.mMethod = "POST";
    raw.mPath = path;
    raw.mTarget = path;
    raw.mContentType = "application/json";
    raw.mBody = body;
    raw.mClass = body.substr(0, body.find(' '));
    raw.mDeadline = body.substr(0, 8);
    try {
      const auto request = entry::ParseCallerRequest(raw, CallerSnapshot(), {});
      Check(request.mPromptTokens.Count() >= 0, "a prompt has no negative size");
      Check(request.mMaxOutput.Count() >= 0, "nor has an output limit");
    } catch (const entry::ApiError& ec) {
      Check(!ec.Body("r").empty(), "an error has a body");
    }
  }
}

std::vector<std::string> CallerRequestSeeds()
{
  return {
    R"({"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":4})",
    R"({"model":"l","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"stream":true,"stream_options":{"include_usage":true}})",
    R"({"model":"m","prompt":"hi","max_completion_tokens":4,"n":1})"
  };
}

std::vector<Decoder> MakeDecoders()
{
  return { { "frame", RunFrame, FrameSeeds() },
           { "store-answer", RunStoreAnswer, StoreAnswerSeeds() },
           { "configuration", RunConfiguration, ConfigurationSeeds() },
           { "catalogue", RunCatalogue, { kCatalogueSeed } },
           { "settings", RunSettings, { kSettingsSeed } },
           { "engine-events", RunEngineEvents, EngineEventSeeds() },
           { "caller-request", RunCallerRequest, CallerRequestSeeds() } };
}

}

const std::vector<Decoder>& Decoders()
{
  static const std::vector<Decoder> decoders = [] {
    std::vector<Decoder> all = MakeDecoders();
    std::ranges::move(PlatformDecoders(), std::back_inserter(all));
    return all;
  }();
  return decoders;
}

const Decoder& FindDecoder(std::string_view aName)
{
  const auto it = std::ranges::find(Decoders(), aName, &Decoder::mName);
  if (it == Decoders().end()) {
    throw std::invalid_argument("no decoder named " + std::string(aName));
  }
  return *it;
}

}

#include "apps/samphiresail/entry/httpfront.hpp"

#include <cmath>
#include <memory>
#include <stdexcept>
#include <thread>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "apps/samphiresail/entry/apierror.hpp"
#include "apps/samphiresail/entry/authentication.hpp"
#include "apps/samphiresail/entry/callerslots.hpp"
#include "apps/samphiresail/entry/exchange.hpp"
#include "apps/samphiresail/entry/identifiers.hpp"
#include "apps/samphiresail/entry/operationrun.hpp"
#include "apps/samphiresail/entry/requestreport.hpp"
#include "apps/samphiresail/entry/sharedstate.hpp"

namespace samphiresail::entry {

namespace {

constexpr int kStatusOk = 200;
constexpr char kJson[] = "application/json";
constexpr char kEventStream[] = "text/event-stream";
constexpr std::chrono::seconds kKeepAlive{ 15 };
/// Time in which a caller must send its request or take its answer.
constexpr std::chrono::seconds kCallerTimeout{ 30 };
/// Time for which a stopping entry still serves, so that the balancer sees /ready fail.
constexpr std::chrono::milliseconds kReadinessLead{ 1500 };
constexpr std::chrono::milliseconds kQuietTime{ 300 };
constexpr std::chrono::milliseconds kDrainStep{ 20 };
constexpr std::chrono::milliseconds kCrowdedRetry{ 1000 };

RawRequest ReadRaw(const httplib::Request& aRequest)
{
  return { .mMethod = aRequest.method,
           .mPath = aRequest.path,
           .mTarget = aRequest.target,
           .mContentType = aRequest.get_header_value("Content-Type"),
           .mBody = aRequest.body,
           .mClass = aRequest.get_header_value("X-Request-Class"),
           .mIdempotencyKey = aRequest.get_header_value("Idempotency-Key"),
           .mDeadline = aRequest.get_header_value("X-Deadline-Ms") };
}

std::string WholeSeconds(std::chrono::milliseconds aTime)
{
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(aTime).count());
}

void WriteError(const ApiError& aError,
                const std::string& aRequestId,
                httplib::Response& aResponse)
{
  aResponse.status = aError.HttpStatus();
  if (aError.RetryAfter()) {
    aResponse.set_header("Retry-After", WholeSeconds(*aError.RetryAfter()));
  }
  if (const auto& limit = aError.RateLimit()) {
    aResponse.set_header("RateLimit-Limit", std::to_string(limit->mLimit.Count()));
    aResponse.set_header("RateLimit-Remaining",
                         std::to_string(limit->mRemaining.Count()));
    aResponse.set_header("RateLimit-Reset", WholeSeconds(limit->mReset));
  }
  aResponse.set_content(aError.Body(aRequestId), kJson);
}

void WriteAnswer(const Answer& aAnswer, httplib::Response& aResponse)
{
  aResponse.status = aAnswer.mStatus;
  aResponse.set_content(aAnswer.mBody,
                        aAnswer.mContentType.empty() ? kJson : aAnswer.mContentType);
}

std::string ErrorEvent(const ApiError& aError, const std::string& aRequestId)
{
  return "data: " + aError.Body(aRequestId) + "\n\n";
}

/// Everything that lives as long as a streamed answer.
struct StreamState
{
  std::shared_ptr<CallerSlot> mSlot;
  std::shared_ptr<RequestReport> mReport;
  std::unique_ptr<Exchange> mExchange;
  /// First part, which is read before the headers are written.
  std::optional<std::string> mFirst;
};

std::unique_ptr<httplib::Server> MakeServer(const settings::TlsSettings& aTls)
{
  if (aTls.mCertificateFile.empty()) {
    return std::make_unique<httplib::Server>();
  }
  return std::make_unique<httplib::SSLServer>(aTls.mCertificateFile.c_str(),
                                              aTls.mKeyFile.c_str());
}

}

class HttpFront::Listener
{
public:
  explicit Listener(EntryContext& aContext)
    : mContext(aContext)
    , mServer(MakeServer(aContext.mSettings.mTls))
    , mSlots(aContext.mSettings.mHttpThreads)
  {
    if (!mServer->is_valid()) {
      throw std::runtime_error("the TLS certificate or key cannot be used");
    }
    Configure();
    AddRoutes();
    Bind();
    mThread = std::jthread([this] { mServer->listen_after_bind(); });
  }

  ~Listener() { mServer->stop(); }

  std::uint16_t Port() const { return mPort; }

  void Drain(std::chrono::milliseconds aTimeout)
  {
    const timing::Instant begin = mContext.mClock.Now();
    timing::Instant busyAt = begin;
    while (true) {
      const timing::Instant now = mContext.mClock.Now();
      if (mSlots.Taken() > 0) {
        busyAt = now;
      }
      const bool quiet = now - begin >= kReadinessLead && now - busyAt >= kQuietTime;
      if (quiet || now - begin >= aTimeout) {
        break;
      }
      std::this_thread::sleep_for(kDrainStep);
    }
    mServer->stop();
  }

private:
  void Configure()
  {
    const settings::EntrySettings& settings = mContext.mSettings;
    const std::size_t threads = settings.mHttpThreads;
    mServer->new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    mServer->set_payload_max_length(settings.mMaxBodyBytes);
    mServer->set_keep_alive_timeout(kKeepAlive.count());
    mServer->set_read_timeout(kCallerTimeout);
    mServer->set_write_timeout(kCallerTimeout);
    mServer->set_tcp_nodelay(true);
    mServer->set_error_handler(
      [](const httplib::Request& aRequest, httplib::Response& aResponse) {
        DescribeError(aRequest, aResponse);
      });
    mServer->set_exception_handler([](const httplib::Request&,
                                      httplib::Response& aResponse,
                                      const std::exception_ptr&) {
      WriteError(ApiError(ApiErrorType::OutcomeUnknown, "internal error"), "", aResponse);
    });
  }

  /// Gives errors that the HTTP library found itself the same shape as all others.
  static void DescribeError(const httplib::Request& aRequest,
                            httplib::Response& aResponse)
  {
    constexpr int kPayloadTooLarge = 413;
    constexpr int kNotFound = 404;
    if (!aResponse.body.empty()) {
      return;
    }
    if (aResponse.status == kPayloadTooLarge) {
      WriteError(
        ApiError(ApiErrorType::BodyTooLarge, "the body is too large"), "", aResponse);
    } else if (aResponse.status == kNotFound) {
      WriteError(
        ApiError(ApiErrorType::UnknownRoute, "no route " + aRequest.path), "", aResponse);
    } else {
      WriteError(ApiError(ApiErrorType::InvalidParameter, "the request is malformed"),
                 "",
                 aResponse);
    }
  }

  void AddRoutes()
  {
    mServer->Get("/health", [](const httplib::Request&, httplib::Response& aResponse) {
      aResponse.set_content("{\"status\":\"alive\"}\n", kJson);
    });
    mServer->Get("/ready", [this](const httplib::Request&, httplib::Response& aResponse) {
      AnswerReady(aResponse);
    });
    const auto serve = [this](const httplib::Request& aRequest,
                              httplib::Response& aResponse) {
      Serve(aRequest, aResponse);
    };
    mServer->Get("/v1/models", [this](const auto& aRequest, auto& aResponse) {
      ListModels(aRequest, aResponse);
    });
    mServer->Get("/.*", serve);
    mServer->Post("/.*", serve);
    mServer->Put("/.*", serve);
    mServer->Patch("/.*", serve);
    mServer->Delete("/.*", serve);
  }

  void Bind()
  {
    const settings::SocketAddress& address = mContext.mSettings.mHttp;
    const int port = address.mPort == 0
                       ? mServer->bind_to_any_port(address.mHost)
                       : (mServer->bind_to_port(address.mHost, address.mPort)
                            ? static_cast<int>(address.mPort)
                            : -1);
    if (port < 0) {
      throw std::runtime_error("cannot listen on " + address.mHost + ":" +
                               std::to_string(address.mPort));
    }
    mPort = static_cast<std::uint16_t>(port);
  }

  void AnswerReady(httplib::Response& aResponse)
  {
    constexpr int kUnavailable = 503;
    const bool ready = !mContext.mState.IsStopping() && mContext.mState.HasCredit() &&
                       mContext.mState.Snapshot() != nullptr &&
                       mContext.mState.IsInTouch(mContext.mClock.Now());
    aResponse.status = ready ? 200 : kUnavailable;
    aResponse.set_content(ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n", kJson);
  }

  SnapshotPointer RequireSnapshot() const
  {
    SnapshotPointer snapshot = mContext.mState.Snapshot();
    if (!snapshot) {
      throw ApiError(ApiErrorType::NotInTouch, "this entry has no configuration yet")
        .WithRetryAfter(std::chrono::seconds(1));
    }
    return snapshot;
  }

  void ListModels(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    try {
      const SnapshotPointer snapshot = RequireSnapshot();
      CallerRequest request;
      Authenticate(
        mContext, *snapshot, aRequest.get_header_value("Authorization"), request);
      nlohmann::json list = nlohmann::json::array();
      for (const auto& model : snapshot->Configuration().mCatalogue.mModels) {
        list.push_back({ { "id", model.mName.Str() },
                         { "object", "model" },
                         { "owned_by", model.mOwner } });
      }
      const nlohmann::json body{ { "object", "list" }, { "data", list } };
      aResponse.set_content(body.dump(), kJson);
    } catch (const ApiError& error) {
      WriteError(error, "", aResponse);
    }
  }

  /// Checks the key first, so that a caller without one learns nothing of the catalogue.
  CallerRequest ReadRequest(const httplib::Request& aRequest,
                            const RoutingSnapshot& aSnapshot) const
  {
    CallerRequest caller;
    const catalogue::Service* service = aSnapshot.FindService(aRequest.path);
    caller.mOpen = service != nullptr && service->mOpen;
    Authenticate(mContext, aSnapshot, aRequest.get_header_value("Authorization"), caller);
    return ParseCallerRequest(ReadRaw(aRequest), aSnapshot, std::move(caller));
  }

  void Serve(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    const std::string id = MakeIdentifier("req-");
    aResponse.set_header("X-Request-Id", id);
    if (mContext.mState.IsStopping()) {
      aResponse.set_header("Connection", "close");
    }
    try {
      const SnapshotPointer snapshot = RequireSnapshot();
      CallerRequest request = ReadRequest(aRequest, *snapshot);
      request.mId = ids::RequestId(id);
      ServeChecked(std::move(request), *snapshot, aResponse);
    } catch (const ApiError& error) {
      WriteError(error, id, aResponse);
    }
  }

  void ServeChecked(CallerRequest aRequest,
                    const RoutingSnapshot& aSnapshot,
                    httplib::Response& aResponse)
  {
    auto report = std::make_shared<RequestReport>(mContext, aRequest.Summary());
    auto slot = std::make_shared<CallerSlot>(mSlots, aRequest.mAccount);
    try {
      if (!slot->IsTaken()) {
        throw ApiError(ApiErrorType::Overloaded,
                       "the account has too many requests open at this entry")
          .WithRetryAfter(kCrowdedRetry);
      }
      AdmissionCharge charge(mContext, aRequest, aSnapshot);
      if (!aRequest.mRepeatable) {
        OperationRun operation(mContext, std::move(aRequest), std::move(charge));
        WriteAnswer(operation.Run(), aResponse);
      } else if (aRequest.mStream) {
        auto exchange =
          std::make_unique<Exchange>(mContext, std::move(aRequest), std::move(charge));
        Stream(std::move(exchange), slot, report, aResponse);
        return;
      } else {
        Exchange exchange(mContext, std::move(aRequest), std::move(charge));
        WriteAnswer(exchange.RunUnary(), aResponse);
      }
      report->OnFirstPart();
      report->SetResult("answered");
    } catch (const ApiError& error) {
      report->SetResult(error.Name());
      throw;
    }
  }

  static void Stream(std::unique_ptr<Exchange> aExchange,
                     const std::shared_ptr<CallerSlot>& aSlot,
                     const std::shared_ptr<RequestReport>& aReport,
                     httplib::Response& aResponse)
  {
    // The first part decides about the status, before any header is written.
    auto first = aExchange->NextPart();
    aReport->OnFirstPart();
    const int status = aExchange->Status();
    if (status != kStatusOk) {
      WriteAnswer({ status, kJson, CollectAll(*aExchange, first) }, aResponse);
      aReport->SetResult("answered");
      return;
    }
    auto state = std::make_shared<StreamState>(
      StreamState{ aSlot, aReport, std::move(aExchange), std::move(first) });
    aResponse.set_header("Cache-Control", "no-cache");
    aResponse.set_chunked_content_provider(
      kEventStream, [state](std::size_t, httplib::DataSink& aSink) {
        return WritePart(*state, aSink);
      });
  }

  static std::string CollectAll(Exchange& aExchange,
                                const std::optional<std::string>& aFirst)
  {
    std::string body = aFirst.value_or(std::string());
    while (auto part = aExchange.NextPart()) {
      body += *part;
    }
    return body;
  }

  /// Writes one part of a stream; returns false if the caller has gone.
  static bool WritePart(StreamState& aState, httplib::DataSink& aSink)
  {
    try {
      auto part = aState.mFirst ? std::exchange(aState.mFirst, std::nullopt)
                                : aState.mExchange->NextPart();
      if (!part) {
        aState.mReport->SetResult("answered");
        aSink.done();
        return true;
      }
      return aSink.write(part->data(), part->size());
    } catch (const ApiError& error) {
      const std::string event = ErrorEvent(error, aState.mReport->Summary().mId.Str());
      aState.mReport->SetResult(error.Name());
      aSink.write(event.data(), event.size());
      aSink.done();
      return true;
    }
  }

  EntryContext& mContext;
  std::unique_ptr<httplib::Server> mServer;
  CallerSlots mSlots;
  std::uint16_t mPort{ 0 };
  std::jthread mThread;
};

HttpFront::HttpFront(EntryContext& aContext)
  : mListener(std::make_unique<Listener>(aContext))
{
}

HttpFront::~HttpFront() = default;

std::uint16_t HttpFront::Port() const
{
  return mListener->Port();
}

void HttpFront::Drain(std::chrono::milliseconds aTimeout)
{
  mListener->Drain(aTimeout);
}

}

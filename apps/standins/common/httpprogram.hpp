#ifndef SAMPHIRESAIL_APPS_STANDINS_COMMON_HTTPPROGRAM_HPP
#define SAMPHIRESAIL_APPS_STANDINS_COMMON_HTTPPROGRAM_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace samphiresail::standins {

class RawAnswers;

/// HTTP server on the loopback address that runs until SIGTERM or SIGINT. POST
/// /raw-answers with {"path": TEXT, "bytes": TEXT, "count": N} lets it send the bytes in
/// place of the answers to the next N calls whose path contains the text; these run all
/// the same, and their connections are closed. With "before_body" true, the bytes are
/// sent before the body of the call is read, which does not run, and the connection is
/// reset.
class HttpProgram
{
public:
  /// Blocks the stop signals in all threads; construct it before any thread is started.
  /// Port 0 lets the system choose. Each open connection holds one of the threads.
  HttpProgram(std::uint16_t aPort, std::size_t aThreads);
  ~HttpProgram();
  HttpProgram(const HttpProgram&) = delete;
  HttpProgram& operator=(const HttpProgram&) = delete;

  httplib::Server& Server() { return mServer; }

  /// Binds the port and returns it. Throws std::runtime_error if it is taken.
  std::uint16_t Bind();

  /// Prints "ready", the port and the extra text as one line and serves until a stop
  /// signal. Ends the process with status 0.
  [[noreturn]] void Run(const std::string& aExtra = {});

private:
  std::unique_ptr<RawAnswers> mRawAnswers;
  httplib::Server mServer;
  std::uint16_t mPort;
};

/// Cuts the connection on which a request came, so that its answer is lost.
void DropConnection(const httplib::Request& aRequest);

/// Sets a JSON body.
void Answer(httplib::Response& aResponse, const nlohmann::json& aBody, int aStatus = 200);

/// Registers a POST handler for a JSON body; a body that cannot be read or that has wrong
/// types is answered with status 400.
void PostJson(
  httplib::Server& aServer,
  const std::string& aPattern,
  std::function<void(const httplib::Request&, const nlohmann::json&, httplib::Response&)>
    aHandler);

}

#endif

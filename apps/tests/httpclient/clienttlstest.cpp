#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <stdexcept>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <catch2/catch.hpp>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <unistd.h>

#include "components/httpclient/client.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using httpclient::Outcome;

namespace {

/// Key and self-signed certificate for localhost, in a file that is removed at the end.
class Certificate
{
public:
  Certificate()
    : mPath(std::filesystem::temp_directory_path() /
            ("clienttls-" + std::to_string(getpid()) + ".pem"))
  {
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_EC_gen("P-256"),
                                                                  &EVP_PKEY_free);
    const std::unique_ptr<X509, decltype(&X509_free)> certificate(X509_new(), &X509_free);
    X509* x509 = certificate.get();
    X509_set_version(x509, X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(x509), 1);
    X509_gmtime_adj(X509_getm_notBefore(x509), -3600);
    X509_gmtime_adj(X509_getm_notAfter(x509), 3600);
    X509_set_pubkey(x509, key.get());
    X509_NAME* name = X509_get_subject_name(x509);
    const auto* text = reinterpret_cast<const unsigned char*>("localhost");
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, text, -1, -1, 0);
    X509_set_issuer_name(x509, name);
    X509_EXTENSION* names =
      X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, "DNS:localhost");
    X509_add_ext(x509, names, -1);
    X509_EXTENSION_free(names);
    X509_sign(x509, key.get(), EVP_sha256());
    std::FILE* file = std::fopen(mPath.c_str(), "w");
    if (file == nullptr ||
        PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr, nullptr) !=
          1 ||
        PEM_write_X509(file, x509) != 1) {
      throw std::runtime_error("cannot write the certificate");
    }
    std::fclose(file);
  }
  ~Certificate() { std::filesystem::remove(mPath); }
  Certificate(const Certificate&) = delete;
  Certificate& operator=(const Certificate&) = delete;

  const std::string& Path() const { return mPath; }

private:
  std::string mPath;
};

/// Server that answers each request of one TLS connection.
class TlsServer
{
public:
  /// What follows an answer.
  enum class Next
  {
    Request,
    /// The end of the TLS session, and then of the connection.
    CloseNotify,
    /// The end of the connection alone.
    Close,
  };

  explicit TlsServer(
    const Certificate& aCertificate,
    std::string aAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret",
    Next aNext = Next::Request)
    : mAnswer(std::move(aAnswer))
    , mNext(aNext)
  {
    mTls.use_certificate_chain_file(aCertificate.Path());
    mTls.use_private_key_file(aCertificate.Path(), boost::asio::ssl::context::pem);
    mThread = std::thread([this] { Serve(); });
  }
  ~TlsServer() { mThread.join(); }

  std::string Port() const { return std::to_string(mAcceptor.local_endpoint().port()); }
  int Requests() const { return mRequests; }

private:
  void Serve()
  {
    boost::system::error_code ec;
    boost::asio::ssl::stream<tcp::socket> stream(mAcceptor.accept(), mTls);
    stream.handshake(boost::asio::ssl::stream_base::server, ec);
    boost::beast::flat_buffer buffer;
    while (!ec) {
      boost::beast::http::request<boost::beast::http::string_body> request;
      boost::beast::http::read(stream, buffer, request, ec);
      if (!ec) {
        ++mRequests;
        boost::asio::write(stream, boost::asio::buffer(mAnswer), ec);
      }
      if (mNext == Next::CloseNotify) {
        stream.shutdown(ec);
      }
      if (mNext != Next::Request) {
        return;
      }
    }
  }

  const std::string mAnswer;
  const Next mNext;
  boost::asio::io_context mIo{ 1 };
  tcp::acceptor mAcceptor{ mIo, { boost::asio::ip::address_v4::loopback(), 0 } };
  boost::asio::ssl::context mTls{ boost::asio::ssl::context::tls_server };
  std::atomic<int> mRequests{ 0 };
  std::thread mThread;
};

/// Lets OpenSSL trust the file in place of the system's authorities.
class TrustedFile
{
public:
  explicit TrustedFile(const std::string& aPath)
  {
    setenv("SSL_CERT_FILE", aPath.c_str(), 1);
  }
  ~TrustedFile() { unsetenv("SSL_CERT_FILE"); }
  TrustedFile(const TrustedFile&) = delete;
  TrustedFile& operator=(const TrustedFile&) = delete;
};

}

TEST_CASE("client: calls over TLS reach only the server that is asked for",
          "[httpclient]")
{
  const Certificate certificate;
  TlsServer server(certificate);
  SECTION("with a certificate of its name that is trusted")
  {
    const TrustedFile trusted(certificate.Path());
    httpclient::Client client("https://localhost:" + server.Port(), { 5s, 5s, 5s });
    for (int it = 1; it <= 3; ++it) {
      const auto reply = client.Call({});
      CHECK(reply.mOutcome == Outcome::Answered);
      CHECK(reply.mBody == "secret");
      CHECK(server.Requests() == it);
    }
  }
  SECTION("with a certificate of another name")
  {
    const TrustedFile trusted(certificate.Path());
    httpclient::Client client("https://127.0.0.1:" + server.Port(), { 5s, 5s, 5s });
    CHECK(client.Call({}).mOutcome == Outcome::Unreachable);
    CHECK(server.Requests() == 0);
  }
  SECTION("with a certificate that is not trusted")
  {
    httpclient::Client client("https://localhost:" + server.Port(), { 5s, 5s, 5s });
    CHECK(client.Call({}).mOutcome == Outcome::Unreachable);
    CHECK(server.Requests() == 0);
  }
}

TEST_CASE("client: a response without a length ends with its TLS session", "[httpclient]")
{
  const Certificate certificate;
  const TrustedFile trusted(certificate.Path());
  const bool notifies = GENERATE(false, true);
  TlsServer server(certificate,
                   "HTTP/1.1 200 OK\r\n\r\nsecret",
                   notifies ? TlsServer::Next::CloseNotify : TlsServer::Next::Close);
  httpclient::Client client("https://localhost:" + server.Port(), { 5s, 5s, 5s });
  const auto reply = client.Call({});
  CHECK(reply.mOutcome == (notifies ? Outcome::Answered : Outcome::Broken));
}

#include "components/transport/curve.hpp"

#include <array>
#include <stdexcept>

#include <zmq.hpp>

namespace samphiresail::transport {

namespace {

/// Length of a CURVE key as Z85 text with its terminating zero.
constexpr std::size_t kKeyText = 41;

}

void ApplyServerCurve(zmq::socket_t& aSocket, const settings::CurveSettings& aCurve)
{
  if (aCurve.mSecretKey.empty()) {
    return;
  }
  aSocket.set(zmq::sockopt::curve_server, 1);
  aSocket.set(zmq::sockopt::curve_secretkey, aCurve.mSecretKey);
}

void ApplyClientCurve(zmq::socket_t& aSocket, const settings::CurveSettings& aCurve)
{
  if (aCurve.mSecretKey.empty()) {
    return;
  }
  aSocket.set(zmq::sockopt::curve_serverkey, aCurve.mPublicKey);
  aSocket.set(zmq::sockopt::curve_publickey, aCurve.mPublicKey);
  aSocket.set(zmq::sockopt::curve_secretkey, aCurve.mSecretKey);
}

settings::CurveSettings MakeCurveKeys()
{
  std::array<char, kKeyText> publicKey{};
  std::array<char, kKeyText> secretKey{};
  if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
    throw std::runtime_error("this ZeroMQ library has no CURVE support");
  }
  return { publicKey.data(), secretKey.data() };
}

}

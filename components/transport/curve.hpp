#ifndef SAMPHIRESAIL_COMPONENTS_TRANSPORT_CURVE_HPP
#define SAMPHIRESAIL_COMPONENTS_TRANSPORT_CURVE_HPP

#include "components/settings/processsettings.hpp"

namespace zmq {
class socket_t;
}

namespace samphiresail::transport {

/// Encrypts a listening socket if the settings carry keys.
void ApplyServerCurve(zmq::socket_t& aSocket, const settings::CurveSettings& aCurve);

/// Encrypts a connecting socket if the settings carry keys.
void ApplyClientCurve(zmq::socket_t& aSocket, const settings::CurveSettings& aCurve);

/// Draws a new key pair in Z85 text.
settings::CurveSettings MakeCurveKeys();

}

#endif

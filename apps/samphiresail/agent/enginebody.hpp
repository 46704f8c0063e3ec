#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_ENGINEBODY_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_ENGINEBODY_HPP

#include <string>

#include "components/units/quantity.hpp"

namespace samphiresail::agent {

/// Limits that the agent imposes on a caller's body.
struct EngineLimits
{
  /// Most output tokens over all attempts of the request; 0 leaves the body's own limit.
  units::Tokens mMaxOutput;
  bool mStream{ false };
  /// Text and tokens that the caller already has from an earlier attempt.
  std::string mResumeText;
  units::Tokens mResumeTokens;
};

/// Returns the body for the engine: the output limit is set, a stream reports its usage,
/// and a resumed answer continues after the text that the caller has. A body that is not
/// a JSON object is returned as it is.
std::string PrepareEngineBody(const std::string& aBody, const EngineLimits& aLimits);

}

#endif

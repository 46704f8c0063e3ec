#ifndef SAMPHIRESAIL_APPS_FUZZ_CHECK_HPP
#define SAMPHIRESAIL_APPS_FUZZ_CHECK_HPP

#include <stdexcept>
#include <string>

namespace samphiresail::fuzz {

/// Thrown if decoded bytes do not have a property that the decoder promises.
class CheckFailed : public std::logic_error
{
public:
  using std::logic_error::logic_error;
};

inline void Check(bool aHolds, const std::string& aWhat)
{
  if (!aHolds) {
    throw CheckFailed(aWhat);
  }
}

}

#endif

#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ANSWER_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ANSWER_HPP

#include <string>

namespace samphiresail::entry {

/// Answer of a back end that is whole.
struct Answer
{
  int mStatus{ 200 };
  std::string mContentType;
  std::string mBody;
};

}

#endif

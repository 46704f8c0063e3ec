#ifndef SAMPHIRESAIL_COMPONENTS_CREDENTIALS_REDACTION_HPP
#define SAMPHIRESAIL_COMPONENTS_CREDENTIALS_REDACTION_HPP

#include <string>

namespace samphiresail::credentials {

/// Returns the text with each key in it replaced by `[key]`. Everything that leaves a
/// process as log line or event passes through here.
std::string RedactKeys(std::string aText);

}

#endif

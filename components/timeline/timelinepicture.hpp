#ifndef SAMPHIRESAIL_COMPONENTS_TIMELINE_TIMELINEPICTURE_HPP
#define SAMPHIRESAIL_COMPONENTS_TIMELINE_TIMELINEPICTURE_HPP

#include <string>
#include <vector>

#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::timeline {

/// Draws merged events as SVG: a column for each process, a row for each event, and a
/// line between consecutive events of a request.
std::string RenderSvg(const std::vector<wire::TimelineEvent>& aEvents);

/// Returns an HTML page with the picture.
std::string RenderHtml(const std::vector<wire::TimelineEvent>& aEvents);

}

#endif

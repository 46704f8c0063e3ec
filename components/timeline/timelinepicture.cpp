#include "components/timeline/timelinepicture.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <set>
#include <sstream>

#include "components/timeline/mergedtimeline.hpp"

namespace samphiresail::timeline {

namespace {

/// Sizes in pixels.
constexpr int kTimeWidth = 240;
constexpr int kColumnWidth = 180;
constexpr int kRowHeight = 22;
constexpr int kHeadHeight = 40;
constexpr int kTextOffset = 8;
constexpr int kBaseline = 4;

constexpr std::array<const char*, 8> kColours{
  "#1b6ca8", "#c2410c", "#15803d", "#7e22ce", "#b45309", "#0f766e", "#be185d", "#4d7c0f"
};

std::string Escape(const std::string& aText)
{
  std::string text;
  for (const char it : aText) {
    switch (it) {
      case '&':
        text += "&amp;";
        break;
      case '<':
        text += "&lt;";
        break;
      case '>':
        text += "&gt;";
        break;
      case '"':
        text += "&quot;";
        break;
      default:
        // Control characters are not allowed in XML.
        text += static_cast<unsigned char>(it) < ' ' ? ' ' : it;
    }
  }
  return text;
}

std::string ColourOf(const std::string& aRequest)
{
  if (aRequest.empty()) {
    return "#6b7280";
  }
  return kColours.at(std::hash<std::string>{}(aRequest) % kColours.size());
}

struct Point
{
  int mX{ 0 };
  int mY{ 0 };
};

/// Places processes in columns, in the order of their names.
class Layout
{
public:
  explicit Layout(const std::vector<wire::TimelineEvent>& aEvents)
    : mRows(static_cast<int>(aEvents.size()))
  {
    std::set<std::string> names;
    for (const wire::TimelineEvent& event : aEvents) {
      names.insert(event.process());
    }
    for (const std::string& name : names) {
      const int column = static_cast<int>(mColumns.size());
      mColumns[name] = kTimeWidth + column * kColumnWidth;
    }
  }

  Point Place(const wire::TimelineEvent& aEvent, int aRow) const
  {
    return { mColumns.at(aEvent.process()), kHeadHeight + aRow * kRowHeight };
  }
  const std::map<std::string, int>& Columns() const { return mColumns; }
  int Width() const
  {
    return kTimeWidth + static_cast<int>(mColumns.size()) * kColumnWidth + kColumnWidth;
  }
  int Height() const { return kHeadHeight + mRows * kRowHeight; }

private:
  int mRows;
  std::map<std::string, int> mColumns;
};

void DrawColumns(std::ostream& aOut, const Layout& aLayout)
{
  for (const auto& [name, x] : aLayout.Columns()) {
    aOut << "<text x='" << x << "' y='16' text-anchor='middle' font-weight='bold'>"
         << Escape(name) << "</text>\n<line x1='" << x << "' y1='24' x2='" << x
         << "' y2='" << aLayout.Height() << "' stroke='#d1d5db'/>\n";
  }
}

void DrawConnections(std::ostream& aOut,
                     const Layout& aLayout,
                     const std::vector<wire::TimelineEvent>& aEvents)
{
  std::map<std::string, Point> latest;
  for (int row = 0; const wire::TimelineEvent& event : aEvents) {
    const Point point = aLayout.Place(event, row++);
    if (event.request_id().empty()) {
      continue;
    }
    const auto [it, first] = latest.try_emplace(event.request_id(), point);
    if (!first) {
      aOut << "<line x1='" << it->second.mX << "' y1='" << it->second.mY << "' x2='"
           << point.mX << "' y2='" << point.mY << "' stroke='"
           << ColourOf(event.request_id()) << "' stroke-opacity='0.5'/>\n";
      it->second = point;
    }
  }
}

std::string DescribeEvent(const wire::TimelineEvent& aEvent)
{
  return FormatText({ aEvent });
}

void DrawEvents(std::ostream& aOut,
                const Layout& aLayout,
                const std::vector<wire::TimelineEvent>& aEvents)
{
  for (int row = 0; const wire::TimelineEvent& event : aEvents) {
    const Point point = aLayout.Place(event, row++);
    const int baseline = point.mY + kBaseline;
    aOut << "<text x='4' y='" << baseline << "' fill='#6b7280'>"
         << FormatWallTime(event.wall_us()) << "</text>\n<g><title>"
         << Escape(DescribeEvent(event)) << "</title><circle cx='" << point.mX << "' cy='"
         << point.mY << "' r='4' fill='" << ColourOf(event.request_id()) << "'/><text x='"
         << point.mX + kTextOffset << "' y='" << baseline << "'>" << Escape(event.kind())
         << "</text></g>\n";
  }
}

}

std::string RenderSvg(const std::vector<wire::TimelineEvent>& aEvents)
{
  const Layout layout(aEvents);
  std::ostringstream out;
  out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << layout.Width()
      << "' height='" << layout.Height() << "' font-family='monospace' font-size='12'>\n"
      << "<rect width='100%' height='100%' fill='white'/>\n";
  DrawColumns(out, layout);
  DrawConnections(out, layout, aEvents);
  DrawEvents(out, layout, aEvents);
  out << "</svg>\n";
  return out.str();
}

std::string RenderHtml(const std::vector<wire::TimelineEvent>& aEvents)
{
  return "<!DOCTYPE html>\n<html><head><meta charset='utf-8'><title>Time "
         "line</title></head>\n<body>\n" +
         RenderSvg(aEvents) + "</body></html>\n";
}

}

#ifndef SAMPHIRESAIL_COMPONENTS_IDS_STRONGID_HPP
#define SAMPHIRESAIL_COMPONENTS_IDS_STRONGID_HPP

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace samphiresail::ids {

/// Identifier that cannot be confused with an identifier of another kind. The tag type
/// only distinguishes the kinds and is never instantiated.
template<typename Tag>
class StrongId
{
public:
  StrongId() = default;
  explicit StrongId(std::string aValue)
    : mValue(std::move(aValue))
  {
  }

  /// Returns the identifier as written in the catalogue or on the wire.
  const std::string& Str() const { return mValue; }

  bool Empty() const { return mValue.empty(); }

  auto operator<=>(const StrongId&) const = default;

private:
  std::string mValue;
};

}

template<typename Tag>
struct std::hash<samphiresail::ids::StrongId<Tag>>
{
  std::size_t operator()(const samphiresail::ids::StrongId<Tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.Str());
  }
};

#endif

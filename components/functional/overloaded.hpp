#ifndef SAMPHIRESAIL_COMPONENTS_FUNCTIONAL_OVERLOADED_HPP
#define SAMPHIRESAIL_COMPONENTS_FUNCTIONAL_OVERLOADED_HPP

namespace samphiresail::functional {

/// Combines function objects into one that has all their overloads, to visit a variant.
template<typename... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};

template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}

#endif

#include "components/attempts/ticketissuer.hpp"

#include <algorithm>
#include <cstring>

namespace samphiresail::attempts {

namespace {

constexpr int kRotationsPerLife = 8;
constexpr int kRandomWordsPerTicket = 2;

}

TicketIssuer::TicketIssuer(timing::Duration aLife, std::uint64_t aSeed)
  : mLife(aLife)
  , mRandom(aSeed)
{
}

const std::string& TicketIssuer::Issue(timing::Instant aNow)
{
  std::erase_if(mTickets,
                [&](const Ticket& aTicket) { return aNow - aTicket.mIssuedAt > mLife; });
  if (mTickets.empty() || aNow - mTickets.back().mIssuedAt >= mLife / kRotationsPerLife) {
    mTickets.push_back({ GenerateText(), aNow });
  }
  return mTickets.back().mText;
}

bool TicketIssuer::IsFresh(std::string_view aTicket, timing::Instant aNow) const
{
  return std::ranges::any_of(mTickets, [&](const Ticket& aKnown) {
    return aKnown.mText == aTicket && aNow - aKnown.mIssuedAt <= mLife;
  });
}

std::string TicketIssuer::GenerateText()
{
  std::string text;
  for (int n = 0; n < kRandomWordsPerTicket; ++n) {
    const std::uint64_t word = mRandom();
    char buf[sizeof(word)];
    std::memcpy(buf, &word, sizeof(word));
    text.append(buf, sizeof(word));
  }
  return text;
}

}

#ifndef SAMPHIRESAIL_COMPONENTS_ATTEMPTS_TICKETISSUER_HPP
#define SAMPHIRESAIL_COMPONENTS_ATTEMPTS_TICKETISSUER_HPP

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <string_view>

#include "components/timing/clock.hpp"

namespace samphiresail::attempts {

/// Issues tickets that prove recent contact with this process. A ticket is random and its
/// age is measured on the issuer's own clock, so that a sender that was paused after its
/// decision cannot present a fresh ticket.
class TicketIssuer
{
public:
  /// A ticket older than aLife is stale.
  TicketIssuer(timing::Duration aLife, std::uint64_t aSeed);

  /// Returns a ticket whose age is at most an eighth of aLife.
  const std::string& Issue(timing::Instant aNow);

  /// Returns true if this object issued the ticket and it is not stale.
  bool IsFresh(std::string_view aTicket, timing::Instant aNow) const;

private:
  struct Ticket
  {
    std::string mText;
    timing::Instant mIssuedAt;
  };

  std::string GenerateText();

  timing::Duration mLife;
  std::mt19937_64 mRandom;
  std::deque<Ticket> mTickets;
};

}

#endif

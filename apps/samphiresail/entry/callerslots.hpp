#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CALLERSLOTS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CALLERSLOTS_HPP

#include <cstddef>
#include <mutex>
#include <unordered_map>

#include "components/ids/ids.hpp"

namespace samphiresail::entry {

/// Threads of an entry that serve callers, shared between client accounts. While a
/// quarter of them is free any account may take one; after that only an account that
/// holds less than an even part, so that the waiting requests of one account do not keep
/// out the others.
class CallerSlots
{
public:
  explicit CallerSlots(std::size_t aSlots);

  /// Takes a slot; returns false if the account has to leave it to others.
  bool TryEnter(const ids::ClientAccountId& aAccount);
  void Leave(const ids::ClientAccountId& aAccount);

  /// Returns the number of slots taken.
  std::size_t Taken() const;

private:
  std::size_t mSlots;
  mutable std::mutex mMutex;
  std::size_t mTaken{ 0 };
  std::unordered_map<ids::ClientAccountId, std::size_t> mByAccount;
};

/// Slot that is left when it goes out of scope.
class CallerSlot
{
public:
  CallerSlot(CallerSlots& aSlots, ids::ClientAccountId aAccount);
  ~CallerSlot();
  CallerSlot(const CallerSlot&) = delete;
  CallerSlot& operator=(const CallerSlot&) = delete;

  bool IsTaken() const { return mIsTaken; }

private:
  CallerSlots& mSlots;
  ids::ClientAccountId mAccount;
  bool mIsTaken;
};

}

#endif

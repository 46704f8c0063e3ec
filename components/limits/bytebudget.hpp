#ifndef SAMPHIRESAIL_COMPONENTS_LIMITS_BYTEBUDGET_HPP
#define SAMPHIRESAIL_COMPONENTS_LIMITS_BYTEBUDGET_HPP

#include <cstddef>
#include <unordered_set>

namespace samphiresail::limits {

/// Memory for bytes of one purpose that come from outside, such as the bodies of all
/// requests. While it is short, small shares still grow, the largest share is denied
/// more, and the others wait. Since the one that is denied gives up its bytes, somebody
/// can always go on.
class ByteBudget
{
public:
  /// Size up to which a share grows even while the budget is short, in bytes. The number
  /// of connections bounds the sum of such shares.
  static constexpr std::size_t kSmallShare = 16U << 10U;

  enum class Outcome
  {
    Granted,
    /// Ask again later.
    Wait,
    /// The share is the largest one, and is to be given up.
    Denied,
  };

  /// Bytes held for one message. The budget must outlive it.
  class Share
  {
  public:
    explicit Share(ByteBudget& aBudget);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// Asks for room for more bytes; they are counted if it is granted.
    Outcome Grow(std::size_t aBytes);
    /// Gives back all bytes.
    void Release();
    std::size_t Size() const { return mSize; }

  private:
    ByteBudget& mBudget;
    std::size_t mSize{ 0 };
  };

  explicit ByteBudget(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  /// Takes bytes without a share. Returns false if they don't fit, unless they are at
  /// most aAlways.
  bool TryTake(std::size_t aBytes, std::size_t aAlways);
  void Return(std::size_t aBytes) { mUsed -= aBytes; }

  std::size_t Limit() const { return mLimit; }
  std::size_t Used() const { return mUsed; }

private:
  bool IsLargest(const Share& aShare) const;

  std::size_t mLimit;
  std::size_t mUsed{ 0 };
  /// Shares above kSmallShare.
  std::unordered_set<const Share*> mLargeShares;
};

}

#endif

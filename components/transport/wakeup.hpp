#ifndef SAMPHIRESAIL_COMPONENTS_TRANSPORT_WAKEUP_HPP
#define SAMPHIRESAIL_COMPONENTS_TRANSPORT_WAKEUP_HPP

namespace samphiresail::transport {

/// File descriptor that other threads make readable to interrupt a poll.
class Wakeup
{
public:
  /// Throws std::system_error if the descriptor cannot be made.
  Wakeup();
  ~Wakeup();
  Wakeup(const Wakeup&) = delete;
  Wakeup& operator=(const Wakeup&) = delete;

  int Descriptor() const { return mDescriptor; }
  void Signal() const;
  void Clear() const;

private:
  int mDescriptor;
};

}

#endif

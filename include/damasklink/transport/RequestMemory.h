// Grants the memory that the bodies of requests are read into.
#pragma once

#include "damasklink/coordination/MemoryBudget.h"
#include "damasklink/protocol/HttpMessage.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

// Belongs to one event loop.
class RequestMemory
{
public:
  virtual ~RequestMemory() = default;

  // Returns a reservation for the body of a request with this head. May wait for it; the body is
  // not read meanwhile. Fails with Unavailable when there is no room.
  virtual Awaitable<Result<MemoryReservation>> Reserve(const HttpRequestHead& aHead,
                                                       std::size_t aBytes) = 0;
};

// Waits for nothing.
class ImmediateRequestMemory final : public RequestMemory
{
public:
  // The budget must outlive this object and the reservations.
  explicit ImmediateRequestMemory(MemoryBudget& aBudget)
    : budget(aBudget)
  {
  }

  Awaitable<Result<MemoryReservation>> Reserve(const HttpRequestHead& aHead,
                                               std::size_t aBytes) override;

private:
  MemoryBudget& budget;
};

// The failure of a reservation for which there is no room.
Error
NoMemoryError();

} // namespace damasklink

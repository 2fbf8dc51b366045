#include "damasklink/transport/RequestMemory.h"

namespace damasklink {

Awaitable<Result<MemoryReservation>>
ImmediateRequestMemory::Reserve(const HttpRequestHead& /*aHead*/, std::size_t aBytes)
{
  auto reserved = this->budget.TryReserve(MemoryUse::RequestBodies, aBytes);
  if (!reserved) {
    co_return Fail(NoMemoryError());
  }
  co_return std::move(*reserved);
}

Error
NoMemoryError()
{
  return Error{ ErrorKind::Unavailable,
                "this host has no memory for the request at the moment",
                "retry later, or send a smaller body" };
}

} // namespace damasklink

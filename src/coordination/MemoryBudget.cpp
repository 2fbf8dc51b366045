#include "damasklink/coordination/MemoryBudget.h"

#include <algorithm>
#include <utility>

namespace damasklink {
namespace {

// Shares of the machine's memory that the process itself may need. The budget never falls below the
// rest, however much the process uses.
constexpr double kMinOwnShare = 0.25;
constexpr double kMaxOwnShare = 0.6;

// Left free for what is counted late or not at all: receive buffers of the system, fragments of the
// allocator, copies that live for a moment.
constexpr double kMargin = 0.08;

// Share of the budget that large reservations may fill.
constexpr double kLargeShare = 0.875;

std::size_t
ShareOf(std::size_t aBytes, double aShare)
{
  return static_cast<std::size_t>(static_cast<double>(aBytes) * aShare);
}

} // namespace

std::string_view
MemoryUseName(MemoryUse aUse)
{
  switch (aUse) {
    case MemoryUse::RequestBodies:
      return "request_bodies";
    case MemoryUse::Responses:
      return "responses";
    case MemoryUse::Events:
      return "events";
    case MemoryUse::ForwardedCalls:
      return "forwarded_calls";
    case MemoryUse::PeerQueues:
      return "peer_queues";
    case MemoryUse::PeerFrames:
      return "peer_frames";
  }
  return "unknown";
}

MemoryReservation::MemoryReservation(MemoryReservation&& aOther) noexcept
  : budget(std::exchange(aOther.budget, nullptr))
  , use(aOther.use)
  , bytes(std::exchange(aOther.bytes, 0))
{
}

MemoryReservation&
MemoryReservation::operator=(MemoryReservation&& aOther) noexcept
{
  if (this != &aOther) {
    this->Release();
    this->budget = std::exchange(aOther.budget, nullptr);
    this->use = aOther.use;
    this->bytes = std::exchange(aOther.bytes, 0);
  }
  return *this;
}

bool
MemoryReservation::TryResize(std::size_t aBytes)
{
  if (!this->budget->TryChange(this->use, this->bytes, aBytes)) {
    return false;
  }
  this->bytes = aBytes;
  return true;
}

void
MemoryReservation::Release()
{
  if (this->budget != nullptr) {
    this->budget->TryChange(this->use, std::exchange(this->bytes, 0), 0);
  }
}

MemoryBudget::MemoryBudget(ByteCount aMachine)
  : machine(aMachine.Value())
{
  this->SetOwnUse(ByteCount(0));
}

void
MemoryBudget::SetOwnUse(ByteCount aOwn)
{
  const std::size_t own = std::clamp<std::size_t>(
    aOwn.Value(), ShareOf(this->machine, kMinOwnShare), ShareOf(this->machine, kMaxOwnShare));
  this->limit = this->machine - own - ShareOf(this->machine, kMargin);
}

std::size_t
MemoryBudget::LimitFor(std::size_t aBytes) const
{
  return aBytes <= kSmallBytes ? this->limit : ShareOf(this->limit, kLargeShare);
}

std::optional<MemoryReservation>
MemoryBudget::TryReserve(MemoryUse aUse, std::size_t aBytes)
{
  MemoryReservation reservation(*this, aUse);
  if (!reservation.TryResize(aBytes)) {
    return std::nullopt;
  }
  return reservation;
}

std::size_t
MemoryBudget::Missing(std::size_t aBytes) const
{
  const std::size_t needed = this->held + aBytes;
  return needed - std::min(needed, this->LimitFor(aBytes));
}

bool
MemoryBudget::TryChange(MemoryUse aUse, std::size_t aFrom, std::size_t aTo)
{
  const bool grows = aTo > aFrom;
  if (grows && this->held - aFrom + aTo > this->LimitFor(aTo)) {
    return false;
  }
  this->held = this->held - aFrom + aTo;
  this->heldByUse[Index(aUse)] = this->heldByUse[Index(aUse)] - aFrom + aTo;
  if (!grows && aFrom > aTo && this->released) {
    this->released(aUse, aFrom - aTo);
  }
  return true;
}

} // namespace damasklink

#include "damasklink/coordination/MemoryWaitQueue.h"

#include <cmath>
#include <utility>

namespace damasklink {
namespace {

// Time constant of the average of the release rate.
constexpr std::chrono::duration<double> kRateTime = std::chrono::seconds(1);

// Minimum age of a usable rate, and maximum time since memory was last given back. A shorter
// history would refuse requests that get their memory in time.
constexpr Duration kMinRateTime = std::chrono::seconds(1);

} // namespace

std::optional<MemoryTicket>
MemoryWaitQueue::Add(const MemoryRequest& aRequest)
{
  const bool fits = this->budget.CouldEverFit(aRequest.bytes);
  if (!fits || !this->IsExpectedInTime(aRequest) || !this->MakeRoomFor(aRequest)) {
    return std::nullopt;
  }
  this->last = this->last.Next();
  const Place place{ aRequest.priority, this->last };
  this->waiting.emplace(place, aRequest);
  this->places.emplace(this->last, place);
  return this->last;
}

bool
MemoryWaitQueue::IsExpectedInTime(const MemoryRequest& aRequest) const
{
  if (aRequest.longestWait <= Duration::zero()) {
    return false;
  }
  // Those that waited before got nothing.
  if (this->expiredAt > this->releasedAt) {
    return false;
  }
  const MonotonicTime now = this->clock.MonotonicNow();
  if (now - this->measuredSince < kMinRateTime || now - this->releasedAt > kMinRateTime) {
    return true;
  }
  const std::size_t ahead = this->BytesAheadOf(aRequest.priority);
  const double missing = static_cast<double>(this->budget.Missing(ahead + aRequest.bytes));
  const std::chrono::duration<double> expected(missing / this->ReleaseRate());
  return expected <= aRequest.longestWait;
}

std::size_t
MemoryWaitQueue::BytesAheadOf(int aPriority) const
{
  std::size_t bytes = 0;
  for (const auto& [place, request] : this->waiting) {
    bytes += place.priority <= aPriority ? request.bytes : 0;
  }
  return bytes;
}

// Displaces the last of the least urgent requests if no place is free.
bool
MemoryWaitQueue::MakeRoomFor(const MemoryRequest& aRequest)
{
  if (this->waiting.size() < kMostWaiting) {
    return true;
  }
  const Place least = this->waiting.rbegin()->first;
  if (least.priority <= aRequest.priority) {
    return false;
  }
  this->Remove(least.ticket);
  this->displaced.push_back(least.ticket);
  return true;
}

std::optional<MemoryTicket>
MemoryWaitQueue::NextThatFits() const
{
  if (this->waiting.empty()) {
    return std::nullopt;
  }
  const auto& [place, request] = *this->waiting.begin();
  return this->budget.Missing(request.bytes) == 0 ? std::optional(place.ticket) : std::nullopt;
}

void
MemoryWaitQueue::Remove(MemoryTicket aTicket)
{
  const auto found = this->places.find(aTicket);
  if (found != this->places.end()) {
    this->waiting.erase(found->second);
    this->places.erase(found);
  }
}

void
MemoryWaitQueue::OnExpired(MemoryTicket aTicket)
{
  this->Remove(aTicket);
  this->expiredAt = this->clock.MonotonicNow();
}

std::vector<MemoryTicket>
MemoryWaitQueue::TakeDisplaced()
{
  return std::exchange(this->displaced, {});
}

void
MemoryWaitQueue::OnReleased(std::size_t aBytes)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (now - this->releasedAt > kMinRateTime) {
    this->measuredSince = now;
    this->rate = 0;
  }
  this->rate = this->ReleaseRate() + static_cast<double>(aBytes) / kRateTime.count();
  this->releasedAt = now;
}

double
MemoryWaitQueue::ReleaseRate() const
{
  const std::chrono::duration<double> age = this->clock.MonotonicNow() - this->releasedAt;
  return this->rate * std::exp(-(age / kRateTime));
}

} // namespace damasklink

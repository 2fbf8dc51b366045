#include "RoomWaiters.h"

namespace damasklink {

std::string_view
RoomWaitEndName(RoomWaitEnd aEnd)
{
  switch (aEnd) {
    case RoomWaitEnd::Begun:
      return "begun";
    case RoomWaitEnd::Refused:
      return "refused";
    case RoomWaitEnd::Displaced:
      return "displaced";
    case RoomWaitEnd::Expired:
      return "expired";
    case RoomWaitEnd::Left:
      return "left";
  }
  return "unknown";
}

RoomWaiters::RoomWaiters(asio::io_context& aLoop, const Clock& aClock, Metrics& aMetrics)
  : loop(aLoop)
  , metrics(aMetrics)
  , queue(aClock)
  , interval(aLoop)
{
}

Awaitable<RoomWaitEnd>
RoomWaiters::Wait(const AdmissionRequest& aRequest,
                  Waiter aWaiter,
                  std::optional<AdmissionTicket>& aTicket)
{
  aTicket = this->queue.Add(aRequest);
  for (const AdmissionTicket displaced : this->queue.TakeDisplaced()) {
    this->End(displaced, RoomWaitEnd::Displaced);
  }
  RoomWaitEnd end = RoomWaitEnd::Refused;
  if (aTicket) {
    asio::steady_timer timer(this->loop, asio::steady_timer::time_point::max());
    Entry entry{ std::move(aWaiter), timer };
    this->entries.emplace(*aTicket, &entry);
    this->ScheduleOffer();
    co_await timer.async_wait(kAsValue);
    end = entry.end;
    aTicket.reset();
  }
  this->metrics.Add(
    Counter::RoomWaits, MetricKey{ WorkspaceId(), std::string(RoomWaitEndName(end)) }, 1);
  co_return end;
}

void
RoomWaiters::Leave(AdmissionTicket aTicket)
{
  this->queue.Remove(aTicket);
  this->End(aTicket, RoomWaitEnd::Left);
}

// The entry is gone once its wait has returned.
void
RoomWaiters::End(AdmissionTicket aTicket, RoomWaitEnd aEnd)
{
  const auto found = this->entries.find(aTicket);
  if (found == this->entries.end()) {
    return;
  }
  found->second->end = aEnd;
  found->second->timer.cancel();
  this->entries.erase(found);
}

void
RoomWaiters::EndAll()
{
  const std::map<AdmissionTicket, Entry*> ended = this->entries;
  for (const auto& [ticket, entry] : ended) {
    this->Leave(ticket);
  }
}

void
RoomWaiters::OnConfiguration()
{
  for (const auto& [ticket, entry] : this->entries) {
    this->queue.SetRank(ticket, entry->waiter.rank());
  }
}

void
RoomWaiters::OnRoomFreed()
{
  if (this->queue.Size() == 0 || this->offerPosted) {
    return;
  }
  this->offerPosted = true;
  asio::post(this->loop, [this] {
    this->offerPosted = false;
    this->Offer();
  });
}

void
RoomWaiters::ScheduleOffer()
{
  if (this->intervalRuns || this->queue.Size() == 0) {
    return;
  }
  this->intervalRuns = true;
  this->interval.expires_after(kOfferInterval);
  this->interval.async_wait([this](const IoError& aError) {
    this->intervalRuns = false;
    if (!aError) {
      this->Offer();
      this->ScheduleOffer();
    }
  });
}

void
RoomWaiters::Offer()
{
  for (const AdmissionTicket expired : this->queue.TakeExpired()) {
    this->End(expired, RoomWaitEnd::Expired);
  }
  // The call that begins is counted at its target before room is offered to the next one.
  if (this->OfferToFirst()) {
    this->OnRoomFreed();
  }
}

// Returns whether one of the first calls has found room.
bool
RoomWaiters::OfferToFirst()
{
  std::size_t offers = 0;
  for (const AdmissionTicket ticket : this->queue.InOrder()) {
    if (++offers > kMostOffers) {
      return false;
    }
    const auto found = this->entries.find(ticket);
    if (found != this->entries.end() && found->second->waiter.findRoom()) {
      this->queue.OnBegun(ticket);
      this->End(ticket, RoomWaitEnd::Begun);
      return true;
    }
  }
  return false;
}

} // namespace damasklink

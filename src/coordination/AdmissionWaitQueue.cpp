#include "damasklink/coordination/AdmissionWaitQueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace damasklink {
namespace {

// Time constant of the rate at which waiting calls begin.
constexpr double kRateSeconds = 1;

// Calls get room in the order of their keys.
std::tuple<CallRank, bool, MonotonicTime, AdmissionTicket>
KeyOf(const AdmissionRequest& aRequest, AdmissionTicket aTicket, MonotonicTime aNow)
{
  const bool late = aRequest.beginBy < aNow;
  return { aRequest.rank, late, late ? aRequest.leavesAt : aRequest.beginBy, aTicket };
}

} // namespace

std::optional<AdmissionTicket>
AdmissionWaitQueue::Add(const AdmissionRequest& aRequest)
{
  this->Decay();
  if (aRequest.leavesAt <= this->clock.MonotonicNow()) {
    return std::nullopt;
  }
  this->last = this->last.Next();
  const AdmissionTicket ticket = this->last;
  this->waiting.emplace(ticket, aRequest);
  if (!this->IsExpectedToBegin(ticket)) {
    this->Remove(ticket);
    return std::nullopt;
  }
  if (this->waiting.size() > kMostWaiting) {
    const AdmissionTicket least = this->Sorted().back();
    this->Remove(least);
    if (least == ticket) {
      return std::nullopt;
    }
    this->displaced.push_back(least);
  }
  return ticket;
}

std::vector<AdmissionTicket>
AdmissionWaitQueue::TakeDisplaced()
{
  return std::exchange(this->displaced, {});
}

std::vector<AdmissionTicket>
AdmissionWaitQueue::TakeExpired()
{
  std::vector<AdmissionTicket> expired;
  const MonotonicTime now = this->clock.MonotonicNow();
  for (const auto& [ticket, request] : this->waiting) {
    if (request.leavesAt <= now) {
      expired.push_back(ticket);
    }
  }
  for (const AdmissionTicket ticket : expired) {
    this->Remove(ticket);
  }
  return expired;
}

std::vector<AdmissionTicket>
AdmissionWaitQueue::InOrder() const
{
  std::vector<AdmissionTicket> ordered = this->Sorted();
  const auto blocking =
    std::find_if(ordered.begin(), ordered.end(), [this](AdmissionTicket aTicket) {
      const auto found = this->passes.find(aTicket);
      return found != this->passes.end() && found->second >= kMostPasses;
    });
  if (blocking != ordered.end()) {
    ordered.erase(std::next(blocking), ordered.end());
  }
  return ordered;
}

std::vector<AdmissionTicket>
AdmissionWaitQueue::Sorted() const
{
  std::vector<AdmissionTicket> ordered;
  ordered.reserve(this->waiting.size());
  for (const auto& [ticket, request] : this->waiting) {
    ordered.push_back(ticket);
  }
  // At one and the same time: whether calls are late must not change while they are sorted.
  const MonotonicTime now = this->clock.MonotonicNow();
  const auto key = [&](AdmissionTicket aTicket) {
    return KeyOf(this->waiting.at(aTicket), aTicket, now);
  };
  std::sort(
    ordered.begin(), ordered.end(), [&key](AdmissionTicket aFirst, AdmissionTicket aSecond) {
      return key(aFirst) < key(aSecond);
    });
  return ordered;
}

void
AdmissionWaitQueue::SetRank(AdmissionTicket aTicket, const CallRank& aRank)
{
  if (const auto found = this->waiting.find(aTicket); found != this->waiting.end()) {
    found->second.rank = aRank;
  }
}

void
AdmissionWaitQueue::OnBegun(AdmissionTicket aTicket)
{
  this->Decay();
  this->begun += 1;
  for (const auto& [other, request] : this->waiting) {
    if (other != aTicket && this->Precedes(other, aTicket)) {
      ++this->passes[other];
    }
  }
  this->Remove(aTicket);
}

void
AdmissionWaitQueue::Remove(AdmissionTicket aTicket)
{
  this->waiting.erase(aTicket);
  this->passes.erase(aTicket);
}

bool
AdmissionWaitQueue::Precedes(AdmissionTicket aFirst, AdmissionTicket aSecond) const
{
  const MonotonicTime now = this->clock.MonotonicNow();
  return KeyOf(this->waiting.at(aFirst), aFirst, now) <
         KeyOf(this->waiting.at(aSecond), aSecond, now);
}

// Returns whether the calls that come before this one are expected to have begun in time.
bool
AdmissionWaitQueue::IsExpectedToBegin(AdmissionTicket aTicket) const
{
  if (this->begun < kMinObserved) {
    return true;
  }
  const auto ahead =
    std::count_if(this->waiting.begin(), this->waiting.end(), [&](const auto& aOther) {
      return aOther.first != aTicket && this->Precedes(aOther.first, aTicket);
    });
  const double rate = this->begun / kRateSeconds;
  const auto wait = std::chrono::duration<double>(static_cast<double>(ahead) / rate);
  return this->clock.MonotonicNow() + std::chrono::duration_cast<Duration>(wait) <=
         this->waiting.at(aTicket).leavesAt;
}

void
AdmissionWaitQueue::Decay()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const double seconds = std::chrono::duration<double>(now - this->decayedAt).count();
  this->begun *= std::exp(-seconds / kRateSeconds);
  this->decayedAt = now;
}

} // namespace damasklink

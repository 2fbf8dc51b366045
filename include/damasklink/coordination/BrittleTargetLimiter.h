// Keeps targets that fail when they reject too many requests from being overfilled.
//
//   BrittleTargetLimiter limiter(clock, seed);
//   limiter.OnAnswer(target, facts.brittle, sentAt);    // Any answer of the target.
//   limiter.OnRejected(target);                         // It had no room for a request.
//   if (limiter.MaySend(target, load, hosts)) {
//     limiter.OnSent(target.id);
//     ...
//     limiter.OnEnded(target.id, incarnation, took);
//   }
//   Send(limiter.TakeReports());    // To the other hosts, which call OnReport().
//
// Hosts know the load of a target late, so if each filled the free places that it sees, all
// together would send several times as many requests as there is room for. Each host therefore
// keeps to its own part of the places: it limits its requests in progress and gives up a place for
// each rejection, so that a place too many costs one rejection, not one for each request. Parts of
// a place are rounded up if the target bears as many rejections. Otherwise a host with less than
// one place sends a part of its calls, by chance: as many as fill the free places with those of the
// other hosts.
//
// What one target of a service says holds for all of them. Hosts report it to each other, since
// with many hosts most get no answer in time. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/coordination/Target.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

class BrittleTargetLimiter
{
public:
  // A host changes its limit for a target this often: longer than hosts take to learn of each
  // other's requests.
  static constexpr Duration kAdjustInterval = std::chrono::milliseconds(450);
  // A service counts as brittle for this long after the last answer that said so.
  static constexpr Duration kRetention = std::chrono::seconds(5);
  // Between two reports on a service by any host.
  static constexpr Duration kReportInterval = std::chrono::seconds(1);
  // Time after a rejection in which the limit does not rise. Up to as much is added at random.
  static constexpr Duration kRejectionPause = std::chrono::seconds(2);
  // Part of the places that all hosts together leave free, for requests that hosts do not know of.
  static constexpr double kMargin = 0.1;
  // While less than half of the places is taken, a host may use more than its part by up to this
  // factor, since demand is uneven.
  static constexpr double kMaxExcess = 1.5;
  // Places that remain free when requests are sent by rate, in standard deviations of their number.
  static constexpr double kFreeDeviations = 3;
  // The part of the places that is used at least.
  static constexpr double kMinUse = 0.3;

  BrittleTargetLimiter(const Clock& aClock, std::uint64_t aSeed)
    : clock(aClock)
    , random(aSeed)
  {
  }

  // Returns whether no service is known to be brittle.
  bool IsEmpty() const { return this->services.empty(); }

  bool IsBrittle(const ServiceName& aService) const;

  // Processes an answer of the target: the number of rejections per second that it bears, empty if
  // it does not say that it is brittle. Answers to requests that were sent before the target was
  // known to be brittle do not end that, as answers may arrive out of order.
  void OnAnswer(const TargetRecord& aTarget,
                const std::optional<RequestRate>& aTolerated,
                MonotonicTime aSentAt);

  // Another host reports a service.
  void OnReport(const BrittleService& aReport);

  // Returns the services on which this host had answers that say that they are brittle, and on
  // which no host has reported of late.
  std::vector<BrittleService> TakeReports();

  // The target had no room for a request.
  void OnRejected(const TargetRecord& aTarget);

  // Returns whether this host, one of aHosts, may send a request to the target, whose estimated
  // load is aLoad requests of all hosts.
  bool MaySend(const TargetRecord& aTarget, std::uint64_t aLoad, std::uint64_t aHosts);

  // A request was sent to the target, and has ended.
  void OnSent(const TargetRecord& aTarget);
  // aTook is empty if the target did not run it.
  void OnEnded(const TargetId& aTarget,
               Incarnation aIncarnation,
               const std::optional<Duration>& aTook);

  // Removes what is known of services that are not brittle any more.
  void RemoveExpired();

private:
  struct Service
  {
    MonotonicTime knownSince;
    MonotonicTime lastSaidAt;
    // The rejections per second that a target bears.
    RequestRate tolerated;
    // Mean time that requests take, and whether it comes from requests of this host.
    Duration runTime = kAdjustInterval;
    bool measured = false;
    // Whether an answer to this host has said it since the last report.
    bool unreported = false;
    std::optional<MonotonicTime> reportedAt;
  };

  struct Entry
  {
    ServiceName service;
    Incarnation incarnation;
    // Requests of this host in progress, and the most since the limit was last adjusted.
    std::uint64_t inProgress = 0;
    std::uint64_t peak = 0;
    // Whether a request was not sent because of the limit since then.
    bool wanted = false;
    // The most requests that this host may have in progress; empty until it is needed.
    std::optional<std::uint64_t> limit;
    MonotonicTime adjustedAt;
    MonotonicTime pausedUntil;
    // When a call was last considered for the target.
    MonotonicTime consideredAt;
  };

  Entry& EntryOf(const TargetRecord& aTarget);
  std::uint64_t RoundAtRandom(double aNumber);
  void Adjust(Entry& aEntry, double aPart, std::uint64_t aMost);
  static double UsablePlaces(double aSlots, Duration aRunTime);
  bool MaySendByRate(Entry& aEntry, double aSlots, double aLoad, double aHosts);

  const Clock& clock;
  std::minstd_rand random;
  std::map<ServiceName, Service> services;
  std::map<TargetId, Entry> entries;
};

} // namespace damasklink

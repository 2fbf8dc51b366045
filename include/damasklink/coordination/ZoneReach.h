// Whether this host reaches the targets of each availability zone.
//
//   ZoneReach reach(clock, seed);
//   reach.OnStart(target.zone);                  // A call goes there.
//   reach.OnEnd(target.zone, target.id, sign);   // What came of it.
//   if (reach.IsOut(target.zone)) ...            // Send elsewhere.
//
// When a zone is cut off, all its targets are gone at once. Without this each of them costs a call
// until it is ejected by itself, and each kept connection another one: a third of a zone's calls
// for seconds. A zone is out when several of its targets answered nothing within a moment and not a
// byte came from there meanwhile; later one call at a time tries it. A target that refuses a
// connection has ended, and its zone has answered: crashes alone put no zone out, which would leave
// its other targets idle while those elsewhere are overrun. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>

#include "damasklink/coordination/TargetHealth.h"

namespace damasklink {

class ZoneReach
{
public:
  // Targets that must be found gone, none answering in between, until their zone is out.
  static constexpr std::size_t kTargetsGone = 3;
  // Findings that are further apart say nothing of the zone.
  static constexpr Duration kGoneWithin = std::chrono::seconds(1);
  // How long a zone is left alone; a quarter more at most, so that hosts do not come back together.
  static constexpr Duration kOutFor = std::chrono::seconds(2);

  ZoneReach(const Clock& aClock, std::uint64_t aSeed)
    : clock(aClock)
    , random(aSeed)
  {
  }

  // Tells that a call was sent to the zone.
  void OnStart(const ZoneId& aZone);

  // Tells that bytes came from a target of the zone: it is reached, whatever was found before. Of a
  // zone that is reached they come every few milliseconds, also when a third of its targets crash.
  void OnBytes(const ZoneId& aZone) { this->entries.erase(aZone); }

  // Tells what the call showed of its target.
  void OnEnd(const ZoneId& aZone, const TargetId& aTarget, HealthSignal aSign);

  // Returns whether the zone is left alone, or is being tried by a call.
  bool IsOut(const ZoneId& aZone) const;

private:
  struct Entry
  {
    std::set<TargetId> gone;
    MonotonicTime goneSince;
    MonotonicTime outUntil;
    // Was out and has not answered since.
    bool doubted = false;
    bool trying = false;
  };

  void PutOut(Entry& aEntry);

  const Clock& clock;
  std::minstd_rand random;
  // Zones with findings since the last answer from there.
  std::map<ZoneId, Entry> entries;
};

} // namespace damasklink

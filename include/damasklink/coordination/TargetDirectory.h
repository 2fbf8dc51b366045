// The targets as one entry host knows them, merged from what several control hosts state.
//
//   TargetDirectory board;
//   board.Take(controlHost, statement);
//   board.OnLink(controlHost, false);       // Its words stay, but those of others go first.
//   for (const TargetRecord& target : board.Usable(service)) ...
//
// Rules: what left stays gone, unless a later start of it announces itself under the same id, of
// which nothing is known then; a target is usable while any control host that is connected says so;
// when none is connected the last words count, so a host that is cut off goes on with what it knew.
// Targets of evacuated zones are never usable. Not thread-safe.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "damasklink/coordination/ServingPicture.h"

namespace damasklink {

class TargetDirectory
{
public:
  // Targets that are gone and still remembered, so that no late word brings them back; the oldest
  // are forgotten. Each restart of a target leaves one, so this outlasts hours of them.
  static constexpr std::size_t kMaxRemoved = 4096;

  // Takes what a control host states. An older statement of the same host is replaced.
  void Take(const HostId& aFrom, const TargetStatement& aStatement);

  // Tells whether the control host is connected.
  void OnLink(const HostId& aHost, bool aUp);

  // Returns the targets that have started again since the last call, as they are now: whatever is
  // believed of their earlier starts does not hold any more.
  std::vector<TargetRecord> TakeRestarted() { return std::exchange(this->restarted, {}); }

  // Returns the targets that were first heard of since the last call.
  std::vector<TargetRecord> TakeDiscovered() { return std::exchange(this->appeared, {}); }

  // Returns whether more than half of the targets of an availability zone are silent: the zone is
  // rather cut off than its targets gone.
  bool IsMostlySilent(const ZoneId& aZone) const;

  // Tells that the target does not exist any more, as another one at its address said.
  void MarkRemoved(const TargetId& aTarget);

  // Takes the availability zones whose targets get no work; others that had none do again.
  void SetEvacuated(std::set<ZoneId> aZones);
  const std::set<ZoneId>& Evacuated() const { return this->evacuated; }

  // Returns the targets of an availability zone that have not left, usable or not.
  std::vector<TargetRecord> InZone(const ZoneId& aZone) const;

  // Returns the targets of the service that may get new work, ordered by id. When all of them are
  // silent it returns those: a guess serves better than a refusal.
  const std::vector<TargetRecord>& Usable(const ServiceName& aService) const;

  // Returns the newest record of a target that has not left, or null.
  const TargetRecord* Find(const TargetId& aTarget) const;

  // Rises with each change of what Usable() returns.
  std::uint64_t Version() const { return this->version; }

private:
  struct Word
  {
    Sequence sequence;
    TargetStanding standing = TargetStanding::Usable;
    bool paused = false;
  };

  struct Entry
  {
    TargetRecord record;
    std::map<HostId, Word> words;
    bool gone = false;
  };

  void ResetForRestart(const TargetStatement& aStatement, Entry& aEntry);
  void MarkEntryRemoved(const TargetId& aTarget, Entry& aEntry);
  bool IsReportedUsable(const Entry& aEntry) const;
  bool IsPaused(const Entry& aEntry) const;
  void Rebuild() const;
  void Changed();

  std::map<TargetId, Entry> entries;
  std::set<HostId> connected;
  // In the order in which they went.
  std::deque<TargetId> gone;
  std::vector<TargetRecord> restarted;
  std::vector<TargetRecord> appeared;
  std::set<ZoneId> evacuated;
  std::uint64_t version = 1;
  // What Usable() returns, built when it is asked for after a change.
  mutable std::uint64_t builtVersion = 0;
  mutable std::map<ServiceName, std::vector<TargetRecord>> usable;
};

} // namespace damasklink

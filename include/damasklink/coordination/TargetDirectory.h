// The targets as one entry host knows them, merged from the updates of several control hosts.
//
//   TargetDirectory board(ownHost);
//   board.SetSubsets(controlHost, counts);
//   board.Take(controlHost, update);
//   board.OnLink(controlHost, false);     // Disconnected: its reports lose precedence.
//   for (const TargetRecord& target : board.Usable(service)) ...
//
// - A target that has left stays removed, until a later incarnation of it announces itself under
//   the same id. Nothing is kept from the earlier incarnation then.
// - A target is usable while any connected control host reports it as usable. Where no connected
//   control host has reported it, the last reports of the others count, so an entry host that has
//   lost all control hosts continues with what it knew.
// - A control host reports the targets of this host's subset only (TargetSubsets.h). Its reports of
//   other targets are dropped, as it does not report when these leave.
// - Targets of evacuated zones are never usable.
//
// Not thread-safe.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"

namespace damasklink {

class TargetDirectory
{
public:
  // Removed targets that are remembered so that a late update does not bring them back; beyond this
  // the oldest are forgotten. Each restart of a target under a new id adds one, so this covers
  // hours of restarts.
  static constexpr std::size_t kMaxRemoved = 4096;

  explicit TargetDirectory(const HostId& aSelf = HostId())
    : self(SubsetKeyOf(aSelf))
  {
  }

  // Sets the numbers of subsets by which a control host selects the targets that it reports.
  void SetSubsets(const HostId& aFrom, const SubsetCounts& aCounts);

  // Applies the update of a control host. An earlier update of the same host is replaced; one about
  // an earlier incarnation of the target is ignored.
  void Take(const HostId& aFrom, const TargetUpdate& aUpdate);

  // Records whether the control host is connected.
  void OnLink(const HostId& aHost, bool aUp);

  // Returns the new records of the targets that have restarted under their ids since the last call.
  // State that callers keep about the earlier incarnations is obsolete.
  std::vector<TargetRecord> TakeRestarted() { return std::exchange(this->restarted, {}); }

  // Returns the usable targets that were first reported since the last call.
  std::vector<TargetRecord> TakeDiscovered() { return std::exchange(this->discovered, {}); }

  // Returns into how many subsets the targets of the service are divided, of which this host uses
  // one.
  std::uint32_t SubsetCount(const ServiceName& aService) const;

  // Returns whether fewer than half of the targets of an availability zone are reported as usable.
  // The zone is then more likely to be unreachable than its targets to have ended.
  bool IsMostlySilent(const ZoneId& aZone) const;

  // Removes a target because another one answered at its address, or because it said in an answer
  // that it leaves.
  void MarkRemoved(const TargetId& aTarget);

  // Sets the evacuated availability zones, whose targets get no work. Zones that are no longer in
  // the set get work again.
  void SetEvacuated(std::set<ZoneId> aZones);
  const std::set<ZoneId>& Evacuated() const { return this->evacuated; }

  // Returns the targets of an availability zone that are not removed, usable or not.
  std::vector<TargetRecord> InZone(const ZoneId& aZone) const;

  // Returns the targets of the service that may get new work, ordered by id. When there are none it
  // returns the paused targets, and without those the silent ones: trying them is better than
  // refusing the call. The reference is valid until the next change.
  const std::vector<TargetRecord>& Usable(const ServiceName& aService) const;

  // Returns the newest record of a target, or nullptr when it is unknown or removed.
  const TargetRecord* Find(const TargetId& aTarget) const;

  // Increases with each change that may affect Usable().
  std::uint64_t Version() const { return this->version; }

private:
  // What a control host reported last about a target.
  struct HostReport
  {
    Sequence sequence;
    TargetAvailability availability = TargetAvailability::Usable;
    bool paused = false;
  };

  struct Entry
  {
    TargetRecord record;
    std::map<HostId, HostReport> reports;
    bool removed = false;
  };

  void ResetForRestart(const TargetUpdate& aUpdate, Entry& aEntry);
  void MarkEntryRemoved(const TargetId& aTarget, Entry& aEntry);
  bool IsReportedUsable(const Entry& aEntry) const;
  bool IsOutsideSubset(const SubsetCounts& aCounts, const TargetRecord& aTarget) const;
  bool IsExcludedBySubsets(const TargetRecord& aTarget) const;
  bool IsPaused(const Entry& aEntry) const;
  void Rebuild() const;
  void Changed();

  SubsetKey self;
  // By control host; only those that have divided a service.
  std::map<HostId, SubsetCounts> subsets;
  std::map<TargetId, Entry> entries;
  std::set<HostId> connected;
  // Removed targets, oldest first.
  std::deque<TargetId> removed;
  std::vector<TargetRecord> restarted;
  std::vector<TargetRecord> discovered;
  std::set<ZoneId> evacuated;
  std::uint64_t version = 1;
  // The version that `usable` was built for; it is rebuilt on demand.
  mutable std::uint64_t builtVersion = 0;
  mutable std::map<ServiceName, std::vector<TargetRecord>> usable;
};

} // namespace damasklink

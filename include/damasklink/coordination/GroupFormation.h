// Decides when a group is founded, and by whom.
#pragma once

#include <map>
#include <random>
#include <vector>

#include "damasklink/coordination/AgreementMessage.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// Asks all listed voters, in rounds, whether the group was ever formed, for as long as this replica
// knows of no formation. Only answers of the present round count, and a host that said "never
// formed" itself starts a new round, so that no late answer brings back a formation whose founder
// has lost its disk.
//
// The listed voter whose name comes first founds the group, once all others have answered, in one
// round, that it was never formed.
class GroupFormation
{
public:
  struct Outcome
  {
    // Queries to send.
    std::vector<HostId> queriedHosts;
    FormationQuery query;
    // Set when this replica is to found the group with these voters.
    Membership formWith;
    // Set when another has founded it.
    FormationId adopt;
  };

  GroupFormation(const Clock& aClock,
                 Member aSelf,
                 std::vector<HostId> aListedVoters,
                 std::uint64_t aSeed);

  // Requires to be called only while no formation is known.
  Outcome Tick();

  Outcome Receive(const AgreementMessage& aMessage, const FormationAnswer& aAnswer);

  // Makes all answers to earlier queries void.
  void CancelRound();

  // Makes this replica one that only asks: the group was formed before, whatever its disk holds.
  void DisableForming() { this->mayFormGroup = false; }

  // Asks one host more. Requires DisableForming(): a founder needs the word of the listed hosts
  // alone.
  void AddQueriedHost(const HostId& aHost) { this->listed.push_back(aHost); }

  // Returns what this replica founds the group as, should it do so.
  FormationId ProposedFormation() const { return this->proposed; }

private:
  bool MayFormGroup() const
  {
    return this->mayFormGroup && this->listed.front() == this->self.host;
  }

  const Clock& clock;
  Member self;
  std::vector<HostId> listed;
  std::mt19937_64 random;
  FormationId proposed;
  bool mayFormGroup = true;
  std::uint64_t nonce = 0;
  MonotonicTime nextRound;
  std::map<HostId, ReplicaId> neverFormed;
};

} // namespace damasklink

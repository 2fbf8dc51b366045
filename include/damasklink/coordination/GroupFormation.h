// Decides when a group is formed, and by which host.
#pragma once

#include <map>
#include <random>
#include <vector>

#include "damasklink/coordination/AgreementMessage.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// Asks all listed voters, in rounds, whether the group was ever formed, until this replica knows a
// formation. Only answers of the current round count. A host that answers "never formed" itself
// cancels its own current round, so that a late answer cannot make it adopt a formation whose
// founder has lost its disk since.
//
// The listed voter whose name sorts first forms the group once all others have answered, within one
// round, that it was never formed. Not thread-safe.
class GroupFormation
{
public:
  struct Outcome
  {
    // Hosts to send the query to.
    std::vector<HostId> queriedHosts;
    FormationQuery query;
    // Set if this replica must form the group with these voters.
    Membership formWith;
    // Set if another replica has formed the group.
    FormationId adopt;
  };

  GroupFormation(const Clock& aClock,
                 Member aSelf,
                 std::vector<HostId> aListedVoters,
                 std::uint64_t aSeed);

  // Starts a new round when one is due. Must be called only while no formation is known.
  Outcome Tick();

  Outcome Receive(const AgreementMessage& aMessage, const FormationAnswer& aAnswer);

  // Must be called when a connection to the host is up: what was sent to it before is lost. Asks it
  // again in the current round.
  Outcome OnHostUp(const HostId& aHost) const;

  // Cancels the current round: answers to earlier queries are ignored.
  void CancelRound();

  // Prevents this replica from forming the group, because the group is known to have been formed
  // before even if the disk of this host is empty.
  void DisableForming() { this->mayFormGroup = false; }

  // Adds a host to be queried. Requires DisableForming(), since the decision to form the group
  // depends on the answers of the listed hosts alone.
  void AddQueriedHost(const HostId& aHost) { this->listed.push_back(aHost); }

  // Returns the formation under which this replica would form the group.
  FormationId ProposedFormation() const { return this->proposed; }

private:
  bool MayFormGroup() const
  {
    return this->mayFormGroup && this->listed.front() == this->self.host;
  }

  FormationQuery MakeQuery() const;

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

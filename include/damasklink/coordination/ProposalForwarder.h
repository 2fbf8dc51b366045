// Follows each proposal of this host until it is answered or its time is over.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "damasklink/coordination/AgreementMessage.h"
#include "damasklink/coordination/Replication.h"

namespace damasklink {

// Sends proposals to where the leader is believed to be, and again elsewhere when that host
// refuses or is silent. Copies of one proposal are applied once (ProposerSessions.h), so it may do
// so as long as the proposer asks for the answer.
//
//   ProposalForwarder forwarder(clock, host, processTag);
//   forwarder.Start(group, voters, part, command, timeout, done);
//   forwarder.Tick();
//   for (AgreementMessage& message : forwarder.TakeMessages()) { ... }
class ProposalForwarder
{
public:
  // Requires that aProposer is random for each process and not zero.
  ProposalForwarder(const Clock& aClock, HostId aHost, std::uint64_t aProposer);

  // aVoters are the hosts that may lead the group; aDone comes at once when there are none.
  void Start(const GroupId& aGroup,
             const std::vector<HostId>& aVoters,
             StateMachineId aPart,
             std::string aCommand,
             Duration aTimeout,
             ProposalDone aDone);

  // Takes a ProposalAnswer or ProposalRefusal; ignores all else.
  void Receive(const AgreementMessage& aMessage);

  // Sends what is pending to a leader that this host has learnt of otherwise; does nothing when it
  // is empty or known.
  void ReportLeader(const GroupId& aGroup, const HostId& aLeader);

  void Tick();

  std::vector<AgreementMessage> TakeMessages() { return std::exchange(this->outbox, {}); }

  // Returns the host that last answered for the group, empty when none did.
  HostId LastLeader(const GroupId& aGroup) const;

private:
  struct Pending
  {
    StateMachineId part;
    std::string command;
    ProposalDone done;
    MonotonicTime deadline;
    MonotonicTime nextAttempt;
    // Sendings that were not refused: any of them may have been applied.
    std::set<Sequence> openAttempts;
    int redirectsFollowed = 0;
  };

  struct Group
  {
    std::vector<HostId> voters;
    std::size_t nextVoter = 0;
    // Empty: try the voters in turn.
    HostId leader;
    // The one that ReportLeader() named last.
    HostId reportedLeader;
    Sequence lastSequence;
    std::map<Sequence, Pending> pending;
  };

  void Send(const GroupId& aGroup, Group& aState, Sequence aSequence, Pending& aPending);
  void OnAnswer(Group& aState, const AgreementMessage& aMessage, const ProposalAnswer& aAnswer);
  void OnRefusal(const GroupId& aGroup, Group& aState, const ProposalRefusal& aRefusal);
  void TickGroup(const GroupId& aGroup, Group& aState);

  const Clock& clock;
  HostId host;
  std::uint64_t proposer;
  Sequence lastAttempt;
  std::map<GroupId, Group> groups;
  std::vector<AgreementMessage> outbox;
};

} // namespace damasklink

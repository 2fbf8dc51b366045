// Sends the proposals of this host to the leaders of groups until they are answered or time out.
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

// Sends each proposal to the presumed leader, and to another host when that one refuses it or does
// not answer. Duplicates of a proposal are applied only once (ProposerSessions.h), so it may be
// resent as long as the proposer waits for the answer. Not thread-safe.
//
//   ProposalForwarder forwarder(clock, host, proposer);
//   forwarder.Start(group, voters, machineId, command, timeout, done);
//   forwarder.Tick();
//   for (AgreementMessage& message : forwarder.TakeMessages()) { ... }
class ProposalForwarder
{
public:
  // aProposer identifies this process. It must be random and not zero.
  ProposalForwarder(const Clock& aClock, HostId aHost, std::uint64_t aProposer);

  // Sends a proposal. aVoters are the hosts that may lead the group; if there are none, aDone is
  // called before this returns. aTimeout is limited to five minutes.
  void Start(const GroupId& aGroup,
             const std::vector<HostId>& aVoters,
             StateMachineId aMachineId,
             std::string aCommand,
             Duration aTimeout,
             ProposalDone aDone);

  // Processes a ProposalAnswer or ProposalRefusal; ignores other messages.
  void Receive(const AgreementMessage& aMessage);

  // Reports a leader that was discovered by other means, and resends the pending proposals to it.
  // Does nothing if aLeader is empty or was the last one reported.
  void ReportLeader(const GroupId& aGroup, const HostId& aLeader);

  // Resends proposals when due and completes those that timed out. Must be called regularly.
  void Tick();

  std::vector<AgreementMessage> TakeMessages() { return std::exchange(this->outbox, {}); }

  // Returns the host that proposals for the group are sent to, usually the last one that answered.
  // Empty if unknown.
  HostId LastLeader(const GroupId& aGroup) const;

private:
  struct Pending
  {
    StateMachineId machineId;
    std::string command;
    ProposalDone done;
    MonotonicTime deadline;
    MonotonicTime nextAttempt;
    // Attempts that were not refused; any of them may have been applied.
    std::set<Sequence> openAttempts;
    Sequence lastAttempt;
    // Where the last attempt was sent that is still waited for. Empty while the proposal waits to
    // be sent.
    HostId sentTo;
    int redirectsFollowed = 0;
  };

  struct Group
  {
    std::vector<HostId> voters;
    std::size_t nextVoter = 0;
    // Empty if unknown; then the voters are tried in turn.
    HostId leader;
    // The last leader that was passed to ReportLeader().
    HostId reportedLeader;
    Sequence lastSequence;
    std::map<Sequence, Pending> pending;
    // Those that wait to be sent.
    std::set<Sequence> waiting;
    // Bytes of the others, by the host that they were sent to.
    std::map<HostId, std::size_t> bytesInFlight;
  };

  // Sends the proposals that wait, oldest first, as far as the connection to the leader has room.
  void SendWaiting(const GroupId& aGroup, Group& aState);
  // Sets the host to ask if no leader is known.
  void ChooseLeader(Group& aState, const Pending& aPending) const;
  bool HasRoom(const Group& aState, const Pending& aPending) const;
  // Makes a proposal wait until it is due at aNextAttempt.
  static void Wait(Group& aState,
                   Sequence aSequence,
                   Pending& aPending,
                   MonotonicTime aNextAttempt);
  static void RemoveInFlight(Group& aState, Pending& aPending);
  void Send(const GroupId& aGroup, Group& aState, Sequence aSequence, Pending& aPending);
  void OnAnswer(const AgreementMessage& aMessage, Group& aState, const ProposalAnswer& aAnswer);
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

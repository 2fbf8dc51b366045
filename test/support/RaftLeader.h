// Short ways to a leading RaftCore for unit tests.
#pragma once

#include "damasklink/coordination/RaftCore.h"

namespace damasklink::testing {

constexpr ReplicaId kSelf(1);
constexpr ReplicaId kPeer(2);
constexpr ReplicaId kThird(3);

inline RaftOptions
MakeRaftOptions()
{
  RaftOptions options;
  options.group = GroupId("group");
  options.host = HostId("self");
  options.replica = kSelf;
  return options;
}

// Returns a log with nothing but its founding, by this replica alone or by three.
inline RecoveredLog
MakeFoundedLog(bool aWithPeers)
{
  LogEntry founding;
  founding.index = LogIndex(1);
  founding.term = Term(1);
  founding.kind = EntryKind::Membership;
  founding.membership.members = { Member{ HostId("self"), kSelf, true } };
  if (aWithPeers) {
    founding.membership.members.push_back(Member{ HostId("peer"), kPeer, true });
    founding.membership.members.push_back(Member{ HostId("third"), kThird, true });
  }
  return RecoveredLog{ HardState{ FormationId(1), Term(1), kSelf }, nullptr, { founding } };
}

inline AgreementMessage
MessageFrom(ReplicaId aReplica, Term aTerm, AgreementBody aBody)
{
  AgreementMessage message;
  message.formation = FormationId(1);
  message.fromHost = HostId("peer");
  message.from = aReplica;
  message.to = kSelf;
  message.term = aTerm;
  message.body = std::move(aBody);
  return message;
}

// Syncs everything until nothing is left to do, and returns the last committed entry.
inline LogEntry
Settle(RaftCore& aCore)
{
  LogEntry last;
  aCore.Tick();
  for (int round = 0; round < 10; ++round) {
    RaftActions actions = aCore.TakeActions();
    if (actions.persist) {
      aCore.OnPersisted(actions.persist->number);
    }
    if (!actions.committed.empty()) {
      last = actions.committed.back();
    }
  }
  return last;
}

} // namespace damasklink::testing

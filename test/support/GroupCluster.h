// Several replicas of one group on a fake network and fake disks, driven step by step.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "damasklink/coordination/GroupReplica.h"
#include "damasklink/coordination/ProposalForwarder.h"
#include "damasklink/state/DataFolder.h"
#include "damasklink/state/LogStore.h"

#include "FakeDisk.h"
#include "ListMachine.h"

namespace damasklink::testing {

// One host. Its disk outlives its process.
struct ClusterNode
{
  struct Process
  {
    ReplicaId replica;
    std::unique_ptr<LogStore> store;
    ListMachine machine;
    std::unique_ptr<GroupReplica> group;
    std::unique_ptr<ProposalForwarder> tracker;
    std::vector<PersistBatch> unwritten;
  };

  HostId host;
  std::unique_ptr<FakeDisk> disk = std::make_unique<FakeDisk>();
  std::unique_ptr<Process> process;
  bool frozen = false;
  bool diskHangs = false;
  // Whether the host may form the group: it has never lost its disk, and is no later successor.
  bool firstStart = true;
};

struct ClusterOptions
{
  RaftTiming timing;
  std::size_t maxMessageBytes = 64;
  // If set, the first founders form the group with each other, and all other hosts are discovered.
  std::optional<std::size_t> maxVoters;
  std::size_t founders = 3;
};

// Asserts after every step what must always hold.
class GroupCluster
{
public:
  GroupCluster(std::size_t aNodes, std::uint64_t aSeed, const ClusterOptions& aOptions = {})
    : clusterOptions(aOptions)
    , random(aSeed)
  {
    for (std::size_t index = 0; index < aNodes; ++index) {
      this->hosts.push_back(HostId("host-" + std::to_string(index)));
      this->nodes.emplace_back().host = this->hosts.back();
    }
    for (std::size_t index = 0; index < aNodes; ++index) {
      this->Start(index);
    }
  }

  ClusterNode& Node(std::size_t aNode) { return this->nodes[aNode]; }
  std::size_t Size() const { return this->nodes.size(); }
  std::size_t MessagesSent() const { return this->messagesSent; }
  const std::set<std::string>& Acknowledged() const { return this->acknowledged; }

  void Start(std::size_t aNode)
  {
    ClusterNode& node = this->nodes[aNode];
    node.frozen = false;
    auto process = std::make_unique<ClusterNode::Process>();
    auto folder = OpenDataFolder(*node.disk, "data", ReplicaId(this->random() | 1U));
    if (!folder) {
      return this->FailStart(aNode, folder.error());
    }
    process->replica = folder.value().replica;
    process->store = std::make_unique<LogStore>(*node.disk, folder.value().GroupFolder(this->id));
    auto recovered = process->store->Open();
    if (!recovered) {
      return this->FailStart(aNode, recovered.error());
    }
    GroupOptions options;
    options.raft.group = this->id;
    options.raft.host = node.host;
    options.raft.replica = process->replica;
    options.raft.seed = this->random();
    options.raft.timing = this->clusterOptions.timing;
    options.raft.maxMessageBytes = this->clusterOptions.maxMessageBytes;
    options.raft.trailingEntries = 3;
    options.listedVoters = this->hosts;
    if (this->clusterOptions.maxVoters) {
      options.listedVoters.resize(std::min(this->Size(), this->clusterOptions.founders));
      options.mayFormGroup = node.firstStart;
      options.maxVoters = this->clusterOptions.maxVoters;
    }
    options.snapshotEntries = 12;
    process->group =
      std::make_unique<GroupReplica>(this->clock, options, std::move(recovered.value()));
    process->group->Machines().Add(StateMachineId::Claims, process->machine);
    process->tracker = std::make_unique<ProposalForwarder>(this->clock, node.host, this->random());
    node.process = std::move(process);
    if (this->clusterOptions.maxVoters) {
      this->Introduce(aNode);
    }
  }

  // Adds a host with an empty disk while the others run.
  std::size_t Add()
  {
    this->hosts.push_back(HostId("host-" + std::to_string(this->Size())));
    ClusterNode& added = this->nodes.emplace_back();
    added.host = this->hosts.back();
    added.firstStart = false;
    this->Start(this->Size() - 1);
    return this->Size() - 1;
  }

  void Kill(std::size_t aNode, bool aCutPower)
  {
    this->nodes[aNode].process.reset();
    this->nodes[aNode].disk->KillProcess();
    if (aCutPower) {
      this->nodes[aNode].disk->CutPower(this->random);
    }
  }

  // Replaces the disk by an empty one and starts again.
  void Wipe(std::size_t aNode)
  {
    this->nodes[aNode].process.reset();
    this->nodes[aNode].disk = std::make_unique<FakeDisk>();
    this->nodes[aNode].firstStart = false;
    this->Start(aNode);
  }

  // Returns whether all nodes run and the leader's group consists of just their replicas.
  bool IsWhole() const
  {
    const std::optional<std::size_t> leader = this->Leader();
    if (!leader) {
      return false;
    }
    const RaftLog& log = this->Core(*leader).Log();
    const auto votes = [&](const ClusterNode& aNode) {
      return aNode.process != nullptr && log.NewestMembership().IsVoter(aNode.process->replica);
    };
    return log.NewestMembership().members.size() == this->Size() &&
           this->Core(*leader).Committed() >= log.MembershipIndex() &&
           std::all_of(this->nodes.begin(), this->nodes.end(), votes);
  }

  // Lets messages of one direction vanish.
  void Cut(std::size_t aFrom, std::size_t aTo)
  {
    this->cuts.insert({ this->hosts[aFrom], this->hosts[aTo] });
  }

  // Cuts a node off from all others, both ways.
  void Isolate(std::size_t aNode)
  {
    for (std::size_t other = 0; other < this->Size(); ++other) {
      this->Cut(aNode, other);
      this->Cut(other, aNode);
    }
    this->cuts.erase({ this->hosts[aNode], this->hosts[aNode] });
  }

  void HealNetwork() { this->cuts.clear(); }

  // Ends the cuts from and to one node.
  void Reconnect(std::size_t aNode)
  {
    std::erase_if(this->cuts, [&](const auto& aCut) {
      return aCut.first == this->hosts[aNode] || aCut.second == this->hosts[aNode];
    });
  }

  // Drops all messages under way.
  void ResetConnections() { this->network.clear(); }

  void Propose(std::size_t aNode)
  {
    if (this->nodes[aNode].process == nullptr) {
      return;
    }
    const std::string command = "c" + std::to_string(this->nextCommand++);
    const auto done = [this, command](const Result<std::string>& aAnswer) {
      if (aAnswer) {
        RC_ASSERT(aAnswer.value() == command);
        this->acknowledged.insert(command);
        const auto position = std::find(this->applied.begin(), this->applied.end(), command);
        RC_ASSERT(position != this->applied.end());
        this->leastApplied =
          std::max<std::size_t>(this->leastApplied, position - this->applied.begin() + 1);
      } else if (aAnswer.error().kind != ErrorKind::DeadlineExceeded) {
        this->refused.insert(command);
      }
    };
    this->nodes[aNode].process->tracker->Start(
      this->id, this->hosts, StateMachineId::Claims, command, std::chrono::seconds(20), done);
  }

  void Advance(Duration aStep) { this->clock.Advance(aStep); }

  void Tick(std::size_t aNode)
  {
    ClusterNode& node = this->nodes[aNode];
    if (node.process != nullptr && !node.frozen) {
      node.process->tracker->Tick();
      node.process->group->Tick();
      node.process->tracker->ReportLeader(this->id, node.process->group->Status().leader);
      this->Collect(node);
    }
  }

  // Writes and syncs what the node has handed to its disk.
  void Sync(std::size_t aNode)
  {
    ClusterNode& node = this->nodes[aNode];
    const bool idle = node.process == nullptr || node.process->unwritten.empty();
    if (idle || node.frozen || node.diskHangs) {
      return;
    }
    const auto batches = std::exchange(node.process->unwritten, {});
    if (node.process->store->Write(batches)) {
      node.process->group->OnPersisted(batches.back().number);
      this->Collect(node);
    } else {
      this->Kill(aNode, true);
    }
  }

  enum class Fate
  {
    Deliver,
    Drop,
    Repeat,
  };

  // Lets one message under way meet its fate. Returns whether it did: messages to a frozen node
  // wait for it.
  bool Move(std::size_t aPosition, Fate aFate)
  {
    if (this->network.empty()) {
      return false;
    }
    const auto position = this->network.begin() + aPosition % this->network.size();
    const AgreementMessage message = *position;
    const auto host = std::find(this->hosts.begin(), this->hosts.end(), message.toHost);
    ClusterNode& to = this->nodes[static_cast<std::size_t>(host - this->hosts.begin())];
    const bool arrives =
      to.process != nullptr && !this->cuts.contains({ message.fromHost, message.toHost });
    if (aFate == Fate::Deliver && arrives && to.frozen) {
      return false;
    }
    if (aFate != Fate::Repeat) {
      this->network.erase(position);
    }
    if (aFate != Fate::Drop && arrives && !to.frozen) {
      to.process->tracker->Receive(message);
      to.process->group->Receive(message);
      this->Collect(to);
    }
    return true;
  }

  // Lets everything work for some time.
  void Run(Duration aTime)
  {
    constexpr Duration kStep = std::chrono::milliseconds(50);
    for (Duration passed{}; passed < aTime; passed += kStep) {
      this->Advance(kStep);
      for (std::size_t node = 0; node < this->Size(); ++node) {
        this->Tick(node);
        this->Sync(node);
      }
      std::size_t waiting = 0;
      for (std::size_t moves = this->network.size() * 3; moves > 0; --moves) {
        waiting += this->Move(waiting, Fate::Deliver) ? 0 : 1;
      }
      for (std::size_t node = 0; node < this->Size(); ++node) {
        this->Sync(node);
      }
    }
  }

  // Lets time pass in one step, in which some messages and some disks take longer than the step.
  void RunUnevenly(Duration aStep)
  {
    this->Advance(aStep);
    for (std::size_t node = 0; node < this->Size(); ++node) {
      this->Tick(node);
    }
    std::size_t waiting = 0;
    for (std::size_t moves = this->network.size() * 2; moves > 0; --moves) {
      const bool moved = this->random() % 4 != 0 && this->Move(waiting, Fate::Deliver);
      waiting += moved ? 0 : 1;
      if (waiting >= this->network.size()) {
        break;
      }
    }
    for (std::size_t node = 0; node < this->Size(); ++node) {
      if (this->random() % 2 == 0) {
        this->Sync(node);
      }
    }
  }

  // Returns the node that may act as leader, nothing while there is none.
  std::optional<std::size_t> Leader() const
  {
    for (std::size_t node = 0; node < this->Size(); ++node) {
      if (this->nodes[node].process != nullptr && this->Core(node).LeaseHeld()) {
        return node;
      }
    }
    return std::nullopt;
  }

  const RaftCore& Core(std::size_t aNode) const
  {
    return this->nodes[aNode].process->group->Core();
  }

  // Brings everything back and checks that nothing acknowledged is missing and nothing refused was
  // applied.
  void HealAndCheck()
  {
    this->HealNetwork();
    for (std::size_t node = 0; node < this->Size(); ++node) {
      this->nodes[node].frozen = false;
      this->nodes[node].diskHangs = false;
      this->nodes[node].disk->FailAfter(-1);
      if (this->nodes[node].process == nullptr) {
        this->Start(node);
      }
    }
    this->Run(std::chrono::seconds(30));
    RC_ASSERT(this->IsWhole());
    const auto& commands = this->nodes[*this->Leader()].process->machine.commands;
    const std::set<std::string> once(commands.begin(), commands.end());
    RC_ASSERT(once.size() == commands.size());
    RC_ASSERT(std::includes(
      once.begin(), once.end(), this->acknowledged.begin(), this->acknowledged.end()));
    for (const std::string& command : this->refused) {
      RC_ASSERT(!once.contains(command));
    }
    for (const ClusterNode& node : this->nodes) {
      RC_ASSERT(node.process->machine.commands == commands);
    }
  }

private:
  // Lets a node and all others that run know of each other.
  void Introduce(std::size_t aNode)
  {
    for (ClusterNode& other : this->nodes) {
      this->nodes[aNode].process->group->AddDiscoveredHost(other.host);
      if (other.process != nullptr) {
        other.process->group->AddDiscoveredHost(this->hosts[aNode]);
      }
    }
  }

  // Only a schedule that ended the process in the middle may keep it from starting.
  void FailStart(std::size_t aNode, const Error& aError)
  {
    if (!this->nodes[aNode].disk->Failed()) {
      RC_FAIL(Describe(aError));
    }
    this->Kill(aNode, true);
  }

  void Collect(ClusterNode& aNode)
  {
    ClusterNode::Process& process = *aNode.process;
    GroupActions actions = process.group->TakeActions();
    RC_ASSERT(!process.group->Failure().has_value());
    if (actions.persist) {
      process.unwritten.push_back(std::move(*actions.persist));
    }
    for (const auto& messages : { actions.messages, process.tracker->TakeMessages() }) {
      this->network.insert(this->network.end(), messages.begin(), messages.end());
      this->messagesSent += messages.size();
    }
    this->CheckNode(process);
  }

  void CheckNode(const ClusterNode::Process& aProcess)
  {
    const RaftCore& core = aProcess.group->Core();
    if (core.Role() == RaftRole::Leader) {
      const auto [position, first] =
        this->leaders.try_emplace(core.CurrentTerm(), aProcess.replica);
      RC_ASSERT(position->second == aProcess.replica);
    }
    this->committedTerm = std::max(this->committedTerm, *core.Log().TermAt(core.Committed()));
    // Whoever commits in a later term must have waited out every lease.
    for (std::size_t node = 0; node < this->Size(); ++node) {
      const bool leased = this->nodes[node].process != nullptr && this->Core(node).LeaseHeld();
      const bool overruled = leased && this->Core(node).CurrentTerm() < this->committedTerm;
      RC_ASSERT(!overruled);
    }
    const auto& commands = aProcess.machine.commands;
    // Whoever may answer reads knows all that was acknowledged.
    RC_ASSERT(!core.LeaseHeld() || commands.size() >= this->leastApplied);
    for (std::size_t index = 0; index < commands.size(); ++index) {
      if (index == this->applied.size()) {
        this->applied.push_back(commands[index]);
      }
      RC_ASSERT(this->applied[index] == commands[index]);
    }
  }

  GroupId id{ "claims/hall" };
  ClusterOptions clusterOptions;
  ManualClock clock;
  std::mt19937_64 random;
  std::vector<HostId> hosts;
  std::vector<ClusterNode> nodes;
  std::vector<AgreementMessage> network;
  std::set<std::pair<HostId, HostId>> cuts;
  std::map<Term, ReplicaId> leaders;
  Term committedTerm;
  std::vector<std::string> applied;
  // How many commands cover all that was acknowledged.
  std::size_t leastApplied = 0;
  std::set<std::string> acknowledged;
  std::set<std::string> refused;
  std::uint64_t nextCommand = 0;
  std::size_t messagesSent = 0;
};

} // namespace damasklink::testing

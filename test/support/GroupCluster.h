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
#include "damasklink/coordination/ProposalTracker.h"
#include "damasklink/state/DataFolder.h"
#include "damasklink/state/LogStore.h"

#include "FakeDisk.h"

namespace damasklink::testing {

// Keeps the commands in the order in which they were applied.
class ListMachine final : public ReplicatedMachine
{
public:
  std::string Apply(const ApplyContext& /*aContext*/, std::string_view aCommand) override
  {
    this->commands.emplace_back(aCommand);
    return std::string(aCommand);
  }

  std::string Save() const override
  {
    std::string all;
    for (const std::string& command : this->commands) {
      all += command + "\n";
    }
    return all;
  }

  Result<void> Load(std::string_view aSnapshot) override
  {
    this->commands.clear();
    std::size_t start = 0;
    for (std::size_t end = aSnapshot.find('\n'); end != std::string_view::npos;
         end = aSnapshot.find('\n', start)) {
      this->commands.emplace_back(aSnapshot.substr(start, end - start));
      start = end + 1;
    }
    return Success();
  }

  std::vector<std::string> commands;
};

// One host. Its disk outlives its process.
struct ClusterNode
{
  struct Process
  {
    ReplicaId replica;
    std::unique_ptr<LogStore> store;
    ListMachine machine;
    std::unique_ptr<GroupReplica> group;
    std::unique_ptr<ProposalTracker> tracker;
    std::vector<PersistBatch> unwritten;
  };

  HostId host;
  std::unique_ptr<FakeDisk> disk = std::make_unique<FakeDisk>();
  std::unique_ptr<Process> process;
  bool frozen = false;
};

// Asserts after every step what must always hold.
class GroupCluster
{
public:
  GroupCluster(std::size_t aNodes, std::uint64_t aSeed)
    : random(aSeed)
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
    options.raft.mostMessageBytes = 64;
    options.raft.trailingEntries = 3;
    options.listedVoters = this->hosts;
    options.snapshotEntries = 12;
    process->group =
      std::make_unique<GroupReplica>(this->clock, options, std::move(recovered.value()));
    process->group->Machines().Add(MachinePart::Claims, process->machine);
    process->tracker = std::make_unique<ProposalTracker>(this->clock, node.host, this->random());
    node.process = std::move(process);
  }

  void Kill(std::size_t aNode, bool aCutPower)
  {
    ClusterNode& node = this->nodes[aNode];
    node.process.reset();
    if (aCutPower) {
      node.disk->CutPower(this->random);
    } else {
      node.disk->KillProcess();
    }
  }

  // Replaces the disk by an empty one.
  void Wipe(std::size_t aNode)
  {
    this->nodes[aNode].process.reset();
    this->nodes[aNode].disk = std::make_unique<FakeDisk>();
  }

  // Lets messages of one direction vanish, or pass again.
  void SetCut(std::size_t aFrom, std::size_t aTo, bool aCut)
  {
    if (aCut) {
      this->cuts.insert({ this->hosts[aFrom], this->hosts[aTo] });
    } else {
      this->cuts.erase({ this->hosts[aFrom], this->hosts[aTo] });
    }
  }

  void HealNetwork() { this->cuts.clear(); }

  void Propose(std::size_t aNode)
  {
    ClusterNode& node = this->nodes[aNode];
    if (node.process == nullptr) {
      return;
    }
    const std::string command = "c" + std::to_string(this->nextCommand++);
    node.process->tracker->Start(this->id,
                                 this->hosts,
                                 MachinePart::Claims,
                                 command,
                                 std::chrono::seconds(20),
                                 [this, command](const Result<std::string>& aAnswer) {
                                   if (aAnswer) {
                                     RC_ASSERT(aAnswer.value() == command);
                                     this->acknowledged.insert(command);
                                   } else if (aAnswer.error().kind != ErrorKind::DeadlineExceeded) {
                                     this->refused.insert(command);
                                   }
                                 });
  }

  void Advance(Duration aStep) { this->clock.Advance(aStep); }

  void Tick(std::size_t aNode)
  {
    ClusterNode& node = this->nodes[aNode];
    if (node.process != nullptr && !node.frozen) {
      node.process->tracker->Tick();
      node.process->group->Tick();
      this->Collect(node);
    }
  }

  // Writes and syncs what the node has handed to its disk.
  void Sync(std::size_t aNode)
  {
    ClusterNode& node = this->nodes[aNode];
    if (node.process == nullptr || node.frozen || node.process->unwritten.empty()) {
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

  // Lets one message under way meet its fate.
  void Move(std::size_t aPosition, Fate aFate)
  {
    if (this->network.empty()) {
      return;
    }
    const auto position = this->network.begin() + aPosition % this->network.size();
    const AgreementMessage message = *position;
    ClusterNode& to = this->NodeOf(message.toHost);
    const bool arrives =
      to.process != nullptr && !this->cuts.contains({ message.fromHost, message.toHost });
    if (aFate == Fate::Deliver && arrives && to.frozen) {
      return;
    }
    if (aFate != Fate::Repeat) {
      this->network.erase(position);
    }
    if (aFate != Fate::Drop && arrives && !to.frozen) {
      to.process->tracker->Receive(message);
      to.process->group->Receive(message);
      this->Collect(to);
    }
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
      for (std::size_t moves = this->network.size() * 3; moves > 0; --moves) {
        this->Move(0, Fate::Deliver);
      }
      for (std::size_t node = 0; node < this->Size(); ++node) {
        this->Sync(node);
      }
    }
  }

  // Returns the node that may act as leader, nothing while there is none.
  std::optional<std::size_t> Leader() const
  {
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
      const auto& process = this->nodes[node].process;
      if (process != nullptr && process->group->Core().LeaseHeld()) {
        return node;
      }
    }
    return std::nullopt;
  }

  // Brings everything back and checks that nothing acknowledged is missing and nothing refused was
  // applied.
  void HealAndCheck()
  {
    this->HealNetwork();
    for (std::size_t node = 0; node < this->Size(); ++node) {
      this->nodes[node].frozen = false;
      this->nodes[node].disk->FailAfter(-1);
      if (this->nodes[node].process == nullptr) {
        this->Start(node);
      }
    }
    this->Run(std::chrono::seconds(30));
    const std::optional<std::size_t> leader = this->Leader();
    RC_ASSERT(leader.has_value());
    const auto& commands = this->nodes[*leader].process->machine.commands;
    const std::set<std::string> applied(commands.begin(), commands.end());
    RC_ASSERT(applied.size() == commands.size());
    for (const std::string& command : this->acknowledged) {
      RC_ASSERT(applied.contains(command));
    }
    for (const std::string& command : this->refused) {
      RC_ASSERT(!applied.contains(command));
    }
    for (const ClusterNode& node : this->nodes) {
      RC_ASSERT(node.process->machine.commands == commands);
    }
  }

private:
  // Only a schedule that ended the process in the middle may keep it from starting.
  void FailStart(std::size_t aNode, const Error& aError)
  {
    if (!this->nodes[aNode].disk->Failed()) {
      RC_FAIL(Describe(aError));
    }
    this->Kill(aNode, true);
  }

  ClusterNode& NodeOf(const HostId& aHost)
  {
    const auto found = std::find(this->hosts.begin(), this->hosts.end(), aHost);
    return this->nodes[static_cast<std::size_t>(found - this->hosts.begin())];
  }

  void Collect(ClusterNode& aNode)
  {
    ClusterNode::Process& process = *aNode.process;
    GroupActions actions = process.group->TakeActions();
    RC_ASSERT(!process.group->Failure().has_value());
    if (actions.persist) {
      process.unwritten.push_back(std::move(*actions.persist));
    }
    for (AgreementMessage& message : actions.messages) {
      this->network.push_back(std::move(message));
    }
    for (AgreementMessage& message : process.tracker->TakeMessages()) {
      this->network.push_back(std::move(message));
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
    // Whoever leads a later term in earnest must have waited out every lease.
    for (const ClusterNode& other : this->nodes) {
      const bool another = other.process != nullptr && other.process.get() != &aProcess;
      const bool twoLeases =
        another && core.LeaseHeld() && other.process->group->Core().LeaseHeld();
      RC_ASSERT(!twoLeases);
    }
    const auto& commands = aProcess.machine.commands;
    for (std::size_t index = 0; index < commands.size(); ++index) {
      if (index == this->applied.size()) {
        this->applied.push_back(commands[index]);
      }
      RC_ASSERT(this->applied[index] == commands[index]);
    }
  }

  GroupId id{ "claims/hall" };
  ManualClock clock;
  std::mt19937_64 random;
  std::vector<HostId> hosts;
  std::vector<ClusterNode> nodes;
  std::vector<AgreementMessage> network;
  std::set<std::pair<HostId, HostId>> cuts;
  std::map<Term, ReplicaId> leaders;
  std::vector<std::string> applied;
  std::set<std::string> acknowledged;
  std::set<std::string> refused;
  std::uint64_t nextCommand = 0;
};

} // namespace damasklink::testing

#include "ConfigurationModule.h"

#include "damasklink/protocol/ConfigCodec.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr Duration kChangeTimeout = std::chrono::seconds(5);

} // namespace

ConfigurationModule::ConfigurationModule(const HostContext& aContext,
                                         Replicator& aGroups,
                                         const HostMembership& aMembership)
  : context(aContext)
  , groups(aGroups)
  , distributor(aContext.clock, aContext.settings, aMembership, this->index)
  , machine(this)
{
  this->groups.AddMachine(ControlGroupId(), StateMachineId::Configuration, this->machine);
}

Result<void>
ConfigurationModule::UseStoredTree(const std::string& aFolder)
{
  this->writer = std::make_unique<TreeWriter>(this->context.clock, aFolder);
  auto stored = this->writer->Read();
  if (!stored) {
    return Fail(stored.error());
  }
  this->distributor.OnTree(stored.value());
  this->writer->Start();
  return Success();
}

void
ConfigurationModule::OnChange(const TreeChange& aChange)
{
  this->distributor.OnCommitted(aChange, this->ControlStatus().leading);
}

void
ConfigurationModule::OnTree(const RevisionedTree& aTree)
{
  this->distributor.OnTree(aTree);
}

void
ConfigurationModule::OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage)
{
  auto message = DecodeConfigMessage(aMessage.payload);
  if (!message) {
    LogEvent(LogLevel::Warning, "configuration_message_refused")
      .With("from", aFrom)
      .With("error", message.error());
    return;
  }
  this->distributor.OnMessage(aFrom, message.value());
  this->SendOutgoing();
  this->PublishChanges();
}

void
ConfigurationModule::OnTick(MonotonicTime /*aNow*/)
{
  const GroupStatus status = this->ControlStatus();
  this->distributor.OnTick(status.leaseHeld);
  this->SeedWhenEmpty(status.leaseHeld);
  this->SendOutgoing();
  this->PublishChanges();
}

void
ConfigurationModule::Change(const ConfigChange& aChange,
                            std::function<void(Result<ChangeAnswer>)> aDone)
{
  this->groups.Propose(ControlGroupId(),
                       StateMachineId::Configuration,
                       PackConfigChange(aChange),
                       kChangeTimeout,
                       [done = std::move(aDone)](Result<std::string> aAnswer) {
                         if (!aAnswer) {
                           done(Fail(aAnswer.error()));
                           return;
                         }
                         done(UnpackChangeAnswer(aAnswer.value()));
                       });
}

void
ConfigurationModule::ReadHistory(const std::optional<SubtreeName>& aName,
                                 std::size_t aMost,
                                 std::function<void(Result<std::vector<HistoryEntry>>)> aDone)
{
  this->groups.Propose(ControlGroupId(),
                       StateMachineId::Configuration,
                       PackHistoryQuery(aName, aMost),
                       kChangeTimeout,
                       [done = std::move(aDone)](Result<std::string> aAnswer) {
                         if (!aAnswer) {
                           done(Fail(aAnswer.error()));
                           return;
                         }
                         done(UnpackHistory(aAnswer.value()));
                       });
}

void
ConfigurationModule::SeedWhenEmpty(bool aLeaseHeld)
{
  const bool empty = this->machine.Tree().Current() == Revision();
  if (!aLeaseHeld || !empty || this->seeding || !this->distributor.Joined()) {
    return;
  }
  // A tree that hosts still have although the group's is empty has outlived the group's disks. It
  // takes precedence over the initial tree.
  const bool outlived = this->distributor.Tree().Current() != Revision();
  if (!outlived && !this->initialTree) {
    return;
  }
  const RevisionedTree& seed = outlived ? this->distributor.Tree() : *this->initialTree;
  const ChangeId id(outlived ? "restored" : "initial");
  this->seeding = true;
  this->groups.Propose(
    ControlGroupId(),
    StateMachineId::Configuration,
    PackConfigSeed(id, this->context.settings.host.Value(), seed),
    kChangeTimeout,
    [this, id](const Result<std::string>& aAnswer) {
      this->seeding = false;
      LogEvent(LogLevel::Info, "tree_seeded").With("change", id).With("done", aAnswer.has_value());
    });
}

void
ConfigurationModule::SendOutgoing()
{
  for (OutgoingConfigMessage& outgoing : this->distributor.TakeOutgoing()) {
    this->context.peers.Send(
      outgoing.to,
      PeerMessage{ Channel::Configuration, GroupId(), EncodeConfigMessage(outgoing.message) });
  }
}

void
ConfigurationModule::PublishChanges()
{
  const Revision revision = this->distributor.Tree().Current();
  const bool stale = this->distributor.Stale();
  const bool same =
    this->published && revision == this->publishedRevision && stale == this->publishedStale;
  if (same || !this->distributor.Joined()) {
    return;
  }
  if (const auto acceptedAt = this->distributor.TakeAcceptedAt()) {
    const Duration elapsed = this->context.clock.WallNow() - *acceptedAt;
    this->context.metrics.Observe(Sample::ConfigSpread, MetricKey(), elapsed);
  }
  if (stale != this->publishedStale) {
    LogEvent(stale ? LogLevel::Warning : LogLevel::Info, "configuration_freshness")
      .With("stale", stale)
      .With("revision", revision);
  }
  if (this->writer != nullptr && revision != this->publishedRevision) {
    this->writer->ScheduleWrite(this->distributor.Tree());
  }
  this->published = true;
  this->publishedRevision = revision;
  this->publishedStale = stale;
  this->context.publisher.Change([&](TrafficView& aView) {
    aView.revision = revision;
    aView.stale = stale;
    aView.callers = std::make_shared<const CallerDirectory>(this->index.Directory());
  });
}

} // namespace damasklink

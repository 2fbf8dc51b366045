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
  , spread(aContext.clock, aContext.settings, aMembership, this->index)
  , machine(this)
{
  this->groups.AddMachine(ControlGroupId(), StateMachineId::Configuration, this->machine);
}

Result<void>
ConfigurationModule::UseStoredTree(const std::string& aFolder)
{
  this->keeper = std::make_unique<TreeKeeper>(this->context.clock, aFolder);
  auto stored = this->keeper->Read();
  if (!stored) {
    return Fail(stored.error());
  }
  this->spread.OnTree(stored.value());
  this->keeper->Start();
  return Success();
}

void
ConfigurationModule::OnChange(const TreeChange& aChange)
{
  this->spread.OnCommitted(aChange, this->ControlStatus().leading);
}

void
ConfigurationModule::OnTree(const RevisionedTree& aTree)
{
  this->spread.OnTree(aTree);
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
  this->spread.OnMessage(aFrom, message.value());
  this->SendOutgoing();
  this->PublishChanges();
}

void
ConfigurationModule::OnTick(MonotonicTime /*aNow*/)
{
  const GroupStatus status = this->ControlStatus();
  this->spread.OnTick(status.leaseHeld);
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
  if (!aLeaseHeld || !empty || this->seeding || !this->spread.Joined()) {
    return;
  }
  // A tree that hosts still hold outlived the group's disks and goes before the initial one.
  const bool outlived = this->spread.Tree().Current() != Revision();
  if (!outlived && !this->initialTree) {
    return;
  }
  const RevisionedTree& seed = outlived ? this->spread.Tree() : *this->initialTree;
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
  for (OutgoingConfigMessage& outgoing : this->spread.TakeOutgoing()) {
    this->context.peers.Send(
      outgoing.to,
      PeerMessage{ Channel::Configuration, GroupId(), EncodeConfigMessage(outgoing.message) });
  }
}

void
ConfigurationModule::PublishChanges()
{
  const Revision revision = this->spread.Tree().Current();
  const bool stale = this->spread.Stale();
  const bool same =
    this->published && revision == this->publishedRevision && stale == this->publishedStale;
  if (same || !this->spread.Joined()) {
    return;
  }
  if (const auto acceptedAt = this->spread.TakeAcceptedAt()) {
    const Duration elapsed = this->context.clock.WallNow() - *acceptedAt;
    this->context.metrics.Observe(Sample::ConfigSpread, MetricKey(), elapsed);
  }
  if (stale != this->publishedStale) {
    LogEvent(stale ? LogLevel::Warning : LogLevel::Info, "configuration_freshness")
      .With("stale", stale)
      .With("revision", revision);
  }
  if (this->keeper != nullptr && revision != this->publishedRevision) {
    this->keeper->Keep(this->spread.Tree());
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

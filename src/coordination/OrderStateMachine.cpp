#include "damasklink/coordination/OrderStateMachine.h"

#include "damasklink/coordination/ChangeAnswerCache.h"
#include "damasklink/state/CompactCodec.h"

namespace damasklink {
namespace {

constexpr std::uint64_t kSnapshotVersion = 1;
// Limits the stops that are kept of deleted deployments; beyond it the first by name is dropped.
constexpr std::size_t kMaxStops = 10'000;

enum class OrderCommand : std::uint8_t
{
  Issue = 1,
  Stop = 2,
};

} // namespace

DesiredStateHash
HashDesiredState(const Deployment& aDeployment)
{
  CompactWriter writer;
  writer.Id(aDeployment.model).Id(aDeployment.version);
  writer.Number(static_cast<std::uint64_t>(aDeployment.role)).Number(aDeployment.attempt);
  for (const AdapterName& adapter : aDeployment.adapters) {
    writer.Id(adapter);
  }
  return FingerprintOf(std::move(writer).Take());
}

std::string
OrderStateMachine::Apply(const ApplyContext& aContext, std::string_view aCommand)
{
  CompactReader reader(aCommand);
  const std::uint64_t command = reader.Number();
  if (command == static_cast<std::uint64_t>(OrderCommand::Issue)) {
    this->lastIssued = this->lastIssued.Next();
  } else if (command == static_cast<std::uint64_t>(OrderCommand::Stop)) {
    const auto deployment = reader.Id<DeploymentName>();
    RolloutStop stop;
    stop.desiredHash = reader.Number();
    stop.reason = std::string(reader.Text());
    stop.when = aContext.proposedAt;
    if (reader.AtCleanEnd()) {
      this->stops[deployment] = std::move(stop);
    }
    if (this->stops.size() > kMaxStops) {
      this->stops.erase(this->stops.begin());
    }
  }
  CompactWriter answer;
  answer.Id(this->lastIssued);
  return std::move(answer).Take();
}

std::string
OrderStateMachine::Save() const
{
  CompactWriter writer;
  writer.Number(kSnapshotVersion).Id(this->lastIssued).Number(this->stops.size());
  for (const auto& [deployment, stop] : this->stops) {
    writer.Id(deployment).Number(stop.desiredHash).Text(stop.reason);
    writer.Number(static_cast<std::uint64_t>(stop.when.time_since_epoch().count()));
  }
  return std::move(writer).Take();
}

Result<void>
OrderStateMachine::Load(std::string_view aSnapshot)
{
  CompactReader reader(aSnapshot);
  const std::uint64_t version = reader.Number();
  OrderStateMachine loaded;
  loaded.lastIssued = reader.NumberAs<FencingNumber>();
  const std::size_t count = reader.Count();
  for (std::size_t index = 0; index < count && !reader.Bad(); ++index) {
    RolloutStop& stop = loaded.stops[reader.Id<DeploymentName>()];
    stop.desiredHash = reader.Number();
    stop.reason = std::string(reader.Text());
    stop.when = WallTime(WallTime::duration(static_cast<WallTime::rep>(reader.Number())));
  }
  if (version != kSnapshotVersion || !reader.AtCleanEnd()) {
    return Fail(ErrorKind::Corrupt,
                "the snapshot of the order state cannot be read",
                "run the program version that wrote it, or repair this host from the group");
  }
  *this = std::move(loaded);
  return Success();
}

const RolloutStop*
OrderStateMachine::FindStop(const DeploymentName& aDeployment, DesiredStateHash aDesiredHash) const
{
  const auto found = this->stops.find(aDeployment);
  const bool stopped = found != this->stops.end() && found->second.desiredHash == aDesiredHash;
  return stopped ? &found->second : nullptr;
}

std::string
PackIssueFencing(const TargetId& aTarget)
{
  CompactWriter writer;
  writer.Number(static_cast<std::uint64_t>(OrderCommand::Issue)).Id(aTarget);
  return std::move(writer).Take();
}

std::string
PackStopRollout(const DeploymentName& aDeployment,
                DesiredStateHash aDesiredHash,
                const std::string& aReason)
{
  CompactWriter writer;
  writer.Number(static_cast<std::uint64_t>(OrderCommand::Stop)).Id(aDeployment);
  writer.Number(aDesiredHash).Text(aReason);
  return std::move(writer).Take();
}

Result<FencingNumber>
UnpackFencing(std::string_view aAnswer)
{
  CompactReader reader(aAnswer);
  const auto fencing = reader.NumberAs<FencingNumber>();
  if (!reader.AtCleanEnd()) {
    return Fail(
      ErrorKind::Corrupt, "the fencing number in the answer cannot be read", "try the order again");
  }
  return fencing;
}

} // namespace damasklink

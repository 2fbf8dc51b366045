#include "ConfigurationApi.h"

#include <thread>

#include <absl/strings/numbers.h>

#include "Responses.h"
#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr Duration kReadTimeout = std::chrono::seconds(3);
// Longer than the group's own time limit for a change, so that callers get the group's answer.
constexpr Duration kChangeWait = std::chrono::seconds(7);
constexpr Duration kInForcePoll = std::chrono::milliseconds(50);
constexpr Duration kMaxInForceWait = std::chrono::seconds(30);
constexpr std::uint64_t kHistoryDefault = 100;
constexpr std::uint64_t kHistoryMax = 20'000;

HttpResponse
JsonResponse(std::string aBody)
{
  HttpResponse response;
  response.body = std::move(aBody);
  return response;
}

// Returns the response to a change that was not accepted. Only after a timeout is it unknown
// whether the change was applied.
HttpResponse
NotAppliedResponse(Error aError)
{
  CallerError refusal;
  refusal.outcome = RunOutcome::NotRun;
  if (aError.kind == ErrorKind::DeadlineExceeded) {
    refusal.outcome = RunOutcome::MayHaveRun;
  } else {
    aError.message = Concat("not applied: ", aError.message);
  }
  refusal.error = std::move(aError);
  return ErrorResponse(refusal);
}

Result<std::uint64_t>
CountParameter(const HttpRequest& aRequest, const std::string& aName, std::uint64_t aDefault)
{
  const std::string text = aRequest.Query(aName);
  std::uint64_t number = aDefault;
  if (!text.empty() && !absl::SimpleAtoi(text, &number)) {
    return Fail(ErrorKind::InvalidArgument,
                Concat("parameter '", aName, "' is not a whole number"),
                "write digits only");
  }
  return number;
}

} // namespace

ConfigurationApi::ConfigurationApi(const HostContext& aContext,
                                   ConfigurationModule& aModule,
                                   StatusFiller aFill)
  : context(aContext)
  , module(aModule)
  , fill(std::move(aFill))
{
}

void
ConfigurationApi::AddRoutes(HttpServer& aOperators)
{
  this->AddRoute(aOperators, "POST", "/v1/config/changes", &ConfigurationApi::Apply);
  this->AddRoute(aOperators, "GET", "/v1/config/subtrees", &ConfigurationApi::List);
  this->AddRoute(aOperators, "GET", "/v1/config/subtrees/(.+)", &ConfigurationApi::Get);
  this->AddRoute(aOperators, "POST", "/v1/config/key-holders", &ConfigurationApi::KeyHolders);
  this->AddRoute(aOperators, "GET", "/v1/config/history", &ConfigurationApi::History);
  this->AddRoute(aOperators, "GET", "/v1/config/status", &ConfigurationApi::Status);
  this->AddRoute(aOperators, "GET", "/v1/config/in-force", &ConfigurationApi::InForce);
}

void
ConfigurationApi::AddRoute(HttpServer& aServer,
                           const std::string& aMethod,
                           const std::string& aPattern,
                           Handler aHandler)
{
  aServer.Route(aMethod, aPattern, [this, aHandler](const HttpRequest& aRequest) {
    if (auto allowed = CheckKey(aRequest, this->context.settings.operatorKeys); !allowed) {
      return RefusalResponse(allowed.error());
    }
    return (this->*aHandler)(aRequest);
  });
}

HttpResponse
ConfigurationApi::Apply(const HttpRequest& aRequest)
{
  auto request = ParseChangeRequest(aRequest.body);
  if (!request) {
    return NotAppliedResponse(request.error());
  }
  auto change = this->ReadChange(request.value());
  if (!change) {
    return NotAppliedResponse(change.error());
  }
  auto answer =
    AskControl<ChangeAnswer>(this->context.control,
                             kChangeWait,
                             [this, taken = change.value()](ControlReply<ChangeAnswer> aReply) {
                               this->module.Change(taken, std::move(aReply));
                             });
  if (!answer) {
    return NotAppliedResponse(answer.error());
  }
  if (answer.value().verdict != ChangeVerdict::Accepted) {
    return NotAppliedResponse(ErrorOf(answer.value()));
  }
  LogEvent(LogLevel::Info, "change_accepted")
    .With("change", request.value().id)
    .With("subtree", FormatSubtreeName(request.value().subtree))
    .With("revision", answer.value().revision)
    .With("author", request.value().author);
  this->context.metrics.Add(Counter::ConfigChanges, MetricKey(), 1);
  return JsonResponse(FormatAccepted(answer.value().revision));
}

Result<ConfigChange>
ConfigurationApi::ReadChange(const ChangeRequest& aRequest)
{
  ConfigChange change;
  change.id = aRequest.id;
  change.base = aRequest.base;
  change.author = aRequest.author;
  change.subtree.name = aRequest.subtree;
  if (aRequest.deleted) {
    return change;
  }
  // Children are checked against the defaults by the group, which alone knows the defaults in
  // force.
  const auto parsed =
    ParseConfigSources({ ConfigSource{ "content", aRequest.content } }, SubtreePolicy());
  if (!parsed.Ok()) {
    return Fail(ErrorKind::InvalidArgument,
                FormatFault(parsed.faults.front()),
                "run damasklink check for all faults");
  }
  std::vector<Subtree> subtrees = SplitTree(parsed.value);
  if (subtrees.size() != 1 || subtrees.front().name != aRequest.subtree) {
    return Fail(ErrorKind::InvalidArgument,
                Concat("the content is not the one subtree ", FormatSubtreeName(aRequest.subtree)),
                "send each subtree as a change of its own");
  }
  change.subtree = std::move(subtrees.front());
  return change;
}

HttpResponse
ConfigurationApi::List(const HttpRequest& /*aRequest*/)
{
  auto list = AskControl<SubtreeList>(
    this->context.control, kReadTimeout, [this](const ControlReply<SubtreeList>& aReply) {
      const RevisionedTree& tree = this->module.Distributor().Tree();
      SubtreeList list;
      list.revision = tree.Current();
      for (SubtreeName& name : tree.Names()) {
        const Revision version = tree.VersionOf(name);
        list.subtrees.push_back(SubtreeVersion{ std::move(name), version });
      }
      aReply(std::move(list));
    });
  return list ? JsonResponse(FormatSubtreeList(list.value())) : RefusalResponse(list.error());
}

HttpResponse
ConfigurationApi::Get(const HttpRequest& aRequest)
{
  auto name = ParseSubtreeName(aRequest.groups.at(0));
  if (!name) {
    return RefusalResponse(name.error());
  }
  auto view = AskControl<SubtreeView>(
    this->context.control,
    kReadTimeout,
    [this, wanted = name.value()](const ControlReply<SubtreeView>& aReply) {
      const RevisionedTree& tree = this->module.Distributor().Tree();
      aReply(SubtreeView{ wanted, tree.VersionOf(wanted), FormatSubtree(tree.Get(wanted)) });
    });
  return view ? JsonResponse(FormatSubtreeView(view.value())) : RefusalResponse(view.error());
}

HttpResponse
ConfigurationApi::KeyHolders(const HttpRequest& aRequest)
{
  auto keys = ParseKeys(aRequest.body);
  if (!keys) {
    return RefusalResponse(keys.error());
  }
  // The view of traffic threads has the tree in force, indexed by key.
  const auto view = this->context.views.Get();
  std::vector<KeyHolder> holders;
  for (const Digest& key : keys.value()) {
    if (const ResolvedPolicy* policy = view->callers->Find(key)) {
      holders.push_back(KeyHolder{ key, policy->workspace });
    }
  }
  return JsonResponse(FormatKeyHolders(holders));
}

HttpResponse
ConfigurationApi::History(const HttpRequest& aRequest)
{
  std::optional<SubtreeName> subtree;
  if (const std::string text = aRequest.Query("subtree"); !text.empty()) {
    auto name = ParseSubtreeName(text);
    if (!name) {
      return RefusalResponse(name.error());
    }
    subtree = name.value();
  }
  auto most = CountParameter(aRequest, "most", kHistoryDefault);
  if (!most) {
    return RefusalResponse(most.error());
  }
  using Entries = std::vector<HistoryEntry>;
  auto entries = AskControl<Entries>(
    this->context.control,
    kChangeWait,
    [this, subtree, count = std::min(most.value(), kHistoryMax)](ControlReply<Entries> aReply) {
      this->module.ReadHistory(subtree, count, std::move(aReply));
    });
  return entries ? JsonResponse(FormatHistory(entries.value())) : RefusalResponse(entries.error());
}

HttpResponse
ConfigurationApi::Status(const HttpRequest& /*aRequest*/)
{
  auto status = AskControl<HostStatus>(
    this->context.control, kReadTimeout, [this](const ControlReply<HostStatus>& aReply) {
      const ConfigDistributor& distributor = this->module.Distributor();
      const GroupStatus group = this->module.ControlStatus();
      HostStatus status;
      status.host = this->context.settings.host;
      status.zone = this->context.settings.zone;
      status.revision = distributor.Tree().Current();
      status.confirmedAge = distributor.ConfirmedAge();
      status.stale = distributor.Stale();
      status.leader = group.leader;
      status.term = group.term;
      status.leaseHeld = group.leaseHeld;
      this->fill(status);
      aReply(std::move(status));
    });
  return status ? JsonResponse(FormatHostStatus(status.value())) : RefusalResponse(status.error());
}

HttpResponse
ConfigurationApi::InForce(const HttpRequest& aRequest)
{
  auto revision = CountParameter(aRequest, "revision", 0);
  if (!revision) {
    return RefusalResponse(revision.error());
  }
  Duration wait{ 0 };
  if (const std::string text = aRequest.Query("wait"); !text.empty()) {
    auto parsed = ParseDuration(text);
    if (!parsed) {
      return RefusalResponse(parsed.error());
    }
    wait = std::min(parsed.value(), kMaxInForceWait);
  }
  const MonotonicTime until = this->context.clock.MonotonicNow() + wait;
  while (true) {
    auto report = AskControl<InForceReport>(
      this->context.control,
      kReadTimeout,
      [this, wanted = Revision(revision.value())](const ControlReply<InForceReport>& aReply) {
        InForceReport made = this->MakeInForceReport(wanted);
        if (!made.missing.empty()) {
          this->module.Distributor().QueryAllPeers();
        }
        aReply(std::move(made));
      });
    if (!report) {
      return RefusalResponse(report.error());
    }
    if (report.value().missing.empty() || this->context.clock.MonotonicNow() >= until) {
      return JsonResponse(FormatInForceReport(report.value()));
    }
    std::this_thread::sleep_for(kInForcePoll);
  }
}

InForceReport
ConfigurationApi::MakeInForceReport(Revision aRevision) const
{
  const ConfigDistributor& distributor = this->module.Distributor();
  InForceReport report;
  report.revision = aRevision;
  for (const PeerSettings& peer : this->context.settings.peers) {
    Revision held = distributor.InForce();
    if (peer.host != this->context.settings.host) {
      const auto found = distributor.PeerRevisions().find(peer.host);
      held = found == distributor.PeerRevisions().end() ? Revision() : found->second;
    }
    (held >= aRevision ? report.inForce : report.missing).push_back(peer.host);
  }
  return report;
}

} // namespace damasklink

#include "ReuseService.h"

#include <algorithm>

#include "damasklink/coordination/BlockNames.h"
#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/HttpClient.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kCandidateStores = 2;
constexpr Duration kLookUpTimeout = milliseconds(5);
constexpr Duration kAskTimeout = milliseconds(50);
// Delay before an import or export is asked for again when the owner is busy.
constexpr Duration kImportRetryDelay = milliseconds(20);
constexpr Duration kExportRetryDelay = milliseconds(20);
constexpr int kMaxExportRetries = 500;
constexpr Duration kExportTimeout = std::chrono::seconds(20);
constexpr int kOk = 200;

const TargetRecord*
FindTarget(const TrafficView& aView, const std::string& aId)
{
  for (const TargetRecord& target : aView.targets) {
    if (target.id.Value() == aId) {
      return &target;
    }
  }
  return nullptr;
}

HttpCall
EngineCall(const Endpoint& aEngine, const char* aPath, std::string aBody, Duration aTimeout)
{
  HttpCall call;
  call.endpoint = aEngine;
  call.method = "POST";
  call.path = aPath;
  call.headers = { { "content-type", "application/json" } };
  call.body = std::move(aBody);
  call.readTimeout = aTimeout;
  return call;
}

StoreOutcome
OutcomeOf(const StoreQuestion& aQuestion, const StoreAnswer& aGrant)
{
  StoreOutcome outcome;
  outcome.store = aQuestion.store;
  outcome.fencing = aGrant.fencing;
  outcome.grant = aGrant.grant;
  return outcome;
}

} // namespace

ReuseService::ReuseService(const HostContext& aContext,
                           const StoresContext& aStores,
                           StoresModule& aModule,
                           WorkThread& aExporter)
  : context(aContext)
  , stores(aStores)
  , module(aModule)
  , exporter(aExporter)
{
}

void
ReuseService::LookUp(std::string_view aPrompt, RouteRequest& aRequest)
{
  const auto view = this->context.views.Get();
  const std::vector<Token> tokens = FourByteTokenizer().Tokenize(aPrompt);
  aRequest.promptTokens = TokenCount(tokens.size());
  aRequest.blocksVersion = this->MostServedVersion(aRequest, *view);
  const BlockScope scope{
    aRequest.workspace, aRequest.model, aRequest.blocksVersion, aRequest.adapter
  };
  aRequest.blocks = NameBlocks(scope, tokens);
  if (aRequest.blocks.empty()) {
    return;
  }
  std::vector<QuestionNumber> numbers;
  for (const StoreId& store : this->Candidates(aRequest, *view)) {
    StoreQuestion question;
    question.number = this->stores.answers.Open();
    question.store = store;
    question.prompt.scope = scope;
    question.prompt.blocks = aRequest.blocks;
    numbers.push_back(question.number);
    this->Post(std::move(question));
  }
  const MonotonicTime deadline = this->context.clock.MonotonicNow() + kLookUpTimeout;
  for (const QuestionNumber number : numbers) {
    const Duration left = std::max(Duration(0), deadline - this->context.clock.MonotonicNow());
    const auto answer = this->stores.answers.Wait(number, left);
    if (answer && answer->status != AnswerStatus::NotOwner) {
      aRequest.stored.push_back(answer->kept);
    }
  }
}

WeightVersion
ReuseService::MostServedVersion(const RouteRequest& aRequest, const TrafficView& aView) const
{
  std::map<WeightVersion, std::size_t> counts;
  for (const TargetRecord& target : aView.targets) {
    const WeightVersion version = EligibleVersion(aRequest, target);
    if (!version.Empty()) {
      ++counts[version];
    }
  }
  WeightVersion best;
  std::size_t most = 0;
  for (const auto& [version, count] : counts) {
    if (count > most) {
      best = version;
      most = count;
    }
  }
  return best;
}

std::vector<StoreId>
ReuseService::Candidates(const RouteRequest& aRequest, const TrafficView& aView) const
{
  std::vector<std::pair<Digest, StoreId>> ranked;
  const std::string& root = aRequest.blocks.front().Value();
  for (const TargetRecord& target : aView.targets) {
    if (target.kind == TargetKind::Store) {
      const std::string& id = target.id.Value();
      ranked.emplace_back(DigestOf(Concat(root, " ", id)), StoreId(id));
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<StoreId> candidates;
  for (std::size_t index = 0; index < std::min(kCandidateStores, ranked.size()); ++index) {
    candidates.push_back(ranked[index].second);
  }
  return candidates;
}

void
ReuseService::Post(StoreQuestion aQuestion)
{
  this->context.control.Post(
    [this, question = std::move(aQuestion)] { this->module.Ask(question); });
}

std::optional<StoreAnswer>
ReuseService::Ask(StoreQuestion aQuestion, Duration aTimeout)
{
  aQuestion.number = this->stores.answers.Open();
  const QuestionNumber number = aQuestion.number;
  this->Post(std::move(aQuestion));
  return this->stores.answers.Wait(number, aTimeout);
}

void
ReuseService::ReportOutcome(StoreOutcome aOutcome)
{
  this->context.control.Post(
    [this, outcome = std::move(aOutcome)] { this->module.ReportOutcome(outcome); });
}

double
ReuseService::PrefillRate(const TargetId& aTarget)
{
  double rate = 0;
  this->stores.routing.Run([&] { rate = this->stores.router.PrefillRate(aTarget); });
  return rate;
}

void
ReuseService::ImportBlocks(const RouteRequest& aRequest, const RouteDecision& aDecision)
{
  const auto view = this->context.views.Get();
  const TargetRecord* store = FindTarget(*view, aDecision.importFrom.Value());
  const auto isStore = [&](const StoredPrefix& aPrefix) {
    return aPrefix.store == aDecision.importFrom;
  };
  const auto prefix = std::find_if(aRequest.stored.begin(), aRequest.stored.end(), isStore);
  if (store == nullptr || prefix == aRequest.stored.end() || prefix->blocks == 0) {
    return;
  }
  Transfer transfer{ aRequest.workspace, store->endpoint, aDecision.endpoint, {} };
  transfer.question.kind = QuestionKind::Import;
  transfer.question.store = aDecision.importFrom;
  transfer.question.prompt.scope = {
    aRequest.workspace, aRequest.model, aRequest.blocksVersion, aRequest.adapter
  };
  transfer.question.prompt.blocks = aRequest.blocks;
  transfer.question.to = aDecision.importBlocks;
  const std::uint64_t blockBytes = prefix->bytes.Value() / prefix->blocks;
  const MonotonicTime start = this->context.clock.MonotonicNow();
  std::uint64_t nextBlock = aDecision.heldBlocks;
  RemainingImport remaining{
    {}, {}, prefix->freeBytesPerSecond, this->PrefillRate(aDecision.target)
  };
  while (nextBlock < aDecision.importBlocks) {
    transfer.question.from = nextBlock;
    remaining.bytes = ByteCount((aDecision.importBlocks - nextBlock) * blockBytes);
    remaining.tokens = TokenCount((aDecision.importBlocks - nextBlock) * kBlockTokens);
    const Duration timeLimit = ImportTimeLimit(remaining, aRequest.objective);
    if (ShouldAbandonImport(remaining, aRequest.objective)) {
      return;
    }
    const auto answer = this->Ask(transfer.question, std::min(timeLimit, kAskTimeout));
    const bool expired = this->context.clock.MonotonicNow() - start > timeLimit;
    if (answer && answer->status == AnswerStatus::Busy && !expired) {
      std::this_thread::sleep_for(kImportRetryDelay);
      continue;
    }
    if (!answer || answer->status != AnswerStatus::Granted) {
      return;
    }
    const std::uint64_t imported = this->ImportBatch(transfer, *answer, timeLimit);
    if (imported == 0) {
      return;
    }
    nextBlock += imported;
  }
}

std::uint64_t
ReuseService::ImportBatch(const Transfer& aTransfer, const StoreAnswer& aGrant, Duration aTimeout)
{
  ImportOrder order{ aTransfer.store, std::min(aGrant.valid, aTimeout), {} };
  std::uint64_t bytes = 0;
  for (const ExportedBlock& block : aGrant.blocks) {
    order.blocks.push_back({ block.block,
                             aTransfer.question.prompt.scope,
                             block.generation,
                             block.length,
                             block.checksum });
    bytes += block.length.Value();
  }
  const MonotonicTime start = this->context.clock.MonotonicNow();
  const auto answer =
    CallHttp(EngineCall(aTransfer.engine, kImportPath, FormatImportOrder(order), order.valid),
             ByteCount(kMebibyte));
  StoreOutcome outcome = OutcomeOf(aTransfer.question, aGrant);
  outcome.elapsed = this->context.clock.MonotonicNow() - start;
  auto report = answer && answer.value().status == kOk
                  ? ParseImportReport(answer.value().body)
                  : Result<ImportReport>(Fail(ErrorKind::Interrupted, "no report", ""));
  if (!report) {
    this->ReportOutcome(std::move(outcome));
    return 0;
  }
  outcome.moved = report.value().imported == aGrant.blocks.size();
  for (const Digest& wrong : report.value().wrong) {
    outcome.blocks.push_back({ wrong, Generation(), ByteCount(), Checksum() });
  }
  if (!outcome.blocks.empty()) {
    LogEvent(LogLevel::Warning, "import_refused")
      .With("store", aTransfer.question.store)
      .With("blocks", outcome.blocks.size());
  }
  const bool complete = outcome.moved;
  this->ReportOutcome(std::move(outcome));
  this->context.metrics.Add(
    Counter::LinkBytesIn, { aTransfer.workspace, "" }, complete ? bytes : 0);
  return complete ? report.value().imported : 0;
}

void
ReuseService::OnAnswered(const RouteRequest& aRequest,
                         const RouteDecision& aDecision,
                         const AnswerUsage& /*aUsage*/)
{
  // The block names are those of one weight version; an engine that ran another has no such blocks.
  if (aRequest.blocks.empty() || aDecision.version != aRequest.blocksVersion ||
      aRequest.stored.empty()) {
    return;
  }
  const auto fewerBlocks = [](const StoredPrefix& aLeft, const StoredPrefix& aRight) {
    return aLeft.blocks < aRight.blocks;
  };
  const StoredPrefix& best =
    *std::max_element(aRequest.stored.begin(), aRequest.stored.end(), fewerBlocks);
  const auto view = this->context.views.Get();
  const TargetRecord* store = FindTarget(*view, best.store.Value());
  if (store == nullptr) {
    return;
  }
  Transfer transfer{ aRequest.workspace, store->endpoint, aDecision.endpoint, {} };
  transfer.question.store = best.store;
  transfer.question.prompt = {
    { aRequest.workspace, aRequest.model, aRequest.blocksVersion, aRequest.adapter },
    aRequest.blocks,
    best.returning,
    aRequest.objective,
    this->PrefillRate(aDecision.target)
  };
  for (const StoredPrefix& prefix : aRequest.stored) {
    StoreQuestion answered = transfer.question;
    answered.kind = QuestionKind::Answered;
    answered.store = prefix.store;
    this->Post(std::move(answered));
  }
  transfer.question.kind = QuestionKind::Export;
  this->exporter.Add(
    [this, transfer = std::move(transfer)] { this->ExportAll(transfer, kMaxExportRetries); });
}

void
ReuseService::ExportAll(Transfer aTransfer, int aRetries)
{
  while (this->context.phase.load() != HostPhase::Leaving) {
    const auto answer = this->Ask(aTransfer.question, kAskTimeout);
    if (answer && answer->status == AnswerStatus::Busy && aRetries > 0) {
      std::this_thread::sleep_for(kExportRetryDelay);
      // Queued again behind the other exports, which may be for other stores.
      this->exporter.Add([this, transfer = std::move(aTransfer), aRetries] {
        this->ExportAll(transfer, aRetries - 1);
      });
      return;
    }
    if (!answer || answer->status != AnswerStatus::Granted ||
        !this->ExportBatch(aTransfer, *answer)) {
      return;
    }
  }
}

bool
ReuseService::ExportBatch(const Transfer& aTransfer, const StoreAnswer& aGrant)
{
  ExportOrder order{ aTransfer.store, aGrant.fencing, aTransfer.question.prompt.scope, {} };
  for (const ExportedBlock& block : aGrant.blocks) {
    order.blocks.push_back({ block.block, block.generation, block.length });
  }
  const MonotonicTime start = this->context.clock.MonotonicNow();
  const auto answer = CallHttp(EngineCall(aTransfer.engine,
                                          kExportPath,
                                          FormatExportOrder(order),
                                          std::min(aGrant.valid, kExportTimeout)),
                               ByteCount(kMebibyte));
  StoreOutcome outcome = OutcomeOf(aTransfer.question, aGrant);
  outcome.elapsed = this->context.clock.MonotonicNow() - start;
  if (answer && answer.value().status == kOk) {
    auto exported = ParseExported(answer.value().body);
    outcome.blocks = exported ? std::move(exported.value()) : std::vector<ExportedBlock>();
  }
  std::uint64_t bytes = 0;
  for (const ExportedBlock& block : outcome.blocks) {
    bytes += block.length.Value();
  }
  const bool complete = outcome.blocks.size() == aGrant.blocks.size();
  outcome.moved = complete;
  this->ReportOutcome(std::move(outcome));
  this->context.metrics.Add(Counter::LinkBytesOut, { aTransfer.workspace, "" }, bytes);
  return complete;
}

} // namespace damasklink

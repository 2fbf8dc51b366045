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

constexpr std::size_t kCandidates = 2;
constexpr Duration kLookUpLimit = milliseconds(5);
constexpr Duration kAskLimit = milliseconds(50);
constexpr Duration kRetryImport = milliseconds(20);
constexpr Duration kRetryExport = milliseconds(20);
constexpr int kMostExportRetries = 500;
constexpr Duration kExportLimit = std::chrono::seconds(20);
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
EngineCall(const Endpoint& aEngine, const char* aPath, std::string aBody, Duration aWithin)
{
  HttpCall call;
  call.endpoint = aEngine;
  call.method = "POST";
  call.path = aPath;
  call.headers = { { "content-type", "application/json" } };
  call.body = std::move(aBody);
  call.readTimeout = aWithin;
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
                           WorkThread& aKeeper)
  : context(aContext)
  , stores(aStores)
  , module(aModule)
  , keeper(aKeeper)
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
  const MonotonicTime until = this->context.clock.MonotonicNow() + kLookUpLimit;
  for (const QuestionNumber number : numbers) {
    const Duration left = std::max(Duration(0), until - this->context.clock.MonotonicNow());
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
  for (std::size_t at = 0; at < std::min(kCandidates, ranked.size()); ++at) {
    candidates.push_back(ranked[at].second);
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
ReuseService::Ask(StoreQuestion aQuestion, Duration aMost)
{
  aQuestion.number = this->stores.answers.Open();
  const QuestionNumber number = aQuestion.number;
  this->Post(std::move(aQuestion));
  return this->stores.answers.Wait(number, aMost);
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
  const auto isStore = [&](const StoredPrefix& aKept) {
    return aKept.store == aDecision.importFrom;
  };
  const auto kept = std::find_if(aRequest.stored.begin(), aRequest.stored.end(), isStore);
  if (store == nullptr || kept == aRequest.stored.end() || kept->blocks == 0) {
    return;
  }
  Move move{ aRequest.workspace, store->endpoint, aDecision.endpoint, {} };
  move.question.kind = QuestionKind::Import;
  move.question.store = aDecision.importFrom;
  move.question.prompt.scope = {
    aRequest.workspace, aRequest.model, aRequest.blocksVersion, aRequest.adapter
  };
  move.question.prompt.blocks = aRequest.blocks;
  move.question.to = aDecision.importBlocks;
  const std::uint64_t blockBytes = kept->bytes.Value() / kept->blocks;
  const MonotonicTime begun = this->context.clock.MonotonicNow();
  std::uint64_t at = aDecision.heldBlocks;
  RemainingImport rest{ {}, {}, kept->freeBytesPerSecond, this->PrefillRate(aDecision.target) };
  while (at < aDecision.importBlocks) {
    move.question.from = at;
    rest.bytes = ByteCount((aDecision.importBlocks - at) * blockBytes);
    rest.tokens = TokenCount((aDecision.importBlocks - at) * kBlockTokens);
    const Duration patience = ImportTimeLimit(rest, aRequest.objective);
    if (ShouldAbandonImport(rest, aRequest.objective)) {
      return;
    }
    const auto answer = this->Ask(move.question, std::min(patience, kAskLimit));
    const bool waited = this->context.clock.MonotonicNow() - begun > patience;
    if (answer && answer->status == AnswerStatus::Busy && !waited) {
      std::this_thread::sleep_for(kRetryImport);
      continue;
    }
    if (!answer || answer->status != AnswerStatus::Granted) {
      return;
    }
    const std::uint64_t came = this->ImportBatch(move, *answer, patience);
    if (came == 0) {
      return;
    }
    at += came;
  }
}

std::uint64_t
ReuseService::ImportBatch(const Move& aMove, const StoreAnswer& aGrant, Duration aPatience)
{
  ImportOrder order{ aMove.store, std::min(aGrant.valid, aPatience), {} };
  std::uint64_t bytes = 0;
  for (const ExportedBlock& block : aGrant.blocks) {
    order.blocks.push_back(
      { block.block, aMove.question.prompt.scope, block.generation, block.length, block.checksum });
    bytes += block.length.Value();
  }
  const MonotonicTime begun = this->context.clock.MonotonicNow();
  const auto answer =
    CallHttp(EngineCall(aMove.engine, kImportPath, FormatImportOrder(order), order.valid),
             ByteCount(kMebibyte));
  StoreOutcome outcome = OutcomeOf(aMove.question, aGrant);
  outcome.elapsed = this->context.clock.MonotonicNow() - begun;
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
      .With("store", aMove.question.store)
      .With("blocks", outcome.blocks.size());
  }
  const bool whole = outcome.moved;
  this->ReportOutcome(std::move(outcome));
  this->context.metrics.Add(Counter::LinkBytesIn, { aMove.workspace, "" }, whole ? bytes : 0);
  return whole ? report.value().imported : 0;
}

void
ReuseService::OnAnswered(const RouteRequest& aRequest,
                         const RouteDecision& aDecision,
                         const AnswerUsage& /*aUsage*/)
{
  // Names of another version than the one that ran mean nothing to the engine.
  if (aRequest.blocks.empty() || aDecision.version != aRequest.blocksVersion ||
      aRequest.stored.empty()) {
    return;
  }
  const auto deeper = [](const StoredPrefix& aLeft, const StoredPrefix& aRight) {
    return aLeft.blocks < aRight.blocks;
  };
  const StoredPrefix& best =
    *std::max_element(aRequest.stored.begin(), aRequest.stored.end(), deeper);
  const auto view = this->context.views.Get();
  const TargetRecord* store = FindTarget(*view, best.store.Value());
  if (store == nullptr) {
    return;
  }
  Move move{ aRequest.workspace, store->endpoint, aDecision.endpoint, {} };
  move.question.store = best.store;
  move.question.prompt = {
    { aRequest.workspace, aRequest.model, aRequest.blocksVersion, aRequest.adapter },
    aRequest.blocks,
    best.returning,
    aRequest.objective,
    this->PrefillRate(aDecision.target)
  };
  for (const StoredPrefix& kept : aRequest.stored) {
    StoreQuestion answered = move.question;
    answered.kind = QuestionKind::Answered;
    answered.store = kept.store;
    this->Post(std::move(answered));
  }
  move.question.kind = QuestionKind::Export;
  this->keeper.Add([this, move = std::move(move)] { this->ExportAll(move, kMostExportRetries); });
}

void
ReuseService::ExportAll(Move aMove, int aRetries)
{
  while (this->context.phase.load() != HostPhase::Leaving) {
    const auto answer = this->Ask(aMove.question, kAskLimit);
    if (answer && answer->status == AnswerStatus::Busy && aRetries > 0) {
      std::this_thread::sleep_for(kRetryExport);
      // Behind what waits already, which may be for another store.
      this->keeper.Add(
        [this, move = std::move(aMove), aRetries] { this->ExportAll(move, aRetries - 1); });
      return;
    }
    if (!answer || answer->status != AnswerStatus::Granted || !this->ExportBatch(aMove, *answer)) {
      return;
    }
  }
}

bool
ReuseService::ExportBatch(const Move& aMove, const StoreAnswer& aGrant)
{
  ExportOrder order{ aMove.store, aGrant.fencing, aMove.question.prompt.scope, {} };
  for (const ExportedBlock& block : aGrant.blocks) {
    order.blocks.push_back({ block.block, block.generation, block.length });
  }
  const MonotonicTime begun = this->context.clock.MonotonicNow();
  const auto answer = CallHttp(
    EngineCall(
      aMove.engine, kExportPath, FormatExportOrder(order), std::min(aGrant.valid, kExportLimit)),
    ByteCount(kMebibyte));
  StoreOutcome outcome = OutcomeOf(aMove.question, aGrant);
  outcome.elapsed = this->context.clock.MonotonicNow() - begun;
  if (answer && answer.value().status == kOk) {
    auto exported = ParseExported(answer.value().body);
    outcome.blocks = exported ? std::move(exported.value()) : std::vector<ExportedBlock>();
  }
  std::uint64_t bytes = 0;
  for (const ExportedBlock& block : outcome.blocks) {
    bytes += block.length.Value();
  }
  const bool all = outcome.blocks.size() == aGrant.blocks.size();
  outcome.moved = all;
  this->ReportOutcome(std::move(outcome));
  this->context.metrics.Add(Counter::LinkBytesOut, { aMove.workspace, "" }, bytes);
  return all;
}

} // namespace damasklink

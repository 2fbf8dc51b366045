#include "damasklink/coordination/LeasedStore.h"

namespace damasklink {
namespace {

// A version that no engine has served for this long is drained.
constexpr Duration kUnservedTimeout = std::chrono::seconds(60);
// Readers are granted this much less than the lifetime of the pin, to allow for the latency of the
// answer and for clock drift.
constexpr Duration kPinMargin = std::chrono::seconds(1);

AnswerStatus
StatusOf(const Error& aError)
{
  return aError.kind == ErrorKind::Overloaded ? AnswerStatus::Busy : AnswerStatus::Nothing;
}

} // namespace

LeasedStore::LeasedStore(const Clock& aClock, FencingNumber aFencing, StoreManagerOptions aOptions)
  : clock(aClock)
  , fencing(aFencing)
  , options(aOptions)
  , manager(aClock, aFencing, std::move(aOptions))
{
}

void
LeasedStore::Rebuild(const std::vector<BlockHeader>& aInventory)
{
  this->manager.Rebuild(aInventory);
  this->ready = true;
}

bool
LeasedStore::HoldsLease() const
{
  return this->clock.MonotonicNow() < this->until;
}

StoreAnswer
LeasedStore::Answer(const StoreQuestion& aQuestion)
{
  StoreAnswer answer;
  answer.number = aQuestion.number;
  answer.fencing = this->fencing;
  answer.kept.store = this->options.store;
  if (!this->HoldsLease() || !this->ready) {
    answer.status = AnswerStatus::NotOwner;
    return answer;
  }
  switch (aQuestion.kind) {
    case QuestionKind::LookUp:
      this->AnswerLookUp(aQuestion, answer);
      break;
    case QuestionKind::Import:
      this->AnswerImport(aQuestion, answer);
      break;
    case QuestionKind::Export:
      this->AnswerExport(aQuestion, answer);
      break;
    case QuestionKind::Answered:
      this->manager.OnAnswered(aQuestion.prompt);
      break;
  }
  return answer;
}

void
LeasedStore::AnswerLookUp(const StoreQuestion& aQuestion, StoreAnswer& aAnswer)
{
  aAnswer.kept = this->manager.LookUp(aQuestion.prompt.scope, aQuestion.prompt.blocks);
  aAnswer.status = aAnswer.kept.blocks > 0 ? AnswerStatus::Granted : AnswerStatus::Nothing;
}

void
LeasedStore::AnswerImport(const StoreQuestion& aQuestion, StoreAnswer& aAnswer)
{
  const HashedPrompt& prompt = aQuestion.prompt;
  auto grant = this->manager.GrantImport(prompt.scope, prompt.blocks, aQuestion.from, aQuestion.to);
  if (!grant) {
    aAnswer.status = StatusOf(grant.error());
    return;
  }
  for (const PinnedBlock& block : grant.value().blocks) {
    const BlockHeader& header = block.header;
    aAnswer.blocks.push_back({ header.block, header.generation, header.length, header.checksum });
  }
  aAnswer.status = AnswerStatus::Granted;
  aAnswer.valid = this->options.pinLease - kPinMargin;
  aAnswer.grant = this->AddGrant({ std::move(grant.value()), {}, {} }, this->options.pinLease);
}

void
LeasedStore::AnswerExport(const StoreQuestion& aQuestion, StoreAnswer& aAnswer)
{
  auto grant = this->manager.GrantExport(aQuestion.prompt);
  if (!grant) {
    aAnswer.status = StatusOf(grant.error());
    return;
  }
  for (const ReservedBlock& block : grant.value().blocks) {
    aAnswer.blocks.push_back({ block.block, block.generation, block.length, Checksum() });
  }
  aAnswer.status = AnswerStatus::Granted;
  aAnswer.valid = this->options.writeLease;
  aAnswer.grant = this->AddGrant({ {}, std::move(grant.value()), {} }, this->options.writeLease);
}

GrantId
LeasedStore::AddGrant(OpenGrant aGrant, Duration aValid)
{
  this->lastGrant = this->lastGrant.Next();
  aGrant.until = this->clock.MonotonicNow() + aValid;
  this->grants.emplace(this->lastGrant, std::move(aGrant));
  return this->lastGrant;
}

void
LeasedStore::OnOutcome(const StoreOutcome& aOutcome)
{
  const auto found = this->grants.find(aOutcome.grant);
  if (aOutcome.fencing != this->fencing || found == this->grants.end()) {
    return;
  }
  const OpenGrant grant = std::move(found->second);
  this->grants.erase(found);
  this->FinishGrant(grant, aOutcome);
}

void
LeasedStore::FinishGrant(const OpenGrant& aGrant, const StoreOutcome& aOutcome)
{
  if (!aGrant.exportGrant.blocks.empty()) {
    this->manager.OnExported(aGrant.exportGrant, aOutcome.blocks, aOutcome.elapsed);
    return;
  }
  if (aOutcome.moved && aOutcome.blocks.empty()) {
    this->manager.OnImported(aGrant.importGrant, aOutcome.elapsed);
    return;
  }
  std::vector<Digest> corrupt;
  for (const ExportedBlock& block : aOutcome.blocks) {
    corrupt.push_back(block.block);
  }
  this->manager.OnImportFailed(aGrant.importGrant, corrupt);
}

void
LeasedStore::OnServed(const std::set<ModelVersion>& aServed)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  for (const ModelVersion& version : this->manager.Directory().Versions()) {
    const auto [served, inserted] = this->lastServed.try_emplace(version, now);
    if (aServed.contains(version)) {
      served->second = now;
    } else if (now - served->second >= kUnservedTimeout) {
      this->manager.DrainVersion(version.first, version.second);
    }
  }
}

void
LeasedStore::Expire()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  for (auto grant = this->grants.begin(); grant != this->grants.end();) {
    if (grant->second.until > now) {
      ++grant;
      continue;
    }
    this->FinishGrant(grant->second, StoreOutcome());
    grant = this->grants.erase(grant);
  }
  this->manager.Expire();
}

std::vector<BlockCommand>
LeasedStore::TakeFreed()
{
  return this->HoldsLease() ? this->manager.TakeFreed() : std::vector<BlockCommand>();
}

std::vector<BlockCommand>
LeasedStore::TakeDemoted()
{
  return this->HoldsLease() ? this->manager.TakeDemoted() : std::vector<BlockCommand>();
}

} // namespace damasklink

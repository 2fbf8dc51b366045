#include "damasklink/coordination/OwnedStore.h"

namespace damasklink {
namespace {

// A version that no engine has served for so long is withdrawn.
constexpr Duration kWithdrawnAfter = std::chrono::seconds(60);
// A reader gets less than its pin holds, for the answer's way and for clocks that differ in speed.
constexpr Duration kPinMargin = std::chrono::seconds(1);

AnswerStatus
StatusOf(const Error& aError)
{
  return aError.kind == ErrorKind::Overloaded ? AnswerStatus::Busy : AnswerStatus::Nothing;
}

} // namespace

OwnedStore::OwnedStore(const Clock& aClock, FencingNumber aFencing, StoreOwnerOptions aOptions)
  : clock(aClock)
  , fencing(aFencing)
  , options(aOptions)
  , owner(aClock, aFencing, std::move(aOptions))
{
}

void
OwnedStore::Rebuild(const std::vector<BlockHeader>& aInventory)
{
  this->owner.Rebuild(aInventory);
  this->ready = true;
}

bool
OwnedStore::Holds() const
{
  return this->clock.MonotonicNow() < this->until;
}

StoreAnswer
OwnedStore::Answer(const StoreQuestion& aQuestion)
{
  StoreAnswer answer;
  answer.number = aQuestion.number;
  answer.fencing = this->fencing;
  answer.kept.store = this->options.store;
  if (!this->Holds() || !this->ready) {
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
      this->owner.OnAnswered(aQuestion.prompt);
      break;
  }
  return answer;
}

void
OwnedStore::AnswerLookUp(const StoreQuestion& aQuestion, StoreAnswer& aAnswer)
{
  aAnswer.kept = this->owner.LookUp(aQuestion.prompt.scope, aQuestion.prompt.blocks);
  aAnswer.status = aAnswer.kept.blocks > 0 ? AnswerStatus::Granted : AnswerStatus::Nothing;
}

void
OwnedStore::AnswerImport(const StoreQuestion& aQuestion, StoreAnswer& aAnswer)
{
  const KeepOffer& prompt = aQuestion.prompt;
  auto grant = this->owner.GrantImport(prompt.scope, prompt.blocks, aQuestion.from, aQuestion.to);
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
  aAnswer.grant = this->Open({ std::move(grant.value()), {}, {} }, this->options.pinLease);
}

void
OwnedStore::AnswerExport(const StoreQuestion& aQuestion, StoreAnswer& aAnswer)
{
  auto grant = this->owner.GrantExport(aQuestion.prompt);
  if (!grant) {
    aAnswer.status = StatusOf(grant.error());
    return;
  }
  for (const ReservedBlock& block : grant.value().blocks) {
    aAnswer.blocks.push_back({ block.block, block.generation, block.length, Checksum() });
  }
  aAnswer.status = AnswerStatus::Granted;
  aAnswer.valid = this->options.writeLease;
  aAnswer.grant = this->Open({ {}, std::move(grant.value()), {} }, this->options.writeLease);
}

GrantId
OwnedStore::Open(OpenGrant aGrant, Duration aValid)
{
  this->lastGrant = this->lastGrant.Next();
  aGrant.until = this->clock.MonotonicNow() + aValid;
  this->grants.emplace(this->lastGrant, std::move(aGrant));
  return this->lastGrant;
}

void
OwnedStore::OnOutcome(const StoreOutcome& aOutcome)
{
  const auto found = this->grants.find(aOutcome.grant);
  if (aOutcome.fencing != this->fencing || found == this->grants.end()) {
    return;
  }
  const OpenGrant grant = std::move(found->second);
  this->grants.erase(found);
  this->Close(grant, aOutcome);
}

void
OwnedStore::Close(const OpenGrant& aGrant, const StoreOutcome& aOutcome)
{
  if (!aGrant.write.blocks.empty()) {
    this->owner.OnExported(aGrant.write, aOutcome.blocks, aOutcome.elapsed);
    return;
  }
  if (aOutcome.moved && aOutcome.blocks.empty()) {
    this->owner.OnImported(aGrant.import, aOutcome.elapsed);
    return;
  }
  std::vector<Digest> wrong;
  for (const ExportedBlock& block : aOutcome.blocks) {
    wrong.push_back(block.block);
  }
  this->owner.OnImportFailed(aGrant.import, wrong);
}

void
OwnedStore::OnServed(const std::set<ModelVersion>& aServed)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  for (const ModelVersion& version : this->owner.Directory().Versions()) {
    const auto [seen, fresh] = this->servedAt.try_emplace(version, now);
    if (aServed.contains(version)) {
      seen->second = now;
    } else if (now - seen->second >= kWithdrawnAfter) {
      this->owner.DrainVersion(version.first, version.second);
    }
  }
}

void
OwnedStore::Expire()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  for (auto grant = this->grants.begin(); grant != this->grants.end();) {
    if (grant->second.until > now) {
      ++grant;
      continue;
    }
    this->Close(grant->second, StoreOutcome());
    grant = this->grants.erase(grant);
  }
  this->owner.Expire();
}

std::vector<BlockOrder>
OwnedStore::TakeFreed()
{
  return this->Holds() ? this->owner.TakeFreed() : std::vector<BlockOrder>();
}

std::vector<BlockOrder>
OwnedStore::TakeDemoted()
{
  return this->Holds() ? this->owner.TakeDemoted() : std::vector<BlockOrder>();
}

} // namespace damasklink

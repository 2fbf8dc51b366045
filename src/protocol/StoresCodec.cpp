#include "damasklink/protocol/StoresCodec.h"

#include <Stores_generated.h>

namespace damasklink {
namespace {

template<typename Id>
std::vector<std::string>
ToTexts(const std::vector<Id>& aIds)
{
  std::vector<std::string> texts;
  texts.reserve(aIds.size());
  for (const Id& id : aIds) {
    texts.push_back(id.Value());
  }
  return texts;
}

std::vector<Digest>
ToDigests(std::vector<std::string>& aTexts)
{
  std::vector<Digest> digests;
  digests.reserve(aTexts.size());
  for (std::string& text : aTexts) {
    digests.emplace_back(std::move(text));
  }
  return digests;
}

std::vector<std::unique_ptr<wire::GrantedBlockT>>
PackBlocks(const std::vector<ExportedBlock>& aBlocks)
{
  std::vector<std::unique_ptr<wire::GrantedBlockT>> packed;
  packed.reserve(aBlocks.size());
  for (const ExportedBlock& block : aBlocks) {
    wire::GrantedBlockT& entry = *packed.emplace_back(std::make_unique<wire::GrantedBlockT>());
    entry.block = block.block.Value();
    entry.generation = block.generation.Value();
    entry.length = block.length.Value();
    entry.checksum = block.checksum.Value();
  }
  return packed;
}

std::vector<ExportedBlock>
UnpackBlocks(const std::vector<std::unique_ptr<wire::GrantedBlockT>>& aPacked)
{
  std::vector<ExportedBlock> blocks;
  blocks.reserve(aPacked.size());
  for (const auto& entry : aPacked) {
    blocks.push_back({ Digest(entry->block),
                       Generation(entry->generation),
                       ByteCount(entry->length),
                       Checksum(entry->checksum) });
  }
  return blocks;
}

// Converts each message to its wire format.
struct Packer
{
  wire::StoresBodyUnion operator()(const OwnerNotice& aNotice) const
  {
    wire::OwnerNoticeT packed;
    packed.store = aNotice.store.Value();
    packed.owner = aNotice.owner.Value();
    packed.fencing = aNotice.fencing.Value();
    return Union(std::move(packed));
  }

  wire::StoresBodyUnion operator()(const StoreQuestion& aQuestion) const
  {
    const HashedPrompt& prompt = aQuestion.prompt;
    wire::StoreQuestionT packed;
    packed.number = aQuestion.number.Value();
    packed.kind = static_cast<wire::QuestionKind>(aQuestion.kind);
    packed.store = aQuestion.store.Value();
    packed.scope = std::make_unique<wire::BlockScopeTextT>();
    packed.scope->workspace = prompt.scope.workspace.Value();
    packed.scope->model = prompt.scope.model.Value();
    packed.scope->version = prompt.scope.version.Value();
    packed.scope->adapter = prompt.scope.adapter.Value();
    packed.blocks = ToTexts(prompt.blocks);
    packed.from = aQuestion.from;
    packed.to = aQuestion.to;
    packed.returning = prompt.returning;
    packed.weigh_time = prompt.objective.time;
    packed.weigh_recompute = prompt.objective.recompute;
    packed.weigh_link = prompt.objective.link;
    packed.prefill_rate = prompt.prefillRate;
    return Union(std::move(packed));
  }

  wire::StoresBodyUnion operator()(const StoreAnswer& aAnswer) const
  {
    wire::StoreAnswerT packed;
    packed.number = aAnswer.number.Value();
    packed.status = static_cast<wire::AnswerStatus>(aAnswer.status);
    packed.store = aAnswer.kept.store.Value();
    packed.kept_blocks = aAnswer.kept.blocks;
    packed.kept_bytes = aAnswer.kept.bytes.Value();
    packed.free_rate = aAnswer.kept.freeBytesPerSecond;
    packed.returning = aAnswer.kept.returning;
    packed.fencing = aAnswer.fencing.Value();
    packed.grant = aAnswer.grant.Value();
    packed.valid = aAnswer.valid.count();
    packed.granted = PackBlocks(aAnswer.blocks);
    return Union(std::move(packed));
  }

  wire::StoresBodyUnion operator()(const StoreOutcome& aOutcome) const
  {
    wire::StoreOutcomeT packed;
    packed.store = aOutcome.store.Value();
    packed.fencing = aOutcome.fencing.Value();
    packed.grant = aOutcome.grant.Value();
    packed.elapsed = aOutcome.elapsed.count();
    packed.moved = aOutcome.moved;
    packed.blocks = PackBlocks(aOutcome.blocks);
    return Union(std::move(packed));
  }

  wire::StoresBodyUnion operator()(const SendsNotice& aNotice) const
  {
    wire::SendsNoticeT packed;
    for (const TargetSendsDelta& sends : aNotice) {
      auto& entry = *packed.sends.emplace_back(std::make_unique<wire::TargetSendsEntryT>());
      entry.target = sends.target.Value();
      entry.requests = sends.requests;
      entry.prefill = sends.prefill.Value();
    }
    return Union(std::move(packed));
  }

  wire::StoresBodyUnion operator()(const CacheEvent& aEvent) const
  {
    wire::CacheNoticeT packed;
    packed.target = aEvent.target.Value();
    packed.incarnation = aEvent.incarnation.Value();
    packed.sequence = aEvent.sequence.Value();
    packed.added = ToTexts(aEvent.added);
    packed.removed = ToTexts(aEvent.removed);
    return Union(std::move(packed));
  }

  wire::StoresBodyUnion operator()(const CacheSnapshot& aSnapshot) const
  {
    wire::CacheNoticeT packed;
    packed.target = aSnapshot.target.Value();
    packed.incarnation = aSnapshot.incarnation.Value();
    packed.sequence = aSnapshot.sequence.Value();
    packed.snapshot = true;
    packed.added = ToTexts(aSnapshot.blocks);
    return Union(std::move(packed));
  }

  template<typename Packed>
  static wire::StoresBodyUnion Union(Packed&& aPacked)
  {
    wire::StoresBodyUnion body;
    body.Set(std::forward<Packed>(aPacked));
    return body;
  }
};

StoreQuestion
Unpack(wire::StoreQuestionT& aPacked)
{
  StoreQuestion question;
  question.number = QuestionNumber(aPacked.number);
  question.kind = static_cast<QuestionKind>(aPacked.kind);
  question.store = StoreId(aPacked.store);
  if (aPacked.scope) {
    question.prompt.scope = { WorkspaceId(aPacked.scope->workspace),
                              ModelName(aPacked.scope->model),
                              WeightVersion(aPacked.scope->version),
                              AdapterName(aPacked.scope->adapter) };
  }
  question.prompt.blocks = ToDigests(aPacked.blocks);
  question.prompt.returning = aPacked.returning;
  question.prompt.objective = { aPacked.weigh_time, aPacked.weigh_recompute, aPacked.weigh_link };
  question.prompt.prefillRate = aPacked.prefill_rate;
  question.from = aPacked.from;
  question.to = aPacked.to;
  return question;
}

StoreAnswer
Unpack(wire::StoreAnswerT& aPacked)
{
  StoreAnswer answer;
  answer.number = QuestionNumber(aPacked.number);
  answer.status = static_cast<AnswerStatus>(aPacked.status);
  answer.kept.store = StoreId(aPacked.store);
  answer.kept.blocks = aPacked.kept_blocks;
  answer.kept.tokens = TokenCount(aPacked.kept_blocks * kBlockTokens);
  answer.kept.bytes = ByteCount(aPacked.kept_bytes);
  answer.kept.freeBytesPerSecond = aPacked.free_rate;
  answer.kept.returning = aPacked.returning;
  answer.fencing = FencingNumber(aPacked.fencing);
  answer.grant = GrantId(aPacked.grant);
  answer.valid = Duration(aPacked.valid);
  answer.blocks = UnpackBlocks(aPacked.granted);
  return answer;
}

StoreOutcome
Unpack(wire::StoreOutcomeT& aPacked)
{
  StoreOutcome outcome;
  outcome.store = StoreId(aPacked.store);
  outcome.fencing = FencingNumber(aPacked.fencing);
  outcome.grant = GrantId(aPacked.grant);
  outcome.elapsed = Duration(aPacked.elapsed);
  outcome.moved = aPacked.moved;
  outcome.blocks = UnpackBlocks(aPacked.blocks);
  return outcome;
}

SendsNotice
Unpack(wire::SendsNoticeT& aPacked)
{
  SendsNotice notice;
  for (const auto& entry : aPacked.sends) {
    notice.push_back({ TargetId(entry->target), entry->requests, TokenCount(entry->prefill) });
  }
  return notice;
}

StoresMessage
Unpack(wire::CacheNoticeT& aPacked)
{
  const TargetId target(aPacked.target);
  const Incarnation incarnation(aPacked.incarnation);
  const Sequence sequence(aPacked.sequence);
  if (aPacked.snapshot) {
    return CacheSnapshot{ target, incarnation, sequence, ToDigests(aPacked.added) };
  }
  return CacheEvent{
    target, incarnation, sequence, ToDigests(aPacked.added), ToDigests(aPacked.removed)
  };
}

auto
Corrupt()
{
  return Fail(ErrorKind::Corrupt,
              "a message about stores is malformed",
              "run the same or adjacent versions on all hosts");
}

} // namespace

std::string
EncodeStoresMessage(const StoresMessage& aMessage)
{
  wire::StoresMessageT message;
  message.body = std::visit(Packer(), aMessage);
  flatbuffers::FlatBufferBuilder builder;
  wire::FinishStoresMessageBuffer(builder, wire::StoresMessage::Pack(builder, &message));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
}

Result<StoresMessage>
DecodeStoresMessage(std::string_view aBytes)
{
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(bytes, aBytes.size());
  if (!wire::VerifyStoresMessageBuffer(verifier)) {
    return Corrupt();
  }
  const std::unique_ptr<wire::StoresMessageT> message(wire::GetStoresMessage(bytes)->UnPack());
  wire::StoresBodyUnion& body = message->body;
  switch (body.type) {
    case wire::StoresBody::OwnerNotice: {
      const wire::OwnerNoticeT& notice = *body.AsOwnerNotice();
      return StoresMessage(
        OwnerNotice{ StoreId(notice.store), HostId(notice.owner), FencingNumber(notice.fencing) });
    }
    case wire::StoresBody::StoreQuestion:
      return StoresMessage(Unpack(*body.AsStoreQuestion()));
    case wire::StoresBody::StoreAnswer:
      return StoresMessage(Unpack(*body.AsStoreAnswer()));
    case wire::StoresBody::StoreOutcome:
      return StoresMessage(Unpack(*body.AsStoreOutcome()));
    case wire::StoresBody::SendsNotice:
      return StoresMessage(Unpack(*body.AsSendsNotice()));
    case wire::StoresBody::CacheNotice:
      return Unpack(*body.AsCacheNotice());
    case wire::StoresBody::NONE:
      break;
  }
  return Corrupt();
}

} // namespace damasklink

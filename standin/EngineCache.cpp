#include "EngineCache.h"

#include <absl/time/time.h>

#include "damasklink/coordination/BlockNames.h"
#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/HttpClient.h"

namespace damasklink::standin {
namespace {

constexpr int kBadRequest = 400;
constexpr int kOk = 200;
constexpr ByteCount kMostBlock{ 16 * kMebibyte };
constexpr Duration kPublishEvery = std::chrono::milliseconds(50);

// What the engine would have computed for a block; the same whoever computes it.
std::string
ContentOf(const Digest& aBlock, std::size_t aBytes)
{
  std::string content;
  while (content.size() < aBytes) {
    content += aBlock.Value();
  }
  content.resize(aBytes);
  return content;
}

HttpResponse
Answer(int aStatus, std::string aBody)
{
  HttpResponse response;
  response.status = aStatus;
  response.body = std::move(aBody);
  return response;
}

HttpCall
BlockCall(const Endpoint& aStore, const Digest& aBlock, Duration aWithin)
{
  HttpCall call;
  call.endpoint = aStore;
  call.path = Concat(kBlocksPath, "/", aBlock.Value());
  call.readTimeout = aWithin;
  return call;
}

struct FoundBlock
{
  BlockHeader header;
  std::string content;
};

// Reads what the store holds under the name.
Result<FoundBlock>
FetchBlock(HttpCall aCall)
{
  auto opened = HttpExchange::Connect(std::move(aCall));
  if (!opened) {
    return Fail(opened.error());
  }
  HttpExchange& exchange = *opened.value();
  if (auto sent = exchange.Send(); !sent) {
    return Fail(sent.error());
  }
  if (auto read = exchange.ReadHeader(); !read) {
    return Fail(read.error());
  }
  auto header = ParseBlockHeader(exchange.Header(kBlockHeaderField));
  if (exchange.Status() != kOk || !header) {
    return Fail(ErrorKind::Corrupt, "the store does not hold the block", "compute the prompt");
  }
  FoundBlock found{ header.value(), "" };
  while (found.content.size() <= kMostBlock.Value()) {
    auto piece = exchange.ReadSome();
    if (!piece) {
      return Fail(piece.error());
    }
    if (piece.value().empty()) {
      return found;
    }
    found.content += piece.value();
  }
  return Fail(ErrorKind::Corrupt, "the block has no end", "compute the prompt");
}

// Reads one block and checks it against the order.
Result<void>
ReadBlock(const ImportOrder& aOrder, const BlockHeader& aBlock, Duration aWithin)
{
  auto found = FetchBlock(BlockCall(aOrder.store, aBlock.block, aWithin));
  if (!found) {
    return Fail(found.error());
  }
  return CheckBlock(aBlock, found.value().header, found.value().content);
}

} // namespace

EngineCache::EngineCache(EngineCacheOptions aOptions)
  : options(std::move(aOptions))
  , incarnation(
      static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()))
{
  this->publisher = std::thread([this] { this->Publish(); });
}

EngineCache::~EngineCache()
{
  {
    absl::MutexLock lock(&this->mutex);
    this->stopped = true;
  }
  this->publisher.join();
}

void
EngineCache::AddRoutes(HttpServer& aServer)
{
  aServer.Route(
    "POST", kImportPath, [this](const HttpRequest& aRequest) { return this->Import(aRequest); });
  aServer.Route(
    "POST", kExportPath, [this](const HttpRequest& aRequest) { return this->Export(aRequest); });
  aServer.Route("GET", kSnapshotPath, [this](const HttpRequest&) { return this->Snapshot(); });
}

std::size_t
EngineCache::Touch(const BlockScope& aScope, const std::string& aPrompt)
{
  const FourByteTokenizer tokenizer;
  const std::vector<Digest> blocks = NameBlocks(aScope, tokenizer.Tokenize(aPrompt));
  std::size_t known = 0;
  while (known < blocks.size() && this->Holds(blocks[known])) {
    ++known;
  }
  this->Add(blocks);
  return known * kBlockTokens;
}

bool
EngineCache::Holds(const Digest& aBlock)
{
  absl::MutexLock lock(&this->mutex);
  return this->places.contains(aBlock);
}

void
EngineCache::Add(const std::vector<Digest>& aBlocks)
{
  absl::MutexLock lock(&this->mutex);
  CacheEvent event;
  for (auto block = aBlocks.rbegin(); block != aBlocks.rend(); ++block) {
    const auto found = this->places.find(*block);
    if (found != this->places.end()) {
      this->order.splice(this->order.begin(), this->order, found->second);
      continue;
    }
    this->order.push_front(*block);
    this->places[*block] = this->order.begin();
    event.added.push_back(*block);
  }
  while (this->places.size() > this->options.mostBlocks) {
    event.removed.push_back(this->order.back());
    this->places.erase(this->order.back());
    this->order.pop_back();
  }
  if (event.added.empty() && event.removed.empty()) {
    return;
  }
  event.target = this->options.id;
  event.incarnation = this->incarnation;
  this->sequence = this->sequence.Next();
  event.sequence = this->sequence;
  this->unsent.push_back(std::move(event));
}

HttpResponse
EngineCache::Import(const HttpRequest& aRequest)
{
  const auto order = ParseImportOrder(aRequest.body);
  if (!order) {
    return Answer(kBadRequest, Describe(order.error()));
  }
  const auto until = std::chrono::steady_clock::now() + order.value().valid;
  ImportReport report;
  std::vector<Digest> whole;
  for (const BlockHeader& block : order.value().blocks) {
    const Duration left = until - std::chrono::steady_clock::now();
    if (left <= Duration(0)) {
      break;
    }
    const auto read = ReadBlock(order.value(), block, left);
    // A block that arrived after its pin ended may be another's by now.
    const bool late = std::chrono::steady_clock::now() >= until;
    if (!read && read.error().kind == ErrorKind::Corrupt) {
      report.wrong.push_back(block.block);
    }
    if (!read || late) {
      break;
    }
    whole.push_back(block.block);
  }
  report.imported = whole.size();
  this->Add(whole);
  return Answer(kOk, FormatImportReport(report));
}

HttpResponse
EngineCache::Export(const HttpRequest& aRequest)
{
  const auto parsed = ParseExportOrder(aRequest.body);
  if (!parsed) {
    return Answer(kBadRequest, Describe(parsed.error()));
  }
  const ExportOrder& order = parsed.value();
  std::vector<ExportedBlock> exported;
  for (const ReservedBlock& block : order.blocks) {
    if (!this->Holds(block.block)) {
      break;
    }
    HttpCall call = BlockCall(order.store, block.block, std::chrono::seconds(5));
    call.method = "PUT";
    call.body = ContentOf(block.block, block.length.Value());
    const BlockHeader header{
      block.block, order.scope, block.generation, block.length, ChecksumOf(call.body)
    };
    call.headers = { { "content-type", "application/octet-stream" },
                     { kBlockHeaderField, FormatBlockHeader(header) },
                     { kFencingField, Concat(order.fencing.Value()) } };
    const auto answer = CallHttp(std::move(call), kMostBlock);
    if (!answer || answer.value().status != kOk) {
      break;
    }
    exported.push_back({ block.block, block.generation, block.length, header.checksum });
  }
  return Answer(kOk, FormatExported(exported));
}

HttpResponse
EngineCache::Snapshot()
{
  absl::MutexLock lock(&this->mutex);
  const std::vector<Digest> blocks(this->order.rbegin(), this->order.rend());
  return Answer(
    kOk, FormatCacheSnapshot({ this->options.id, this->incarnation, this->sequence, blocks }));
}

void
EngineCache::Publish()
{
  while (true) {
    std::vector<CacheEvent> events;
    {
      absl::MutexLock lock(&this->mutex);
      if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopped),
                                       absl::FromChrono(kPublishEvery))) {
        return;
      }
      events.swap(this->unsent);
    }
    for (const CacheEvent& event : events) {
      this->Send(event);
    }
  }
}

void
EngineCache::Send(const CacheEvent& aEvent) const
{
  for (const Endpoint& host : this->options.hosts) {
    HttpCall call;
    call.endpoint = host;
    call.method = "POST";
    call.path = kCacheEventPath;
    call.headers = { { "content-type", "application/json" },
                     { "authorization", Concat("Bearer ", this->options.key) } };
    call.body = FormatCacheEvent(aEvent);
    call.readTimeout = std::chrono::seconds(1);
    if (CallHttp(std::move(call), kMostBlock)) {
      return;
    }
  }
}

} // namespace damasklink::standin

#include "Store.h"

#include <thread>

#include "damasklink/state/Text.h"
#include <absl/strings/numbers.h>

namespace damasklink::standin {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kFull = 507;

HttpResponse
Status(int aStatus, std::string aBody = "{}")
{
  HttpResponse response;
  response.status = aStatus;
  response.body = std::move(aBody);
  return response;
}

} // namespace

Store::Store(StoreOptions aOptions)
  : options(std::move(aOptions))
{
}

void
Store::AddRoutes(HttpServer& aServer)
{
  aServer.Route(
    "POST", kFreePath, [this](const HttpRequest& aRequest) { return this->Free(aRequest); });
  // What is moved to the disk stays readable; this stand-in keeps it where it is.
  aServer.Route("POST", kDemotePath, [](const HttpRequest&) { return Status(200); });
  aServer.Route("GET", kBlocksPath, [this](const HttpRequest&) { return this->List(); });
  aServer.Route("GET", Concat(kBlocksPath, "/([0-9a-f]+)"), [this](const HttpRequest& aRequest) {
    return this->Read(aRequest);
  });
  aServer.Route("PUT", Concat(kBlocksPath, "/([0-9a-f]+)"), [this](const HttpRequest& aRequest) {
    return this->Write(aRequest);
  });
  aServer.Route("POST", "/fault/([a-z]+)", [this](const HttpRequest& aRequest) {
    return this->SetFault(aRequest);
  });
}

TargetRecord
Store::Record() const
{
  TargetRecord record;
  record.id = this->options.id;
  record.kind = TargetKind::Store;
  record.zone = this->options.zone;
  record.endpoint = this->options.listen;
  record.checksFencing = true;
  record.store = this->options.declared;
  return record;
}

void
Store::Move(std::size_t aBytes)
{
  constexpr double kSlow = 0.01;
  auto rate = static_cast<double>(this->options.declared.linkBytesPerSecond.Value());
  {
    absl::MutexLock lock(&this->mutex);
    rate *= this->fault == "slow" ? kSlow : 1;
  }
  absl::MutexLock lock(&this->link);
  std::this_thread::sleep_for(std::chrono::duration<double>(static_cast<double>(aBytes) / rate));
}

bool
Store::Accepts(FencingNumber aFencing)
{
  absl::MutexLock lock(&this->mutex);
  if (aFencing < this->highest) {
    return false;
  }
  this->highest = aFencing;
  return true;
}

HttpResponse
Store::Write(const HttpRequest& aRequest)
{
  const auto header = ParseBlockHeader(aRequest.Header(kBlockHeaderField));
  std::uint64_t fencing = 0;
  if (!header || !absl::SimpleAtoi(aRequest.Header(kFencingField), &fencing)) {
    return Status(kBadRequest);
  }
  if (!this->Accepts(FencingNumber(fencing))) {
    return Status(kConflict);
  }
  this->Move(aRequest.body.size());
  absl::MutexLock lock(&this->mutex);
  const std::size_t room =
    (this->options.declared.memory.Value() + this->options.declared.disk.Value());
  if (this->fault == "full" || this->used + aRequest.body.size() > room) {
    return Status(kFull);
  }
  Kept& kept = this->blocks[header.value().block];
  if (kept.header.generation > header.value().generation) {
    return Status(kConflict);
  }
  this->used += aRequest.body.size() - kept.content.size();
  kept = { header.value(), aRequest.body };
  return Status(200);
}

HttpResponse
Store::Read(const HttpRequest& aRequest)
{
  Kept found;
  {
    absl::MutexLock lock(&this->mutex);
    const auto kept = this->blocks.find(Digest(aRequest.groups.at(0)));
    if (kept == this->blocks.end()) {
      return Status(kNotFound);
    }
    found = kept->second;
  }
  this->Move(found.content.size());
  HttpResponse response = Status(200, std::move(found.content));
  response.contentType = "application/octet-stream";
  response.headers = { { kBlockHeaderField, FormatBlockHeader(found.header) } };
  return response;
}

HttpResponse
Store::List()
{
  std::vector<BlockHeader> inventory;
  absl::MutexLock lock(&this->mutex);
  for (const auto& [name, kept] : this->blocks) {
    inventory.push_back(kept.header);
    if (this->fault == "lying") {
      inventory.back().checksum = Checksum(1);
    }
  }
  return Status(200, FormatInventory(inventory));
}

HttpResponse
Store::Free(const HttpRequest& aRequest)
{
  const auto order = ParseStoreOrder(aRequest.body);
  if (!order) {
    return Status(kBadRequest);
  }
  if (!this->Accepts(order.value().fencing)) {
    return Status(kConflict);
  }
  absl::MutexLock lock(&this->mutex);
  for (const BlockCommand& block : order.value().blocks) {
    const auto kept = this->blocks.find(block.block);
    if (kept != this->blocks.end() && kept->second.header.generation == block.generation) {
      this->used -= kept->second.content.size();
      this->blocks.erase(kept);
    }
  }
  return Status(200);
}

HttpResponse
Store::SetFault(const HttpRequest& aRequest)
{
  absl::MutexLock lock(&this->mutex);
  this->fault = aRequest.groups.at(0);
  if (this->fault == "save") {
    this->saved = this->blocks;
  } else if (this->fault == "old" || this->fault == "empty") {
    this->blocks = this->fault == "old" ? this->saved : Blocks();
    this->used = 0;
    for (const auto& [name, kept] : this->blocks) {
      this->used += kept.content.size();
    }
  }
  return Status(200);
}

} // namespace damasklink::standin

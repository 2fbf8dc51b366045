#include "ForwardedCaller.h"

#include <utility>

namespace damasklink {
namespace {

// Returns about how many bytes a message with this head and body takes.
std::size_t
MessageBytes(const HttpResponseHead& aHead, std::size_t aBody)
{
  std::size_t bytes = aBody;
  for (const HttpField& field : aHead.fields.All()) {
    bytes += field.name.size() + field.value.size();
  }
  return bytes;
}

} // namespace

Awaitable<bool>
ForwardedCaller::AwaitRoom(RoomRequest aRequest)
{
  if (this->IsOver()) {
    co_return false;
  }
  this->wait = this->room.MakeWait();
  const bool hasRoom = co_await this->room.Wait(this->host, aRequest, this->wait);
  this->wait = nullptr;
  co_return hasRoom;
}

void
ForwardedCaller::EndWait()
{
  if (this->wait != nullptr) {
    this->wait->End();
  }
}

bool
ForwardedCaller::Send(const ForwardingMessage& aMessage)
{
  if (this->IsOver()) {
    return false;
  }
  this->send(aMessage);
  return true;
}

Awaitable<bool>
ForwardedCaller::WriteWhole(HttpResponseMessage aResponse, bool /*aClose*/)
{
  const std::size_t bytes = MessageBytes(aResponse.head, aResponse.body.size());
  if (!co_await this->AwaitRoom({ bytes, true })) {
    co_return false;
  }
  const ForwardedHead head{
    this->number, std::move(aResponse.head), std::move(aResponse.body), true, std::nullopt
  };
  const bool sent = this->Send(head);
  this->finished = true;
  co_return sent;
}

Awaitable<bool>
ForwardedCaller::BeginStream(const HttpResponseHead& aHead,
                             std::string_view aChunk,
                             bool /*aClose*/)
{
  if (!co_await this->AwaitRoom({ MessageBytes(aHead, aChunk.size()), true })) {
    co_return false;
  }
  const ForwardedHead head{ this->number, aHead, std::string(aChunk), false, this->software };
  co_return this->Send(head);
}

Awaitable<bool>
ForwardedCaller::WriteChunk(std::string_view aChunk)
{
  if (!co_await this->AwaitRoom({ aChunk.size(), false })) {
    co_return false;
  }
  const ForwardedChunk chunk{ this->number, std::string(aChunk) };
  co_return this->Send(chunk);
}

Awaitable<bool>
ForwardedCaller::EndStream()
{
  const bool sent = this->Send(ForwardedEnd{ this->number, true });
  this->finished = true;
  co_return sent;
}

void
ForwardedCaller::WatchForDisconnect(std::function<void()> aHandler)
{
  this->onDisconnect = std::move(aHandler);
  if (this->cancelled) {
    this->OnCancelled();
  }
}

void
ForwardedCaller::Close()
{
  this->Send(ForwardedEnd{ this->number, false });
  this->finished = true;
  this->EndWait();
}

void
ForwardedCaller::OnCancelled()
{
  this->cancelled = true;
  this->EndWait();
  if (const auto handler = std::exchange(this->onDisconnect, nullptr)) {
    handler();
  }
}

} // namespace damasklink

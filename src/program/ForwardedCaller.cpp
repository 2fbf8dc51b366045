#include "ForwardedCaller.h"

#include <utility>

namespace damasklink {

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
  const ForwardedHead head{ this->number, aHead, std::string(aChunk), false, this->software };
  co_return this->Send(head);
}

Awaitable<bool>
ForwardedCaller::WriteChunk(std::string_view aChunk)
{
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
}

void
ForwardedCaller::OnCancelled()
{
  this->cancelled = true;
  if (const auto handler = std::exchange(this->onDisconnect, nullptr)) {
    handler();
  }
}

} // namespace damasklink

#include "CallForwarder.h"

#include <algorithm>
#include <utility>

#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// How long a call waits for a connection to another host.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

// How long an unused connection to another host is kept.
constexpr Duration kIdleTimeout = std::chrono::seconds(5);

// Returns how many bytes of a body the message carries.
std::size_t
BodyBytes(const ForwardingMessage& aMessage)
{
  if (const auto* head = std::get_if<ForwardedHead>(&aMessage)) {
    return head->bytes.size();
  }
  const auto* chunk = std::get_if<ForwardedChunk>(&aMessage);
  return chunk == nullptr ? 0 : chunk->bytes.size();
}

} // namespace

ForwardedResponse::ForwardedResponse(CallForwarder& aForwarder,
                                     asio::io_context& aLoop,
                                     HostId aHost,
                                     CallNumber aNumber,
                                     MemoryReservation aMemory)
  : forwarder(&aForwarder)
  , host(std::move(aHost))
  , number(aNumber)
  , wakeUp(aLoop)
  , memory(std::move(aMemory))
{
}

ForwardedResponse::~ForwardedResponse()
{
  this->Close();
  if (this->forwarder != nullptr) {
    this->forwarder->Remove(*this);
  }
}

Awaitable<const ForwardingMessage*>
ForwardedResponse::Peek()
{
  while (this->messages.empty() && !this->ended) {
    this->wakeUp.expires_at(asio::steady_timer::time_point::max());
    co_await this->wakeUp.async_wait(kAsValue);
  }
  co_return this->messages.empty() ? nullptr : &this->messages.front();
}

Awaitable<Result<ForwardingMessage>>
ForwardedResponse::Next()
{
  if (co_await this->Peek() == nullptr) {
    co_return Fail(ErrorKind::Interrupted,
                   "the connection to the host that runs the call was lost",
                   "check that entry hosts reach each other on their internal ports");
  }
  ForwardingMessage message = std::move(this->messages.front());
  this->messages.pop_front();
  this->memory.TryResize(this->memory.Bytes() - BodyBytes(message));
  co_return message;
}

void
ForwardedResponse::Close()
{
  if (!this->ended && !this->answered && this->forwarder != nullptr) {
    this->forwarder->SendMessage(this->host, ForwardingCancel{ this->number });
  }
  this->messages.clear();
  this->memory.TryResize(0);
  this->OnLost();
}

void
ForwardedResponse::OnMessage(ForwardingMessage aMessage)
{
  if (this->ended) {
    return;
  }
  // The caller reads more slowly than the other host sends.
  if (!this->memory.TryResize(this->memory.Bytes() + BodyBytes(aMessage))) {
    LogEvent(LogLevel::Warning, "forwarded_response_given_up")
      .With("host", this->host)
      .With("queued", this->memory.Bytes())
      .With("reason", "no_memory");
    this->Close();
    return;
  }
  const auto* head = std::get_if<ForwardedHead>(&aMessage);
  this->answered = std::holds_alternative<ForwardingDecline>(aMessage) ||
                   std::holds_alternative<ForwardedEnd>(aMessage) ||
                   (head != nullptr && head->whole);
  this->messages.push_back(std::move(aMessage));
  this->wakeUp.cancel();
}

void
ForwardedResponse::OnLost()
{
  this->ended = true;
  this->wakeUp.cancel();
}

void
ForwardedResponse::OnSilence()
{
  if (!this->ended && this->onSilence) {
    this->onSilence();
  }
}

CallForwarder::CallForwarder(asio::io_context& aLoop,
                             const Clock& aClock,
                             const ServingSettings& aSettings,
                             Metrics& aMetrics,
                             MemoryBudget& aMemory,
                             std::uint64_t aSeed,
                             CallHandler aHandler)
  : loop(aLoop)
  , clock(aClock)
  , enabled(aSettings.forwardingPort != 0)
  , metrics(aMetrics)
  , memory(aMemory)
  , handler(std::move(aHandler))
  , peers(aClock, aSeed, aSettings.zone)
  , mesh(aLoop, aSettings.host, aSettings.forwardingPort, aMemory, *this)
  , room(aLoop, aClock, aMemory, this->mesh)
  , lastNumber(aSeed)
{
}

// Calls that are cut off when the process stops are destroyed after the forwarder.
CallForwarder::~CallForwarder()
{
  for (const auto& [key, response] : this->forwarded) {
    response->forwarder = nullptr;
  }
}

Result<void>
CallForwarder::Listen()
{
  if (!this->enabled) {
    LogEvent(LogLevel::Warning, "forwarding_disabled").With("reason", "no second internal port");
    return Success();
  }
  return this->mesh.Listen();
}

void
CallForwarder::SetHosts(EntryHostZones aHosts)
{
  if (this->enabled) {
    this->peers.SetHosts(std::move(aHosts));
  }
}

std::optional<HostId>
CallForwarder::Choose(const ServiceName& aService, const std::set<HostId>& aTried)
{
  return this->peers.Choose(aService, aTried);
}

Awaitable<bool>
CallForwarder::Connect(HostId aHost)
{
  this->usedAt[aHost] = this->clock.MonotonicNow();
  if (this->mesh.IsUp(aHost)) {
    co_return true;
  }
  this->mesh.Dial(aHost);
  auto connected = std::make_shared<asio::steady_timer>(this->loop, kConnectTimeout);
  this->connecting[aHost].push_back(connected);
  co_await connected->async_wait(kAsValue);
  std::erase(this->connecting[aHost], connected);
  if (this->mesh.IsUp(aHost)) {
    co_return true;
  }
  LogEvent(LogLevel::Info, "forwarding_host_unreachable").With("host", aHost);
  this->peers.OnNotConnected(aHost);
  co_return false;
}

Awaitable<bool>
CallForwarder::ConnectWithRoom(HostId aHost, std::size_t aBytes, std::shared_ptr<RoomWait> aWait)
{
  if (!co_await this->Connect(aHost)) {
    co_return false;
  }
  const RoomRequest request{ aBytes, true };
  co_return co_await this->room.Wait(aHost, request, std::move(aWait));
}

std::unique_ptr<ForwardedResponse>
CallForwarder::Send(const HostId& aHost, ForwardedCall aCall)
{
  this->lastNumber = this->lastNumber.Next();
  aCall.number = this->lastNumber;
  auto response =
    std::make_unique<ForwardedResponse>(*this,
                                        this->loop,
                                        aHost,
                                        this->lastNumber,
                                        *this->memory.TryReserve(MemoryUse::ForwardedCalls, 0));
  this->forwarded[{ aHost, aCall.number }] = response.get();
  this->peers.OnSent(aHost);
  this->SendMessage(aHost, aCall);
  return response;
}

void
CallForwarder::Remove(const ForwardedResponse& aResponse)
{
  this->forwarded.erase({ aResponse.host, aResponse.number });
  this->peers.OnEnded(aResponse.host);
}

void
CallForwarder::OnDeclined(const HostId& aHost, const ServiceName& aService, DeclineReason aReason)
{
  this->peers.OnDeclined(aHost, aService);
  this->metrics.Add(Counter::ForwardingDeclines,
                    MetricKey{ WorkspaceId(), std::string(DeclineReasonName(aReason)) },
                    1);
}

void
CallForwarder::CloseIdle()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  for (auto used = this->usedAt.begin(); used != this->usedAt.end();) {
    // The other side's calls may run on the connection that this host has made.
    if (this->HasCalls(used->first) || this->mesh.HasUnread(used->first)) {
      used->second = now;
    }
    if (now - used->second < kIdleTimeout) {
      ++used;
      continue;
    }
    this->mesh.Disconnect(used->first);
    this->connecting.erase(used->first);
    used = this->usedAt.erase(used);
  }
}

bool
CallForwarder::HasCalls(const HostId& aHost) const
{
  return this->peers.IsInUse(aHost) ||
         std::any_of(this->served.begin(), this->served.end(), [&](const auto& aItem) {
           return aItem.first.first == aHost;
         });
}

void
CallForwarder::SendMessage(const HostId& aHost, const ForwardingMessage& aMessage)
{
  this->mesh.Send(aHost,
                  PeerMessage{ Channel::Forwarding, GroupId(), EncodeForwardingMessage(aMessage) });
}

void
CallForwarder::OnPeerUp(const HostId& aPeer, LinkSide /*aSide*/)
{
  const auto found = this->connecting.find(aPeer);
  if (found != this->connecting.end()) {
    for (const auto& waiting : found->second) {
      waiting->cancel();
    }
  }
}

// Calls may have been handed over on the lost connection even if another one to the host exists, so
// all of them count as broken off.
void
CallForwarder::OnPeerDown(const HostId& aPeer, LinkSide /*aSide*/)
{
  for (const auto& [key, response] : this->forwarded) {
    if (key.first == aPeer) {
      response->OnLost();
    }
  }
  std::vector<std::shared_ptr<ForwardedCaller>> callers;
  for (const auto& [key, call] : this->served) {
    if (key.first == aPeer) {
      callers.push_back(call.caller);
    }
  }
  for (const auto& caller : callers) {
    caller->OnCancelled();
  }
  this->room.OnLost(aPeer);
}

// The calls go on: a host that stands still for a moment answers them afterwards.
bool
CallForwarder::OnPeerSilent(const HostId& aPeer)
{
  for (const auto& [key, response] : this->forwarded) {
    if (key.first == aPeer) {
      response->OnSilence();
    }
  }
  return !this->HasCalls(aPeer);
}

void
CallForwarder::OnPeerMessage(const HostId& aPeer, PeerMessage aMessage)
{
  auto decoded = DecodeForwardingMessage(aMessage.payload);
  if (!decoded) {
    LogEvent(LogLevel::Warning, "forwarding_message_unreadable")
      .With("from", aPeer)
      .With("error", decoded.error());
    return;
  }
  ForwardingMessage& message = decoded.value();
  const CallKey key{ aPeer, NumberOf(message) };
  if (auto* call = std::get_if<ForwardedCall>(&message)) {
    this->OnCall(aPeer, std::move(*call));
  } else if (std::holds_alternative<ForwardingCancel>(message)) {
    if (const auto found = this->served.find(key); found != this->served.end()) {
      const std::shared_ptr<ForwardedCaller> caller = found->second.caller;
      caller->OnCancelled();
    }
  } else if (const auto found = this->forwarded.find(key); found != this->forwarded.end()) {
    found->second->OnMessage(std::move(message));
  }
}

void
CallForwarder::OnCall(const HostId& aFrom, ForwardedCall aCall)
{
  const CallKey key{ aFrom, aCall.number };
  auto caller = std::make_shared<ForwardedCaller>(
    aCall.number, aFrom, this->room, [this, aFrom](const ForwardingMessage& aMessage) {
      this->SendMessage(aFrom, aMessage);
    });
  const std::size_t bytes = aCall.body.size();
  auto memory = this->memory.TryReserve(MemoryUse::ForwardedCalls, bytes);
  const bool full =
    !memory || this->served.size() >= kMaxServed || this->servedBytes + bytes > kMaxServedBytes;
  // Added first: the call may end before the handler returns.
  this->served[key] = ServedCall{ caller, bytes, std::move(memory).value_or(MemoryReservation()) };
  this->servedBytes += bytes;
  if (full) {
    LogEvent(LogLevel::Warning, "forwarded_call_declined")
      .With("from", aFrom)
      .With("service", aCall.service)
      .With("served", this->served.size())
      .With("bytes", this->servedBytes);
  }
  const std::optional<DeclineReason> declined =
    full ? DeclineReason::Overloaded : this->handler(aFrom, aCall, caller);
  if (declined) {
    this->EndServed(aFrom, key.second);
    this->SendMessage(aFrom, ForwardingDecline{ key.second, *declined });
  }
}

void
CallForwarder::EndServed(const HostId& aFrom, CallNumber aNumber)
{
  const auto found = this->served.find({ aFrom, aNumber });
  if (found != this->served.end()) {
    this->servedBytes -= found->second.bytes;
    this->served.erase(found);
  }
}

} // namespace damasklink

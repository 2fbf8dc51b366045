#include "OrderSender.h"

#include "damasklink/protocol/OrderApi.h"
#include "damasklink/transport/HttpClient.h"

namespace damasklink {
namespace {

constexpr int kStatusOk = 200;
constexpr int kFirstClientError = 400;

} // namespace

OrderSender::OrderSender(const LeaseStamp& aLease, Duration aOrderInFlight, Done aDone)
  : lease(aLease)
  , orderInFlight(aOrderInFlight)
  , done(std::move(aDone))
{
}

OrderSender::~OrderSender()
{
  this->Stop();
}

void
OrderSender::Start()
{
  this->thread = std::thread([this] { this->Run(); });
}

void
OrderSender::Stop()
{
  {
    absl::MutexLock lock(&this->mutex);
    this->stopped = true;
  }
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
OrderSender::Send(TargetOrder aOrder)
{
  absl::MutexLock lock(&this->mutex);
  this->queue.push_back(std::move(aOrder));
}

void
OrderSender::Run()
{
  const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
    return this->stopped || !this->queue.empty();
  };
  while (true) {
    TargetOrder order;
    {
      absl::MutexLock lock(&this->mutex);
      this->mutex.Await(absl::Condition(&ready));
      if (this->stopped) {
        return;
      }
      order = std::move(this->queue.front());
      this->queue.pop_front();
    }
    this->done(order.target, this->SendNow(order));
  }
}

OrderOutcome
OrderSender::SendNow(const TargetOrder& aOrder) const
{
  HttpCall call;
  call.endpoint = aOrder.endpoint;
  call.method = "POST";
  call.path = "/v1/orders";
  call.headers = { { "content-type", "application/json" } };
  call.body = FormatTargetOrder(aOrder);
  call.readTimeout = this->orderInFlight;
  auto exchange = HttpExchange::Connect(std::move(call));
  // The lease is checked again before the first byte, since connecting may have taken long.
  if (!exchange || !this->lease.Held()) {
    return OrderOutcome::NotSent;
  }
  const bool sent = exchange.value()->Send().has_value();
  if (!this->lease.Held()) {
    return OrderOutcome::LeaseEnded;
  }
  if (!sent || !exchange.value()->ReadHeader()) {
    return OrderOutcome::NotKnown;
  }
  const int status = exchange.value()->Status();
  if (status == kStatusOk) {
    return OrderOutcome::Accepted;
  }
  return status >= kFirstClientError ? OrderOutcome::Refused : OrderOutcome::NotKnown;
}

} // namespace damasklink

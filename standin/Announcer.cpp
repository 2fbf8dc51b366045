#include "Announcer.h"

#include <absl/time/time.h>

#include "damasklink/protocol/EngineApi.h"
#include "damasklink/state/Text.h"
#include "damasklink/transport/HttpClient.h"

namespace damasklink::standin {
namespace {

constexpr Duration kInterval = std::chrono::milliseconds(300);
constexpr ByteCount kMostAnswer{ 64 * kKibibyte };

} // namespace

Announcer::Announcer(std::vector<Endpoint> aHosts, MakeRecord aMakeRecord, std::string aKey)
  : hosts(std::move(aHosts))
  , makeRecord(std::move(aMakeRecord))
  , key(std::move(aKey))
  , incarnation(
      static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()))
{
  this->thread = std::thread([this] { this->Run(); });
}

Announcer::~Announcer()
{
  {
    absl::MutexLock lock(&this->mutex);
    this->stopped = true;
  }
  this->thread.join();
  this->Send(true);
}

void
Announcer::Run()
{
  while (true) {
    this->Send(false);
    absl::MutexLock lock(&this->mutex);
    if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopped),
                                     absl::FromChrono(kInterval))) {
      return;
    }
  }
}

void
Announcer::Send(bool aLeaving)
{
  TargetRecord record = this->makeRecord();
  record.incarnation = this->incarnation;
  this->sequence = this->sequence.Next();
  record.sequence = this->sequence;
  record.leaving = record.leaving || aLeaving;
  // The first host that answers takes it; the system passes it on.
  for (const Endpoint& host : this->hosts) {
    HttpCall call;
    call.endpoint = host;
    call.method = "POST";
    call.path = "/v1/targets/announce";
    call.headers = { { "content-type", "application/json" },
                     { "authorization", Concat("Bearer ", this->key) } };
    call.body = FormatTargetRecord(record);
    call.readTimeout = std::chrono::seconds(1);
    if (CallHttp(std::move(call), kMostAnswer)) {
      return;
    }
  }
}

} // namespace damasklink::standin

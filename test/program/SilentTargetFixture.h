// Fixture for tests of what an exchange does while its target sends nothing.
#pragma once

#include <absl/synchronization/notification.h>

#include "ExchangeFixture.h"

namespace damasklink::testing {

// As long as a sound target may be silent.
constexpr auto kSoundSilence = std::chrono::milliseconds(1100);
// Longer than a sound target is silent.
constexpr auto kLongSilence = std::chrono::milliseconds(1400);

inline std::string
Event(int aNumber)
{
  const std::string number = std::to_string(aNumber);
  return Chunk("id: " + number + "\ndata: " + number + "\n\n");
}

// The second event and the end of a stream.
inline std::string
RestOfEvents()
{
  return Event(2) + "0\r\n\r\n";
}

class SilentTargetFixture : public ExchangeFixture
{
protected:
  using ExchangeFixture::ExchangeFixture;

  // Sends an event, is silent, and completes its response when it may.
  bool PauseInStream(TcpSocket& aSocket)
  {
    Write(aSocket, StreamHead() + Event(1));
    this->speaks.WaitForNotification();
    Write(aSocket, RestOfEvents());
    return true;
  }

  // Continues a stream after its first event.
  static bool ContinueStream(TcpSocket& aSocket)
  {
    Write(aSocket, StreamHead() + RestOfEvents());
    return true;
  }

  // Starts with this target, and waits for the first event of a stream of it.
  void BeginStreamAt(const ScriptedTarget& aTarget)
  {
    this->AddTarget("t", aTarget.Address());
    this->Start();
    this->BeginStream();
  }

  void BeginStream()
  {
    this->Call("/resumable/");
    this->ReceiveUpTo("data: 1\n\n\r\n");
  }

  // Makes another target known while the first one is busy.
  void AddOther(const Endpoint& aEndpoint, const std::string& aName = "other")
  {
    TargetUpdate update = this->targetUpdates.front();
    update.record.id = TargetId(aName);
    update.record.endpoint = aEndpoint;
    this->TakeUpdate(update);
  }

  void ForEachWaiting(const std::function<void(Exchange&)>& aFunction)
  {
    this->OnLoop([&] {
      const std::set<Exchange*> waiting = this->context.waiting;
      for (Exchange* exchange : waiting) {
        aFunction(*exchange);
      }
    });
  }

  void CheckAll()
  {
    this->ForEachWaiting([](Exchange& aExchange) { aExchange.CheckSilence(); });
  }

  // Waits and reports to all exchanges that the target accepts no connections.
  void ReportUnreachableAfter(Duration aSilence)
  {
    std::this_thread::sleep_for(aSilence);
    this->ForEachWaiting([](Exchange& aExchange) { aExchange.OnTargetUnreachable(TargetId("t")); });
  }

  // Waits and reports that this host reaches no target of the service.
  void ReportServiceLostAfter(Duration aSilence)
  {
    std::this_thread::sleep_for(aSilence);
    this->OnLoop([&] {
      this->paths.BeginProbe(kService);
      this->paths.EndProbe(kService, false);
    });
    this->CheckAll();
  }

  void UseUpRetries()
  {
    this->OnLoop([&] {
      while (this->retries.Of(kService).TryTake()) {
      }
    });
  }

  // Lets the target speak again and returns what the caller gets up to the end of the stream.
  std::string RestOfStream()
  {
    this->speaks.Notify();
    return this->ReceiveUpTo("0\r\n\r\n");
  }

  absl::Notification speaks;
};

} // namespace damasklink::testing

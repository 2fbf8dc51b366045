// Announces a stand-in target to the hosts of the system at a steady interval.
#pragma once

#include <functional>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "damasklink/coordination/Target.h"

namespace damasklink::standin {

// Sends the record that aRecord returns, with rising sequence numbers, until destroyed; then says
// once that the target is leaving.
class Announcer
{
public:
  using MakeRecord = std::function<TargetRecord()>;

  Announcer(std::vector<Endpoint> aHosts, MakeRecord aMakeRecord, std::string aKey);
  ~Announcer();
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

private:
  void Run();
  void Send(bool aLeaving);

  std::vector<Endpoint> hosts;
  MakeRecord makeRecord;
  std::string key;
  Incarnation incarnation;
  Sequence sequence;
  absl::Mutex mutex;
  bool stopped = false;
  std::thread thread;
};

} // namespace damasklink::standin

// Carries one prompt to an engine and its answer back to the caller.
#pragma once

#include <memory>
#include <string>

#include "damasklink/coordination/DispatchRecord.h"
#include "damasklink/coordination/PromptReuse.h"
#include "damasklink/protocol/CallerApi.h"
#include "damasklink/protocol/ErrorBody.h"
#include "damasklink/transport/EngineStream.h"
#include "damasklink/transport/HttpServer.h"

#include "RoutingDesk.h"
#include "TrafficView.h"

namespace damasklink {

// What every relay of one process shares.
struct RelayContext
{
  const Clock& clock;
  const HostTimeouts& timeouts;
  RoutingDesk& routing;
  PromptReuse& reuse;
  const TrafficViewHolder& views;
};

// One request from its dispatch to its end, on one traffic thread.
//
//   CompletionRelay relay(context, request, policy, id);
//   auto opened = relay.Open();        // Returns once an engine has begun to answer.
//   relay.Stream(writer);              // Or relay.Collect().
class CompletionRelay
{
public:
  CompletionRelay(const RelayContext& aContext,
                  CompletionRequest aRequest,
                  const ResolvedPolicy& aPolicy,
                  RequestId aId);
  ~CompletionRelay();
  CompletionRelay(const CompletionRelay&) = delete;
  CompletionRelay& operator=(const CompletionRelay&) = delete;

  // Tries targets until one sends the first text. Only attempts that surely did not run, or that
  // failed before any text was passed on, are followed by another.
  Result<void> Open();

  // Passes the answer on as server-sent events. Returns whether it went out whole; an answer that
  // breaks off ends in an error event.
  bool Stream(StreamWriter& aWriter);

  // Returns the whole answer as one body.
  Result<std::string> Collect();

  // Returns what is to be said of a failure of this request.
  CallerError Describe(Error aError) const;

private:
  Result<void> TryTarget();
  AnswerHeader Header() const;
  void Finish(bool aWhole);

  const RelayContext& context;
  CompletionRequest request;
  RequestId id;
  RouteRequest route;
  RouteDecision decision;
  DispatchRecord record;
  std::unique_ptr<EngineStream> stream;
  std::string firstText;
  bool outstanding = false;
};

} // namespace damasklink

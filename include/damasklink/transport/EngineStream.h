// One attempt of a prompt at one engine: sends it and hands out the frames of the answer.
#pragma once

#include <memory>
#include <optional>

#include "damasklink/coordination/DispatchRecord.h"
#include "damasklink/coordination/StreamAssembler.h"
#include "damasklink/protocol/EngineApi.h"
#include "damasklink/transport/HttpClient.h"

namespace damasklink {

// Reads the answer of one attempt in order, keeping the dispatch record up to date.
//
//   auto stream = EngineStream::Open(endpoint, connectTimeout, prompt, record);
//   while (!stream.value()->Complete()) {
//     auto text = stream.value()->Poll(patience);
//   }
//
// The caller of Poll() decides how long silence may last. Holds one unfinished event at most, so
// an engine that is ahead of the reader waits in its own socket. Destroying the stream before the
// end cancels the attempt at the engine. Not thread-safe.
class EngineStream
{
public:
  // Connects and sends the prompt. Requires that the record's last attempt is this one. Fails with
  // Unavailable when no connection came to be; the record tells whether the engine may run it.
  static Result<std::unique_ptr<EngineStream>> Open(const Endpoint& aEndpoint,
                                                    Duration aConnectTimeout,
                                                    const EnginePrompt& aPrompt,
                                                    DispatchRecord& aRecord);

  // Returns the next text, empty when none came within aPatience, frames were dropped or the
  // answer ended. Fails with Overloaded when the engine refused, and with Interrupted or Corrupt
  // when the answer broke off.
  Result<std::string> Poll(Duration aPatience);

  bool Complete() const { return this->assembler.Complete(); }
  const StreamAssembler& Assembled() const { return this->assembler; }

private:
  EngineStream(std::unique_ptr<HttpExchange> aExchange,
               const EnginePrompt& aPrompt,
               DispatchRecord& aRecord);

  Result<void> ReadHeader();
  Result<void> ReadChunk();
  Result<std::string> TakeFrame(std::string_view aData);
  Result<std::string> Lose(Error aError);

  std::unique_ptr<HttpExchange> exchange;
  DispatchRecord& record;
  StreamAssembler assembler;
  SseReader reader;
  bool headerRead = false;
};

} // namespace damasklink

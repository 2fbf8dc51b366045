// One attempt to run a prompt on an engine: sends the prompt and reads the frames of its answer.
#pragma once

#include <memory>
#include <optional>

#include "damasklink/coordination/DispatchRecord.h"
#include "damasklink/coordination/StreamAssembler.h"
#include "damasklink/protocol/EngineApi.h"
#include "damasklink/transport/HttpClient.h"

namespace damasklink {

// Reads the answer of one attempt in order and updates the dispatch record.
//
//   auto stream = EngineStream::Open(endpoint, connectTimeout, prompt, record);
//   while (!stream.value()->Complete()) {
//     auto text = stream.value()->Poll(timeout);
//   }
//
// The caller of Poll() decides how long the engine may be silent. At most one incomplete event is
// buffered, so an engine that is faster than the reader blocks on its socket. Destroying the stream
// before its end cancels the attempt at the engine. Not thread-safe.
class EngineStream
{
public:
  // Connects and sends the prompt. Requires that this attempt is the last one of the record. Fails
  // with Unavailable when the connection could not be established, and as HttpExchange::Send() when
  // sending failed; the record then tells whether the engine may run the prompt.
  static Result<std::unique_ptr<EngineStream>> Open(const Endpoint& aEndpoint,
                                                    Duration aConnectTimeout,
                                                    const EnginePrompt& aPrompt,
                                                    DispatchRecord& aRecord);

  // Returns the next text. It is empty when none arrived within aTimeout, when frames were dropped
  // and at the end of the answer. Fails with Overloaded when the engine refused the prompt, and
  // with Interrupted or Corrupt when the answer broke off.
  Result<std::string> Poll(Duration aTimeout);

  bool Complete() const { return this->assembler.Complete(); }
  const StreamAssembler& Assembled() const { return this->assembler; }

private:
  EngineStream(std::unique_ptr<HttpExchange> aExchange,
               const EnginePrompt& aPrompt,
               DispatchRecord& aRecord);

  Result<void> ReadHeader();
  Result<void> ReadChunk();
  Result<std::string> HandleFrame(std::string_view aData);
  Result<std::string> FailAttempt(Error aError);

  std::unique_ptr<HttpExchange> exchange;
  DispatchRecord& record;
  StreamAssembler assembler;
  SseReader reader;
  bool headerRead = false;
};

} // namespace damasklink

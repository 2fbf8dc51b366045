// One attempt of a prompt at one engine: sends it and hands out the frames of the answer.
#pragma once

#include <memory>
#include <optional>

#include "damasklink/coordination/DispatchRecord.h"
#include "damasklink/coordination/StreamAssembler.h"
#include "damasklink/protocol/EngineApi.h"
#include "damasklink/transport/HttpClient.h"

namespace damasklink {

// Limits of one attempt.
struct EngineStreamOptions
{
  Endpoint endpoint;
  Duration connectTimeout = std::chrono::milliseconds(500);
  Duration firstToken = std::chrono::seconds(30);
  Duration betweenTokens = std::chrono::seconds(10);
};

// Reads the answer of one attempt in order, keeping the dispatch record up to date.
//
//   auto stream = EngineStream::Open(options, prompt, record);
//   while (!stream.value()->Complete()) {
//     auto text = stream.value()->Next();
//   }
//
// Destroying it before the end cancels the attempt at the engine. Not thread-safe.
class EngineStream
{
public:
  // Connects and sends the prompt. Requires that the record's last attempt is this one. On failure
  // the record tells whether the engine may have run it.
  static Result<std::unique_ptr<EngineStream>> Open(const EngineStreamOptions& aOptions,
                                                    const EnginePrompt& aPrompt,
                                                    DispatchRecord& aRecord);

  // Returns the next text, empty where frames were dropped or the answer ended.
  // Fails with Interrupted or DeadlineExceeded when the answer broke off.
  Result<std::string> Next();

  bool Complete() const { return this->assembler.Complete(); }
  const StreamAssembler& Assembled() const { return this->assembler; }

private:
  EngineStream(std::unique_ptr<HttpExchange> aExchange,
               const EngineStreamOptions& aOptions,
               const EnginePrompt& aPrompt,
               DispatchRecord& aRecord);

  Result<std::string> Lose(Error aError);

  std::unique_ptr<HttpExchange> exchange;
  EngineStreamOptions options;
  DispatchRecord& record;
  StreamAssembler assembler;
  SseReader reader;
  bool answering = false;
};

} // namespace damasklink

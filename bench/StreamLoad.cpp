#include "StreamLoad.h"

#include <array>
#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio.hpp>

#include "damasklink/state/Text.h"

namespace damasklink::bench {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kPieceBytes = 4096;
constexpr std::string_view kEventMark = "data: ";
constexpr std::string_view kDoneMark = "[DONE]";

// Counts how often a mark stands in a stream of bytes, also across two pieces.
class MarkCounter
{
public:
  explicit MarkCounter(std::string_view aMark)
    : mark(aMark)
  {
  }

  void Feed(std::string_view aBytes)
  {
    for (const char byte : aBytes) {
      this->matched = byte == this->mark[this->matched] ? this->matched + 1
                                                        : (byte == this->mark.front() ? 1 : 0);
      if (this->matched == this->mark.size()) {
        this->count += 1;
        this->matched = 0;
      }
    }
  }

  std::uint64_t Count() const { return this->count; }

private:
  std::string_view mark;
  std::size_t matched = 0;
  std::uint64_t count = 0;
};

class Stream
{
public:
  Stream(asio::io_context& aContext, std::function<void(Stream&)> aOnFirst)
    : socket(aContext)
    , onFirst(std::move(aOnFirst))
  {
  }

  void Start(const Tcp::endpoint& aTo, const std::string& aRequest)
  {
    this->started = SteadyClock::now();
    this->socket.async_connect(aTo, [this, &aRequest](const ErrorCode& aError) {
      if (aError) {
        return;
      }
      asio::async_write(
        this->socket, asio::buffer(aRequest), [this](const ErrorCode& aFailed, std::size_t) {
          if (!aFailed) {
            this->Read();
          }
        });
    });
  }

  bool Whole() const { return this->done.Count() > 0; }
  std::uint64_t Events() const { return this->events.Count(); }
  double FirstEvent() const { return this->firstEvent; }

private:
  void Read()
  {
    this->socket.async_read_some(asio::buffer(this->piece),
                                 [this](const ErrorCode& aError, std::size_t aCount) {
                                   this->Take({ this->piece.data(), aCount });
                                   if (!aError && !this->Whole()) {
                                     this->Read();
                                   }
                                 });
  }

  void Take(std::string_view aBytes)
  {
    const bool fresh = this->events.Count() == 0;
    this->events.Feed(aBytes);
    this->done.Feed(aBytes);
    if (fresh && this->events.Count() > 0) {
      const std::chrono::duration<double, std::milli> elapsed = SteadyClock::now() - this->started;
      this->firstEvent = elapsed.count();
      this->onFirst(*this);
    }
  }

  Tcp::socket socket;
  std::function<void(Stream&)> onFirst;
  std::array<char, kPieceBytes> piece{};
  MarkCounter events{ kEventMark };
  MarkCounter done{ kDoneMark };
  SteadyClock::time_point started;
  double firstEvent = 0;
};

std::string
RequestText(const StreamLoad& aLoad)
{
  return Concat("POST ",
                aLoad.path,
                " HTTP/1.1\r\nHost: bench\r\nConnection: close\r\nAuthorization: Bearer ",
                aLoad.key,
                "\r\nContent-Type: application/json\r\nContent-Length: ",
                aLoad.body.size(),
                "\r\n\r\n",
                aLoad.body);
}

// All streams of one load on one context.
class Streams
{
public:
  Streams(const StreamLoad& aLoad, std::function<void()> aAllBegun)
    : request(RequestText(aLoad))
    , allBegun(std::move(aAllBegun))
  {
    const Tcp::endpoint to(asio::ip::make_address(aLoad.endpoint.address), aLoad.endpoint.port);
    for (std::size_t index = 0; index < aLoad.streams; ++index) {
      this->streams.push_back(std::make_unique<Stream>(this->context, [this](Stream&) {
        this->begun += 1;
        if (this->begun == this->streams.size()) {
          this->allBegun();
        }
      }));
    }
    for (const auto& stream : this->streams) {
      stream->Start(to, this->request);
    }
  }

  void Run(Duration aLimit) { this->context.run_for(aLimit); }
  void Stop() { this->context.stop(); }

  std::size_t Begun() const { return this->begun; }
  const std::vector<std::unique_ptr<Stream>>& All() const { return this->streams; }

private:
  asio::io_context context;
  std::string request;
  std::function<void()> allBegun;
  std::vector<std::unique_ptr<Stream>> streams;
  std::size_t begun = 0;
};

} // namespace

LoadResult
RunLoad(const StreamLoad& aLoad)
{
  const auto started = SteadyClock::now();
  Streams streams(aLoad, [] {});
  streams.Run(aLoad.limit);
  LoadResult result;
  result.seconds = std::chrono::duration<double>(SteadyClock::now() - started).count();
  for (const auto& stream : streams.All()) {
    result.whole += stream->Whole() ? 1 : 0;
    result.failed += stream->Whole() ? 0 : 1;
    result.events += stream->Events();
    if (stream->Events() > 0) {
      result.firstEvent.push_back(stream->FirstEvent());
    }
  }
  return result;
}

std::size_t
HoldOpen(const StreamLoad& aLoad, const std::function<void()>& aMeasure)
{
  Streams* running = nullptr;
  Streams streams(aLoad, [&] { running->Stop(); });
  running = &streams;
  streams.Run(aLoad.limit);
  aMeasure();
  return streams.Begun();
}

} // namespace damasklink::bench

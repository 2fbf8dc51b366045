// Tests of what the caller of a host gets if the target stops within its answer.
#include <atomic>

#include "ExchangeFixture.h"
#include "support/CutAnswers.h"
#include "support/OwnAddress.h"

namespace damasklink {
namespace {

using testing::Answer;
using testing::BodyOf;
using testing::Chunk;
using testing::EndConnection;
using testing::FramedAnswer;
using testing::FramedAnswers;
using testing::FreeEndpoint;
using testing::IsWhole;
using testing::kService;
using testing::MakeAnswer;
using testing::OwnAddress;
using testing::ScriptedTarget;
using testing::StreamHead;
using testing::TargetEnd;
using testing::Write;

constexpr TargetEnd kEnds[] = { TargetEnd::Close, TargetEnd::Reset };

// More than the buffers of a connection to a target take, and less than callers may send.
constexpr std::size_t kLongBody = std::size_t{ 4 } * 1024 * 1024;

std::string
Event(int aNumber)
{
  const std::string number = std::to_string(aNumber);
  return "id: " + number + "\ndata: e" + number + "\n\n";
}

std::string
Events(int aFirst, int aLast)
{
  std::string events;
  for (int number = aFirst; number <= aLast; ++number) {
    events += Event(number);
  }
  return events;
}

constexpr int kLastEvent = 3;

std::vector<FramedAnswer>
FramedStreams()
{
  const std::string type = "Content-Type: text/event-stream\r\n";
  const std::string events = Events(1, kLastEvent);
  return {
    MakeAnswer("stream_length",
               type + "Content-Length: " + std::to_string(events.size()) + "\r\n",
               events,
               events),
    MakeAnswer("stream_chunked",
               type + "Transfer-Encoding: chunked\r\n",
               Chunk(Event(1)) + Chunk(Event(2) + Event(3)) + "0\r\n\r\n",
               events),
    MakeAnswer("stream_connection", type, events, events),
  };
}

// Returns one answer of each way to say where a body ends. All variants of heads are cut in the
// test of the connection.
std::vector<FramedAnswer>
PlainAnswers()
{
  std::vector<FramedAnswer> answers = FramedAnswers();
  std::erase_if(answers, [](const FramedAnswer& aAnswer) {
    return aAnswer.name != "length" && aAnswer.name != "trailers" && aAnswer.name != "connection" &&
           aAnswer.name != "interim_connection";
  });
  return answers;
}

// What a caller got before its connection ended.
struct CallerAnswer
{
  int status = 0;
  std::string head;
  std::string body;
  // Whether the framing says that the body is whole.
  bool whole = false;
};

CallerAnswer
ReadAnswer(const std::string& aBytes)
{
  CallerAnswer answer;
  const std::size_t end = aBytes.find("\r\n\r\n");
  if (end == std::string::npos) {
    return answer;
  }
  answer.head = aBytes.substr(0, end + 2);
  answer.status = std::stoi(answer.head.substr(9, 3));
  std::string rest = aBytes.substr(end + 4);
  if (answer.head.find("Transfer-Encoding: chunked") == std::string::npos) {
    const std::size_t stated = answer.head.find("Content-Length: ");
    answer.whole =
      stated != std::string::npos && rest.size() == std::stoul(answer.head.substr(stated + 16));
    answer.body = rest;
    return answer;
  }
  while (!rest.empty() && !answer.whole) {
    const std::size_t size = std::stoul(rest, nullptr, 16);
    answer.whole = size == 0;
    const std::size_t begin = rest.find("\r\n") + 2;
    answer.body += rest.substr(begin, size);
    rest.erase(0, begin + size + 2);
  }
  return answer;
}

// A host of which one call is made, so that no call is served as earlier ones have ended.
class OneCallHost : public testing::ExchangeFixture
{
public:
  using ExchangeFixture::AddTarget;
  using ExchangeFixture::ExchangeFixture;
  using ExchangeFixture::Start;
  using ExchangeFixture::Stop;

  CallerAnswer Ask(const std::string& aPath, std::size_t aBodyBytes = 0)
  {
    Write(this->caller,
          "POST " + aPath +
            " HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 60000\r\n"
            "Connection: close\r\nContent-Length: " +
            std::to_string(aBodyBytes) + "\r\n\r\n" + std::string(aBodyBytes, 'b'));
    return ReadAnswer(this->ReceiveAll());
  }

private:
  void TestBody() override {}
};

// One case: the first request gets a part of an answer, and all others a whole one.
struct Cut
{
  const FramedAnswer& answer;
  std::size_t bytes = 0;
  TargetEnd end = TargetEnd::Close;
  std::function<std::string(const std::string&)> secondAnswer;
};

// Targets of one service, of which the one that is asked first stops within its answer.
class CuttingTargets
{
public:
  explicit CuttingTargets(const Cut& aCut)
    : cut(aCut)
  {
  }

  void AddTo(OneCallHost& aHost, int aCount)
  {
    for (int number = 0; number < aCount; ++number) {
      this->targets.push_back(
        std::make_unique<ScriptedTarget>([this](const std::string& aRequest, TcpSocket& aSocket) {
          return this->Respond(aRequest, aSocket);
        }));
      aHost.AddTarget("t" + std::to_string(number), this->targets.back()->Address());
    }
  }

  int Requests() const { return this->requests; }

private:
  bool Respond(const std::string& aRequest, TcpSocket& aSocket)
  {
    if (this->requests++ > 0) {
      Write(aSocket, this->cut.secondAnswer(aRequest));
      return true;
    }
    Write(aSocket, this->cut.answer.bytes.substr(0, this->cut.bytes));
    EndConnection(aSocket, this->cut.end);
    return false;
  }

  const Cut& cut;
  std::atomic<int> requests = 0;
  std::vector<std::unique_ptr<ScriptedTarget>> targets;
};

void
ForEachCut(const std::vector<FramedAnswer>& aAnswers,
           const std::function<std::string(const std::string&)>& aSecond,
           const std::function<void(const Cut&)>& aFunction)
{
  for (const FramedAnswer& answer : aAnswers) {
    for (const TargetEnd end : kEnds) {
      for (std::size_t bytes = 0; bytes <= answer.bytes.size(); ++bytes) {
        SCOPED_TRACE(answer.name + " cut after " + std::to_string(bytes) + " bytes by " +
                     (end == TargetEnd::Close ? "a close" : "a reset"));
        aFunction(Cut{ answer, bytes, end, aSecond });
      }
    }
  }
}

std::string
SecondAnswer(const std::string& /*aRequest*/)
{
  return Answer(200, "second", "X-Response-Stamp: s2\r\n");
}

// Continues a stream after the event that the request names.
std::string
RestOfStream(const std::string& aRequest)
{
  const std::string name = "Last-Event-Id: ";
  const std::size_t found = aRequest.find(name);
  const int last = found == std::string::npos ? 0 : std::stoi(aRequest.substr(found + name.size()));
  const std::string rest = Events(last + 1, kLastEvent);
  return StreamHead() + (rest.empty() ? "" : Chunk(rest)) + "0\r\n\r\n";
}

// The caller may send the request again only if it knows that it may have run.
void
ExpectOwnFailure(const CallerAnswer& aAnswer)
{
  EXPECT_TRUE(aAnswer.status == 502 || aAnswer.status == 504) << aAnswer.head << aAnswer.body;
  EXPECT_TRUE(aAnswer.whole);
  EXPECT_EQ(aAnswer.head.find("X-Response-Stamp"), std::string::npos) << aAnswer.head;
}

void
ExpectWholeAnswer(const CallerAnswer& aAnswer, const std::string& aBody, const std::string& aStamp)
{
  EXPECT_EQ(aAnswer.status, 200) << aAnswer.head << aAnswer.body;
  EXPECT_TRUE(aAnswer.whole);
  EXPECT_EQ(aAnswer.body, aBody);
  EXPECT_NE(aAnswer.head.find("X-Response-Stamp: " + aStamp + "\r\n"), std::string::npos);
}

// A reset may overtake a whole answer.
bool
MayBeLost(const Cut& aCut)
{
  return aCut.end == TargetEnd::Reset;
}

void
ExpectSoundPlainAnswer(const Cut& aCut, const CallerAnswer& aAnswer)
{
  const bool whole = IsWhole(aCut.answer, aCut.bytes, aCut.end);
  if (whole && (aAnswer.status == 200 || !MayBeLost(aCut))) {
    ExpectWholeAnswer(aAnswer, BodyOf(aCut.answer, aCut.bytes), "s1");
  } else {
    ExpectOwnFailure(aAnswer);
  }
}

// Guards against a cut answer that is passed on as a whole 200, and against a promise that the
// request was not run.
TEST(ExchangeCutHeadTest, CallThatMayNotBeRepeatedFailsIfItsAnswerStops)
{
  ForEachCut(PlainAnswers(), SecondAnswer, [](const Cut& aCut) {
    CuttingTargets targets(aCut);
    OneCallHost host;
    targets.AddTo(host, 2);
    host.Start();
    ExpectSoundPlainAnswer(aCut, host.Ask("/once/"));
    EXPECT_EQ(targets.Requests(), 1);
    host.Stop();
  });
}

// Guards against a cut answer that ends a call which another target can serve.
TEST(ExchangeCutHeadTest, CallThatMayBeRepeatedIsServedElsewhereIfItsAnswerStops)
{
  ForEachCut(PlainAnswers(), SecondAnswer, [](const Cut& aCut) {
    CuttingTargets targets(aCut);
    OneCallHost host;
    targets.AddTo(host, 2);
    host.Start();
    const CallerAnswer answer = host.Ask("/idempotent/");
    if (targets.Requests() == 1) {
      EXPECT_TRUE(IsWhole(aCut.answer, aCut.bytes, aCut.end));
      ExpectWholeAnswer(answer, BodyOf(aCut.answer, aCut.bytes), "s1");
    } else {
      EXPECT_TRUE(!IsWhole(aCut.answer, aCut.bytes, aCut.end) || MayBeLost(aCut));
      EXPECT_EQ(targets.Requests(), 2);
      ExpectWholeAnswer(answer, "second", "s2");
    }
    host.Stop();
  });
}

// Guards against a stream that seems to end well before its last event.
TEST(ExchangeCutHeadTest, StreamThatStopsDoesNotEndAsComplete)
{
  ForEachCut(FramedStreams(), RestOfStream, [](const Cut& aCut) {
    CuttingTargets targets(aCut);
    OneCallHost host;
    targets.AddTo(host, 2);
    host.Start();
    const CallerAnswer answer = host.Ask("/stream/");
    EXPECT_EQ(targets.Requests(), 1);
    if (answer.status == 200 && answer.whole) {
      // Without a length, the end of the connection between two events ends the stream.
      EXPECT_TRUE(IsWhole(aCut.answer, aCut.bytes, aCut.end));
      ExpectWholeAnswer(answer, BodyOf(aCut.answer, aCut.bytes), "s1");
    } else if (answer.status == 200) {
      EXPECT_EQ(Events(1, kLastEvent).substr(0, answer.body.size()), answer.body);
    } else {
      ExpectOwnFailure(answer);
    }
    host.Stop();
  });
}

// Guards against streams that lack events, or have them twice, because their target stopped.
TEST(ExchangeCutHeadTest, StreamThatMayBeResumedIsCompletedElsewhere)
{
  std::vector<FramedAnswer> streams = FramedStreams();
  // What ends with its connection may end after any event.
  streams.pop_back();
  ForEachCut(streams, RestOfStream, [](const Cut& aCut) {
    CuttingTargets targets(aCut);
    OneCallHost host;
    targets.AddTo(host, 2);
    host.Start();
    const CallerAnswer answer = host.Ask("/resumable/");
    EXPECT_EQ(answer.status, 200) << answer.head;
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, Events(1, kLastEvent));
    EXPECT_LE(targets.Requests(), 2);
    host.Stop();
  });
}

// Sends a part of an answer while the request still comes, and resets the connection.
class ResettingTarget
{
public:
  explicit ResettingTarget(std::string aPart)
    : part(std::move(aPart))
    , thread([this] { this->Serve(); })
  {
  }

  ~ResettingTarget() { this->thread.join(); }

  Endpoint Address() const { return testing::AddressOf(this->acceptor); }

private:
  void Serve()
  {
    TcpSocket socket(this->loop);
    this->acceptor.accept(socket);
    char byte = 0;
    asio::read(socket, asio::buffer(&byte, 1));
    Write(socket, this->part);
    EndConnection(socket, TargetEnd::Reset);
  }

  std::string part;
  asio::io_context loop;
  TcpAcceptor acceptor = testing::ListenOnFreePort(loop);
  std::thread thread;
};

// Guards against an answer without a length that is passed on as whole, empty or short, though its
// target was reset: the reset broke off the request that was still being sent.
TEST(ExchangeCutHeadTest, AnswerThatIsResetWhileItsRequestIsSentIsNotPassedOnAsWhole)
{
  const FramedAnswer answer = MakeAnswer("connection", "", "hello", "hello");
  for (const std::size_t bytes : { answer.headEnd - 1, answer.headEnd, answer.headEnd + 2 }) {
    SCOPED_TRACE(bytes);
    ResettingTarget target(answer.bytes.substr(0, bytes));
    OneCallHost host;
    host.AddTarget("t", target.Address());
    host.Start();
    ExpectOwnFailure(host.Ask("/once/", kLongBody));
    host.Stop();
  }
}

// Guards against a status that HTTP lacks: it was awaited until the caller's deadline if it was
// lower than the others, and passed on if it was higher.
TEST(ExchangeCutHeadTest, ResponseWithoutAStatusOfHttpIsNoResponse)
{
  for (const std::string status : { "000", "099", "600", "999" }) {
    SCOPED_TRACE(status);
    testing::ScriptedTarget target([&](const std::string&, TcpSocket& aSocket) {
      testing::Write(
        aSocket, "HTTP/1.1 " + status + " X\r\nX-Request-Id: r1\r\nContent-Length: 2\r\n\r\nno");
      testing::ScriptedTarget::AwaitClose(aSocket);
      return false;
    });
    OneCallHost host;
    host.AddTarget("t", target.Address());
    host.Start();
    const CallerAnswer answer = host.Ask("/once/");
    ExpectOwnFailure(answer);
    EXPECT_EQ(answer.status, 502);
    host.Stop();
  }
}

// Guards against a stream without a length that seems to end well for the same reason.
TEST(ExchangeCutHeadTest, StreamThatIsResetWhileItsRequestIsSentDoesNotEndAsComplete)
{
  const std::vector<FramedAnswer> streams = FramedStreams();
  const FramedAnswer& stream = streams.back();
  for (const std::size_t bytes : { stream.headEnd, stream.headEnd + Event(1).size() }) {
    SCOPED_TRACE(bytes);
    ResettingTarget target(stream.bytes.substr(0, bytes));
    OneCallHost host;
    host.AddTarget("t", target.Address());
    host.Start();
    const CallerAnswer answer = host.Ask("/stream/", kLongBody);
    EXPECT_FALSE(answer.status == 200 && answer.whole) << answer.head << answer.body;
    host.Stop();
  }
}

ServingSettings
SettingsOf(int aNumber, std::uint16_t aPort)
{
  ServingSettings settings;
  settings.host = HostId(OwnAddress(aNumber));
  settings.forwardingPort = aPort;
  return settings;
}

// A host that serves the calls that another one forwards to it.
class ServingPeer : public OneCallHost
{
public:
  explicit ServingPeer(std::uint16_t aPort)
    : OneCallHost(SettingsOf(2, aPort))
  {
    EXPECT_TRUE(this->taking.Listen());
  }

  ~ServingPeer() override { this->Stop(); }

private:
  std::optional<DeclineReason> Take(ForwardedCall& aCall,
                                    const std::shared_ptr<ForwardedCaller>& aCaller)
  {
    asio::co_spawn(this->loop, this->ServeForwarded(std::move(aCall), aCaller), asio::detached);
    return std::nullopt;
  }

  Awaitable<void> ServeForwarded(ForwardedCall aCall, std::shared_ptr<ForwardedCaller> aCaller)
  {
    const ForwardedLimits limits{
      aCall.timeLeft, aCall.sendsLeft, aCall.lastEvent, aCall.software
    };
    HttpRequestMessage taken{ std::move(aCall.head), std::move(aCall.body), {} };
    Exchange exchange(this->context, *aCaller, std::move(taken), limits);
    co_await exchange.Run();
    aCaller->Close();
  }

  CallForwarder taking{ this->loop,
                        this->clock,
                        this->settings,
                        this->metrics,
                        this->memory,
                        2,
                        [this](const auto&, auto& aCall, const auto& aCaller) {
                          return this->Take(aCall, aCaller);
                        } };
};

// A host that reaches no target itself.
class CutOffHost : public OneCallHost
{
public:
  explicit CutOffHost(std::uint16_t aPort)
    : OneCallHost(SettingsOf(1, aPort))
  {
    EXPECT_TRUE(this->forwarder.Listen());
    this->forwarder.SetHosts({ { HostId(OwnAddress(2)), ZoneId() } });
    this->paths.BeginProbe(kService);
    this->paths.EndProbe(kService, false);
  }

  ~CutOffHost() override { this->Stop(); }
};

// Returns what a caller gets whose call is forwarded to a host whose target stops.
CallerAnswer
AskThroughPeer(CuttingTargets& aTargets, const std::string& aPath)
{
  const std::uint16_t port = FreeEndpoint(OwnAddress(1)).port;
  ServingPeer peer(port);
  CutOffHost host(port);
  aTargets.AddTo(peer, 2);
  host.AddTarget("t0", Endpoint{ "127.0.0.1", 1 });
  peer.Start();
  host.Start();
  const CallerAnswer answer = host.Ask(aPath);
  host.Stop();
  peer.Stop();
  return answer;
}

// Guards against a cut answer that the other host hands back as whole.
TEST(ExchangeCutHeadTest, ForwardedCallThatMayNotBeRepeatedFailsIfItsAnswerStops)
{
  std::vector<FramedAnswer> answers = PlainAnswers();
  std::erase_if(answers, [](const FramedAnswer& aAnswer) { return aAnswer.headBegin > 0; });
  ForEachCut(answers, SecondAnswer, [](const Cut& aCut) {
    CuttingTargets targets(aCut);
    ExpectSoundPlainAnswer(aCut, AskThroughPeer(targets, "/once/"));
    EXPECT_EQ(targets.Requests(), 1);
  });
}

// Guards against a stream that lacks its last events and that the other host hands back as whole.
TEST(ExchangeCutHeadTest, ForwardedStreamThatStopsDoesNotEndAsComplete)
{
  ForEachCut(FramedStreams(), RestOfStream, [](const Cut& aCut) {
    CuttingTargets targets(aCut);
    const CallerAnswer answer = AskThroughPeer(targets, "/stream/");
    EXPECT_EQ(targets.Requests(), 1);
    if (answer.status == 200 && answer.whole) {
      EXPECT_TRUE(IsWhole(aCut.answer, aCut.bytes, aCut.end));
      ExpectWholeAnswer(answer, BodyOf(aCut.answer, aCut.bytes), "s1");
    } else if (answer.status == 200) {
      EXPECT_EQ(Events(1, kLastEvent).substr(0, answer.body.size()), answer.body);
    } else {
      ExpectOwnFailure(answer);
    }
  });
}

} // namespace
} // namespace damasklink

// Tests that the client sides of HTTP take no answer as whole that its target left unfinished.
#include <atomic>
#include <thread>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "damasklink/transport/HttpClient.h"
#include "damasklink/transport/TargetConnection.h"
#include "support/CutAnswers.h"

namespace damasklink {
namespace {

using testing::BodyOf;
using testing::EndConnection;
using testing::FramedAnswer;
using testing::FramedAnswers;
using testing::IsWhole;
using testing::MakeAnswer;
using testing::ReadMessage;
using testing::TargetEnd;
using testing::Write;

// More than the buffers of a connection take.
constexpr std::size_t kLongBody = std::size_t{ 16 } * 1024 * 1024;

constexpr TargetEnd kEnds[] = { TargetEnd::Close, TargetEnd::Reset };

// What a client took for the answer; no status if it saw none, or a broken one.
struct Taken
{
  std::optional<int> status;
  std::string body;
  bool reusable = false;
};

// What the target does with one connection.
using Script = std::function<void(TcpSocket& aSocket)>;

class CutHeadTest : public ::testing::Test
{
protected:
  // Serves one connection in a thread while the client runs.
  Taken Take(const Script& aScript, const std::function<Taken(const Endpoint&)>& aClient)
  {
    const Endpoint endpoint = testing::AddressOf(this->acceptor);
    std::thread target([&] {
      TcpSocket socket(this->targetLoop);
      this->acceptor.accept(socket);
      socket.set_option(asio::ip::tcp::no_delay(true));
      aScript(socket);
    });
    Taken taken = aClient(endpoint);
    target.join();
    return taken;
  }

  Awaitable<Taken> TakeAnswer(TargetConnection& aConnection, std::size_t aBodyBytes)
  {
    const HttpRequestHead head{ "POST", "/", 11, {} };
    static const std::string body(kLongBody, 'b');
    co_await aConnection.Send(head, std::string_view(body).substr(0, aBodyBytes));
    Taken taken;
    auto response = co_await aConnection.ReadHead();
    while (response) {
      const auto chunk = co_await aConnection.ReadChunk();
      if (!chunk) {
        break;
      }
      if (!chunk.value()) {
        taken.status = response.value().status;
        break;
      }
      taken.body += *chunk.value();
    }
    taken.reusable = aConnection.IsReusable();
    co_return taken;
  }

  Awaitable<Taken> Ask(const Endpoint& aEndpoint, std::size_t aBodyBytes, int aEarlierAnswers)
  {
    TargetConnection connection(this->loop.get_executor(), this->clock);
    const auto connected = co_await connection.Connect(aEndpoint, std::chrono::seconds(5));
    EXPECT_TRUE(connected);
    for (int answer = 0; answer < aEarlierAnswers; ++answer) {
      const Taken earlier = co_await this->TakeAnswer(connection, 0);
      EXPECT_EQ(earlier.status, 200);
    }
    Taken taken = co_await this->TakeAnswer(connection, aBodyBytes);
    co_return taken;
  }

  // Returns what a TargetConnection takes for the answer to its last request.
  Taken TakeByConnection(const Script& aScript, std::size_t aBodyBytes = 0, int aEarlierAnswers = 0)
  {
    return this->Take(aScript, [&](const Endpoint& aEndpoint) {
      return this->TakeAt(aEndpoint, aBodyBytes, aEarlierAnswers);
    });
  }

  Taken TakeAt(const Endpoint& aEndpoint, std::size_t aBodyBytes, int aEarlierAnswers)
  {
    Taken taken;
    this->loop.restart();
    asio::co_spawn(this->loop,
                   this->Ask(aEndpoint, aBodyBytes, aEarlierAnswers),
                   [&taken](const std::exception_ptr&, Taken aTaken) { taken = aTaken; });
    this->loop.run();
    return taken;
  }

  // Returns what CallHttp() takes for the answer.
  Taken TakeByCall(const Script& aScript)
  {
    return this->Take(aScript, [](const Endpoint& aEndpoint) {
      HttpCall call;
      call.endpoint = aEndpoint;
      call.method = "POST";
      call.path = "/";
      const auto response = CallHttp(std::move(call), ByteCount(kMebibyte));
      Taken taken;
      if (response) {
        taken.status = response.value().status;
        taken.body = response.value().body;
      }
      return taken;
    });
  }

  // Sends the first bytes of an answer and ends the connection.
  static Script Cut(const FramedAnswer& aAnswer, std::size_t aBytes, TargetEnd aEnd)
  {
    return [&aAnswer, aBytes, aEnd](TcpSocket& aSocket) {
      std::string buffer;
      ReadMessage(aSocket, buffer);
      Write(aSocket, aAnswer.bytes.substr(0, aBytes));
      EndConnection(aSocket, aEnd);
    };
  }

  // Waits for the beginning of a request, and leaves the rest of it unread.
  static void AwaitRequest(TcpSocket& aSocket)
  {
    char byte = 0;
    asio::read(aSocket, asio::buffer(&byte, 1));
  }

  static void ExpectSound(const FramedAnswer& aAnswer,
                          std::size_t aBytes,
                          TargetEnd aEnd,
                          const Taken& aTaken)
  {
    SCOPED_TRACE(aAnswer.name + " cut after " + std::to_string(aBytes) + " bytes by " +
                 (aEnd == TargetEnd::Close ? "a close" : "a reset"));
    const bool whole = IsWhole(aAnswer, aBytes, aEnd);
    if (!whole) {
      EXPECT_FALSE(aTaken.status.has_value()) << "taken as whole: " << aTaken.body;
      EXPECT_FALSE(aTaken.reusable);
    } else if (aEnd == TargetEnd::Close || aTaken.status) {
      // A reset may overtake a whole answer.
      EXPECT_EQ(aTaken.status, 200);
      EXPECT_EQ(aTaken.body, BodyOf(aAnswer, aBytes));
    }
  }

  SystemClock clock;
  asio::io_context loop{ 1 };
  asio::io_context targetLoop;
  TcpAcceptor acceptor = testing::ListenOnFreePort(targetLoop);
};

// Guards against a cut answer that is taken as whole: the target stops after any byte.
TEST_F(CutHeadTest, AnswerThatStopsAfterAnyByteIsNotWhole)
{
  for (const FramedAnswer& answer : FramedAnswers()) {
    for (const TargetEnd end : kEnds) {
      for (std::size_t bytes = 0; bytes <= answer.bytes.size(); ++bytes) {
        ExpectSound(answer, bytes, end, this->TakeByConnection(Cut(answer, bytes, end)));
      }
    }
  }
}

// Guards against the same in calls of hosts and of operators.
TEST_F(CutHeadTest, AnswerToCallThatStopsAfterAnyByteIsNotWhole)
{
  for (const FramedAnswer& answer : FramedAnswers()) {
    if (answer.headBegin > 0) {
      continue;
    }
    for (const TargetEnd end : kEnds) {
      for (std::size_t bytes = 0; bytes <= answer.bytes.size(); ++bytes) {
        ExpectSound(answer, bytes, end, this->TakeByCall(Cut(answer, bytes, end)));
      }
    }
  }
}

// Guards against a state of the first answer that makes a cut second one on its connection whole.
TEST_F(CutHeadTest, SecondAnswerOfConnectionThatStopsAfterAnyByteIsNotWhole)
{
  const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
  for (const FramedAnswer& answer : FramedAnswers()) {
    for (const TargetEnd end : kEnds) {
      for (std::size_t bytes = 0; bytes <= answer.bytes.size(); ++bytes) {
        const Taken taken = this->TakeByConnection(
          [&](TcpSocket& aSocket) {
            std::string buffer;
            ReadMessage(aSocket, buffer);
            Write(aSocket, first);
            Cut(answer, bytes, end)(aSocket);
          },
          0,
          1);
        ExpectSound(answer, bytes, end, taken);
      }
    }
  }
}

// Guards against bytes left over by the first answer that are taken for a whole second one: they
// are the beginning of an answer.
TEST_F(CutHeadTest, LeftoverBeginningOfAnswerIsNotWhole)
{
  const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
  for (const FramedAnswer& answer : FramedAnswers()) {
    for (std::size_t bytes = 0; bytes < answer.headEnd; ++bytes) {
      const Taken taken = this->TakeByConnection(
        [&](TcpSocket& aSocket) {
          std::string buffer;
          ReadMessage(aSocket, buffer);
          Write(aSocket, first + answer.bytes.substr(0, bytes));
          ReadMessage(aSocket, buffer);
          EndConnection(aSocket, TargetEnd::Close);
        },
        0,
        1);
      ExpectSound(answer, bytes, TargetEnd::Close, taken);
    }
  }
}

// Guards against an answer without a length that is taken as whole though the connection was reset:
// the reset breaks off the request that is still being sent, and then the answer seems to end.
TEST_F(CutHeadTest, AnswerThatIsResetWhileItsRequestIsSentIsNotWhole)
{
  for (const FramedAnswer& answer : FramedAnswers()) {
    for (std::size_t bytes = 0; bytes <= answer.bytes.size(); ++bytes) {
      const Taken taken = this->TakeByConnection(
        [&](TcpSocket& aSocket) {
          AwaitRequest(aSocket);
          Write(aSocket, answer.bytes.substr(0, bytes));
          EndConnection(aSocket, TargetEnd::Reset);
        },
        kLongBody);
      ExpectSound(answer, bytes, TargetEnd::Reset, taken);
    }
  }
}

// Guards against an answer without a length that is taken as whole when TCP gives the connection
// up: the target reads nothing of the request, and never ends its answer.
TEST_F(CutHeadTest, AnswerOfTargetThatStopsReadingIsNotWhole)
{
  const FramedAnswer answer = MakeAnswer("unread", "", "hello", "hello");
  std::atomic<bool> ended = false;
  const Taken taken = this->Take(
    [&](TcpSocket& aSocket) {
      Write(aSocket, answer.bytes);
      while (!ended) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      }
    },
    [&](const Endpoint& aEndpoint) {
      const Taken result = this->TakeAt(aEndpoint, kLongBody, 0);
      ended = true;
      return result;
    });
  ExpectSound(answer, answer.bytes.size(), TargetEnd::Reset, taken);
}

// Guards against whole answers that are lost: the target answers before it has read the request,
// closes its side, and drops the rest of the request.
TEST_F(CutHeadTest, WholeAnswerThatComesWhileItsRequestIsSentIsTaken)
{
  for (const FramedAnswer& answer : FramedAnswers()) {
    const Taken taken = this->TakeByConnection(
      [&](TcpSocket& aSocket) {
        AwaitRequest(aSocket);
        Write(aSocket, answer.bytes);
        EndConnection(aSocket, TargetEnd::Close);
      },
      kLongBody);
    ExpectSound(answer, answer.bytes.size(), TargetEnd::Close, taken);
  }
}

// Guards against a cut that only a certain division of the bytes into reads takes as whole.
TEST_F(CutHeadTest, AnswerInPiecesThatStopsAnywhereIsNotWhole)
{
  const std::vector<FramedAnswer> answers = FramedAnswers();
  EXPECT_TRUE(rc::check("answer in pieces that stops anywhere", [&] {
    const FramedAnswer& answer =
      answers[*rc::gen::inRange<std::size_t>(0, answers.size()).as("answer")];
    const auto bytes = *rc::gen::inRange<std::size_t>(0, answer.bytes.size() + 1).as("bytes");
    const auto first = *rc::gen::inRange<std::size_t>(0, bytes + 1).as("first");
    const TargetEnd end = *rc::gen::elementOf(std::vector<TargetEnd>{ kEnds[0], kEnds[1] });
    const Taken taken = this->TakeByConnection([&](TcpSocket& aSocket) {
      std::string buffer;
      ReadMessage(aSocket, buffer);
      Write(aSocket, answer.bytes.substr(0, first));
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      Write(aSocket, answer.bytes.substr(first, bytes - first));
      EndConnection(aSocket, end);
    });
    ExpectSound(answer, bytes, end, taken);
    RC_ASSERT(!::testing::Test::HasFailure());
  }));
}

} // namespace
} // namespace damasklink

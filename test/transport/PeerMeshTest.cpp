#include "damasklink/transport/PeerMesh.h"

#include <array>
#include <thread>

#include <gtest/gtest.h>

#include "damasklink/protocol/Envelope.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/FrameCodec.h"
#include "support/OwnAddress.h"
#include "support/SlowLink.h"

namespace damasklink {
namespace {

using testing::FreeEndpoint;
using testing::OwnAddress;
using StreamSocket = asio::local::stream_protocol::socket;

// Records the callbacks for one host's connections.
class RecordingHandler final : public PeerMeshHandler
{
public:
  void OnPeerUp(const HostId& aPeer, LinkSide aSide) override
  {
    this->ups.emplace_back(aPeer, aSide);
  }
  void OnPeerDown(const HostId& aPeer, LinkSide aSide) override
  {
    this->downs.emplace_back(aPeer, aSide);
  }
  void OnPeerMessage(const HostId& /*aPeer*/, PeerMessage aMessage) override
  {
    this->payloads.push_back(aMessage.payload);
  }

  std::vector<std::pair<HostId, LinkSide>> ups;
  std::vector<std::pair<HostId, LinkSide>> downs;
  std::vector<std::string> payloads;
};

class PeerMeshTest : public ::testing::Test
{
protected:
  // A silence timeout that does not expire during a test, however slow the machine is.
  static PeerMeshTiming LongTimeout()
  {
    PeerMeshTiming timing;
    timing.keepaliveInterval = std::chrono::milliseconds(20);
    timing.silenceTimeout = std::chrono::minutes(10);
    timing.dial.firstRetryDelay = std::chrono::milliseconds(10);
    timing.dial.retryDelay = std::chrono::milliseconds(10);
    return timing;
  }

  static PeerMeshTiming ShortTimeout()
  {
    PeerMeshTiming timing = LongTimeout();
    timing.silenceTimeout = std::chrono::milliseconds(100);
    return timing;
  }

  // A silence timeout shorter than sending 6 MiB takes on a link of 1 MB/s, and long enough that it
  // does not expire when a busy machine suspends a test for some hundred milliseconds.
  static PeerMeshTiming MediumTimeout()
  {
    PeerMeshTiming timing = LongTimeout();
    timing.silenceTimeout = std::chrono::seconds(4);
    return timing;
  }

  // Runs the loop until the condition holds.
  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    while (!aCondition()) {
      this->loop.run_one_for(std::chrono::milliseconds(50));
    }
  }

  static PeerMessage Message(std::string aPayload)
  {
    return PeerMessage{ Channel::Serving, GroupId(), std::move(aPayload) };
  }

  MemoryBudget memory{ ByteCount(256 * kMebibyte) };
  asio::io_context loop;
  HostId first{ OwnAddress(4) };
  HostId second{ OwnAddress(5) };
  std::uint16_t port = FreeEndpoint(second.Value()).port;
  RecordingHandler firstHandler;
  RecordingHandler secondHandler;
};

TEST_F(PeerMeshTest, BothSidesSendOnOneConnection)
{
  PeerMesh dialer(
    this->loop, this->first, this->port, this->memory, this->firstHandler, LongTimeout());
  PeerMesh listener(
    this->loop, this->second, this->port, this->memory, this->secondHandler, LongTimeout());
  ASSERT_TRUE(listener.Listen());
  dialer.Dial(this->second);
  this->RunUntil([&] { return dialer.IsUp(this->second); });
  dialer.Send(this->second, Message("there"));
  this->RunUntil([&] { return !this->secondHandler.payloads.empty(); });
  listener.Send(this->first, Message("and back"));
  this->RunUntil([&] { return !this->firstHandler.payloads.empty(); });
  EXPECT_EQ(this->secondHandler.payloads.front(), "there");
  EXPECT_EQ(this->firstHandler.payloads.front(), "and back");
  EXPECT_EQ(this->secondHandler.ups.front(), std::pair(this->first, LinkSide::Accepted));
}

TEST_F(PeerMeshTest, RedialsUntilPeerListens)
{
  PeerMesh dialer(
    this->loop, this->first, this->port, this->memory, this->firstHandler, LongTimeout());
  dialer.Dial(this->second);
  this->loop.run_for(std::chrono::milliseconds(60));
  EXPECT_TRUE(this->firstHandler.ups.empty());
  PeerMesh listener(
    this->loop, this->second, this->port, this->memory, this->secondHandler, LongTimeout());
  ASSERT_TRUE(listener.Listen());
  this->RunUntil([&] { return dialer.IsUp(this->second); });
}

TEST_F(PeerMeshTest, ClosesAndRedialsSilentConnection)
{
  // Accepts connections and sends nothing on them, like an isolated host.
  TcpAcceptor silent(this->loop,
                     TcpEndpoint(asio::ip::make_address(this->second.Value()), this->port));
  std::vector<TcpSocket> sockets;
  std::function<void()> accept = [&] {
    silent.async_accept([&](const IoError& aError, TcpSocket aSocket) {
      if (!aError) {
        sockets.push_back(std::move(aSocket));
        accept();
      }
    });
  };
  accept();
  PeerMesh dialer(
    this->loop, this->first, this->port, this->memory, this->firstHandler, ShortTimeout());
  dialer.Dial(this->second);
  this->RunUntil([&] { return !this->firstHandler.downs.empty(); });
  this->RunUntil([&] { return sockets.size() >= 2; });
}

TEST_F(PeerMeshTest, SendsKeepalivesWhenIdle)
{
  TcpAcceptor acceptor(this->loop,
                       TcpEndpoint(asio::ip::make_address(this->second.Value()), this->port));
  TcpSocket socket(this->loop);
  std::size_t bytes = 0;
  std::array<char, 4096> buffer{};
  std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(buffer), [&](const IoError& aError, std::size_t aCount) {
      if (!aError) {
        bytes += aCount;
        read();
      }
    });
  };
  acceptor.async_accept(socket, [&](const IoError&) { read(); });
  PeerMesh dialer(
    this->loop, this->first, this->port, this->memory, this->firstHandler, LongTimeout());
  dialer.Dial(this->second);
  this->RunUntil([&] { return bytes > 0; });
  const std::size_t firstKeepalive = bytes;
  this->RunUntil([&] { return bytes >= 3 * firstKeepalive; });
}

// A connection is not silent while a message is arriving, even if that takes longer than the
// silence timeout.
TEST_F(PeerMeshTest, ReceivesMessageThatTakesLongerThanSilenceTimeout)
{
  testing::SlowLink link(1'000'000);
  const std::uint16_t relayed = FreeEndpoint(this->second.Value()).port;
  link.Relay(Endpoint{ this->second.Value(), relayed },
             Endpoint{ this->second.Value(), this->port });
  link.Start();
  PeerMesh dialer(
    this->loop, this->first, relayed, this->memory, this->firstHandler, MediumTimeout());
  PeerMesh listener(
    this->loop, this->second, this->port, this->memory, this->secondHandler, LongTimeout());
  ASSERT_TRUE(listener.Listen());
  dialer.Dial(this->second);
  this->RunUntil([&] { return listener.IsUp(this->first); });
  const std::string large(6 * kMebibyte, 'x');
  listener.Send(this->first, Message(large));
  this->RunUntil(
    [&] { return !this->firstHandler.payloads.empty() || !this->firstHandler.downs.empty(); });
  ASSERT_FALSE(this->firstHandler.payloads.empty());
  EXPECT_EQ(this->firstHandler.payloads.front(), large);
}

TEST_F(PeerMeshTest, ClosesConnectionWhenPeerDoesNotRead)
{
  TcpAcceptor acceptor(this->loop,
                       TcpEndpoint(asio::ip::make_address(this->second.Value()), this->port));
  std::vector<TcpSocket> sockets;
  acceptor.async_accept(
    [&](const IoError&, TcpSocket aSocket) { sockets.push_back(std::move(aSocket)); });
  PeerMesh dialer(
    this->loop, this->first, this->port, this->memory, this->firstHandler, LongTimeout());
  dialer.Dial(this->second);
  this->RunUntil([&] { return dialer.IsUp(this->second); });
  for (int message = 0; message < 20; ++message) {
    dialer.Send(this->second, Message(std::string(kMebibyte, 'x')));
  }
  this->RunUntil([&] { return !this->firstHandler.downs.empty(); });
}

TEST_F(PeerMeshTest, MessageLargerThanTheQueueIsSentWhenNothingWaits)
{
  PeerMesh dialer(
    this->loop, this->first, this->port, this->memory, this->firstHandler, LongTimeout());
  PeerMesh listener(
    this->loop, this->second, this->port, this->memory, this->secondHandler, LongTimeout());
  ASSERT_TRUE(listener.Listen());
  dialer.Dial(this->second);
  this->RunUntil([&] { return dialer.IsUp(this->second); });
  dialer.Send(this->second, Message(std::string(12 * kMebibyte, 'x')));
  this->RunUntil([&] { return !this->secondHandler.payloads.empty(); });
  EXPECT_EQ(this->secondHandler.payloads.front().size(), 12 * kMebibyte);
}

// Guards against a large message that never arrives: keepalives, or anything else that is sent
// while it is being written, closed the connection.
TEST_F(PeerMeshTest, MessagesBehindOneLargerThanTheQueueKeepTheConnection)
{
  PeerMesh dialer(
    this->loop, this->first, this->port, this->memory, this->firstHandler, LongTimeout());
  PeerMesh listener(
    this->loop, this->second, this->port, this->memory, this->secondHandler, LongTimeout());
  ASSERT_TRUE(listener.Listen());
  dialer.Dial(this->second);
  this->RunUntil([&] { return dialer.IsUp(this->second); });
  dialer.Send(this->second, Message(std::string(12 * kMebibyte, 'x')));
  dialer.Send(this->second, Message("behind"));
  this->RunUntil(
    [&] { return this->secondHandler.payloads.size() == 2 || !this->firstHandler.downs.empty(); });
  EXPECT_TRUE(this->firstHandler.downs.empty());
  ASSERT_EQ(this->secondHandler.payloads.size(), 2U);
  EXPECT_EQ(this->secondHandler.payloads.back(), "behind");
}

// Guards against heartbeats and votes that wait behind a large message for longer than an election
// timeout.
TEST_F(PeerMeshTest, SmallMessagesPassALargeOneOfAnotherChannel)
{
  testing::SlowLink link(1'250'000);
  const std::uint16_t relayed = FreeEndpoint(this->second.Value()).port;
  link.Relay(Endpoint{ this->second.Value(), relayed },
             Endpoint{ this->second.Value(), this->port });
  link.Start();
  PeerMesh dialer(
    this->loop, this->first, relayed, this->memory, this->firstHandler, LongTimeout());
  PeerMesh listener(
    this->loop, this->second, this->port, this->memory, this->secondHandler, LongTimeout());
  ASSERT_TRUE(listener.Listen());
  dialer.Dial(this->second);
  this->RunUntil([&] { return listener.IsUp(this->first); });
  const std::string large(3 * kMebibyte, 'x');
  listener.Send(this->first, Message(large));
  listener.Send(this->first, Message("behind"));
  listener.Send(this->first, PeerMessage{ Channel::Agreement, GroupId(), "heartbeat" });
  this->RunUntil([&] { return !this->firstHandler.payloads.empty(); });
  EXPECT_EQ(this->firstHandler.payloads.front(), "heartbeat");
  EXPECT_LT(link.Received(), kMebibyte);
  this->RunUntil([&] { return this->firstHandler.payloads.size() == 3; });
  EXPECT_TRUE(this->firstHandler.payloads[1] == large);
  EXPECT_EQ(this->firstHandler.payloads[2], "behind");
}

// Guards against fragments for a process of an earlier version, which takes each for a message.
TEST_F(PeerMeshTest, PeerThatDoesNotTakeFragmentsIsSentWholeMessages)
{
  PeerMesh listener(
    this->loop, this->second, this->port, this->memory, this->secondHandler, LongTimeout());
  ASSERT_TRUE(listener.Listen());
  TcpSocket earlier(this->loop);
  earlier.connect(TcpEndpoint(asio::ip::make_address(this->second.Value()), this->port));
  Envelope envelope;
  envelope.from = this->first;
  const std::string hello = EncodeEnvelope(envelope);
  asio::write(earlier, asio::buffer(EncodeFrameLength(hello.size())));
  asio::write(earlier, asio::buffer(hello));
  this->RunUntil([&] { return listener.IsUp(this->first); });
  const std::string large(kMebibyte, 'x');
  listener.Send(this->first, Message(large));
  std::thread running([&] { this->loop.run_for(std::chrono::seconds(1)); });
  std::string payload;
  while (payload.empty()) {
    FramePrefix prefix{};
    asio::read(earlier, asio::buffer(prefix));
    std::string frame(DecodeFrameLength(prefix), '\0');
    asio::read(earlier, asio::buffer(frame));
    payload = DecodeEnvelope(frame).value().payload;
  }
  running.join();
  EXPECT_TRUE(payload == large);
}

// Guards against connections that are closed as silent although bytes of the peer wait to be read:
// the loop was busy, or the process suspended, while the timeout expired. What was sent on such a
// connection is lost.
TEST_F(PeerMeshTest, ConnectionWhosePeerHasSentIsNotSilent)
{
  PeerMeshTiming timing = LongTimeout();
  timing.silenceTimeout = std::chrono::milliseconds(500);
  PeerMesh dialer(this->loop, this->first, this->port, this->memory, this->firstHandler, timing);
  PeerMesh listener(
    this->loop, this->second, this->port, this->memory, this->secondHandler, timing);
  ASSERT_TRUE(listener.Listen());
  dialer.Dial(this->second);
  this->RunUntil([&] { return dialer.IsUp(this->second) && listener.IsUp(this->first); });
  this->firstHandler.downs.clear();
  this->secondHandler.downs.clear();
  dialer.Send(this->second, Message("there"));
  listener.Send(this->first, Message("and back"));
  std::this_thread::sleep_for(timing.silenceTimeout * 2);
  this->RunUntil(
    [&] { return !this->firstHandler.payloads.empty() || !this->firstHandler.downs.empty(); });
  this->RunUntil(
    [&] { return !this->secondHandler.payloads.empty() || !this->secondHandler.downs.empty(); });
  EXPECT_TRUE(this->firstHandler.downs.empty());
  EXPECT_TRUE(this->secondHandler.downs.empty());
}

// The same in a host with many connections: after a standstill more of them are ready than the loop
// takes from the kernel at a time, and due timers run before the rest are read.
TEST_F(PeerMeshTest, ConnectionBehindManyOthersThatAreReadyIsNotSilent)
{
  PeerMeshTiming timing = LongTimeout();
  timing.silenceTimeout = std::chrono::milliseconds(500);
  PeerMesh dialer(this->loop, this->first, this->port, this->memory, this->firstHandler, timing);
  PeerMesh listener(
    this->loop, this->second, this->port, this->memory, this->secondHandler, timing);
  ASSERT_TRUE(listener.Listen());
  dialer.Dial(this->second);
  this->RunUntil([&] { return dialer.IsUp(this->second) && listener.IsUp(this->first); });
  std::vector<std::pair<StreamSocket, StreamSocket>> others;
  for (int index = 0; index < 300; ++index) {
    StreamSocket reader(this->loop);
    StreamSocket writer(this->loop);
    asio::local::connect_pair(reader, writer);
    reader.async_wait(StreamSocket::wait_read, [](const IoError&) {});
    others.emplace_back(std::move(reader), std::move(writer));
  }
  this->loop.run_for(std::chrono::milliseconds(100));
  this->firstHandler.downs.clear();
  this->secondHandler.downs.clear();
  for (auto& [reader, writer] : others) {
    asio::write(writer, asio::buffer("x", 1));
  }
  dialer.Send(this->second, Message("there"));
  listener.Send(this->first, Message("and back"));
  std::this_thread::sleep_for(timing.silenceTimeout * 2);
  this->RunUntil(
    [&] { return !this->firstHandler.payloads.empty() || !this->firstHandler.downs.empty(); });
  this->RunUntil(
    [&] { return !this->secondHandler.payloads.empty() || !this->secondHandler.downs.empty(); });
  EXPECT_TRUE(this->firstHandler.downs.empty());
  EXPECT_TRUE(this->secondHandler.downs.empty());
}

// Two hosts of which the listening one has little memory, all of it taken by others.
class FullPeerMeshTest : public PeerMeshTest
{
protected:
  FullPeerMeshTest()
  {
    EXPECT_TRUE(this->listener.Listen());
    this->dialer.Dial(this->second);
    this->RunUntil([&] { return this->listener.IsUp(this->first) && this->little.Held() == 0; });
    this->taken = this->little.TryReserve(MemoryUse::Responses, this->little.Limit() * 7 / 8);
    EXPECT_TRUE(this->taken.has_value());
  }

  MemoryBudget little{ ByteCount(16 * kMebibyte) };
  std::optional<MemoryReservation> taken;
  PeerMesh dialer{ this->loop,   this->first,        this->port,
                   this->memory, this->firstHandler, LongTimeout() };
  PeerMesh listener{ this->loop,   this->second,        this->port,
                     this->little, this->secondHandler, LongTimeout() };
};

// Guards against frames that are read beyond the memory of the host.
TEST_F(FullPeerMeshTest, LargeFrameIsReadOnceThereIsMemory)
{
  this->dialer.Send(this->second, Message(std::string(kMebibyte, 'x')));
  this->loop.run_for(std::chrono::milliseconds(200));
  EXPECT_TRUE(this->secondHandler.payloads.empty());
  this->taken.reset();
  this->RunUntil([&] { return !this->secondHandler.payloads.empty(); });
  EXPECT_TRUE(this->secondHandler.downs.empty());
  EXPECT_EQ(this->little.Held(), 0U);
}

TEST_F(FullPeerMeshTest, SmallFramesGoOn)
{
  this->dialer.Send(this->second, Message("small"));
  this->RunUntil([&] { return !this->secondHandler.payloads.empty(); });
}

TEST_F(FullPeerMeshTest, ConnectionIsClosedIfAFrameWaitsForTooLong)
{
  this->dialer.Send(this->second, Message(std::string(kMebibyte, 'x')));
  this->RunUntil([&] { return !this->secondHandler.downs.empty(); });
  EXPECT_TRUE(this->secondHandler.payloads.empty());
}

// Guards against queues that grow beyond the memory of the host.
TEST_F(FullPeerMeshTest, MessageThatCannotBeQueuedClosesTheConnection)
{
  this->listener.Send(this->first, Message(std::string(kMebibyte, 'x')));
  this->RunUntil([&] { return !this->secondHandler.downs.empty(); });
  EXPECT_TRUE(this->firstHandler.payloads.empty());
}

TEST_F(PeerMeshTest, InvalidFrameClosesConnection)
{
  PeerMesh listener(
    this->loop, this->second, this->port, this->memory, this->secondHandler, LongTimeout());
  ASSERT_TRUE(listener.Listen());
  TcpSocket stranger(this->loop);
  stranger.connect(TcpEndpoint(asio::ip::make_address(this->second.Value()), this->port));
  asio::write(stranger, asio::buffer(std::string("\x05\0\0\0hello", 9)));
  bool closed = false;
  char byte = 0;
  stranger.async_read_some(asio::buffer(&byte, 1),
                           [&](const IoError& aError, std::size_t) { closed = bool(aError); });
  this->RunUntil([&] { return closed; });
  EXPECT_TRUE(this->secondHandler.ups.empty());
}

} // namespace
} // namespace damasklink

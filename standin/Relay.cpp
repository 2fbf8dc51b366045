#include "Relay.h"

#include <array>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "damasklink/state/Text.h"

namespace damasklink::standin {
namespace {

constexpr std::size_t kPieceBytes = 16 * kKibibyte;
constexpr int kBacklog = 128;
// How long a wait lasts before it looks whether to stop.
constexpr int kPollMilliseconds = 100;

sockaddr_in
SocketAddress(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port);
  ::inet_pton(AF_INET, aEndpoint.address.c_str(), &address.sin_addr);
  return address;
}

// Returns a connected socket, or -1.
int
ConnectTo(const Endpoint& aEndpoint)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = SocketAddress(aEndpoint);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

bool
WriteAll(int aDescriptor, const char* aBytes, std::size_t aCount)
{
  std::size_t written = 0;
  while (written < aCount) {
    const ssize_t count = ::send(aDescriptor, aBytes + written, aCount - written, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(count);
  }
  return true;
}

} // namespace

// One accepted socket and the one opened for it, with a thread for each direction.
class Relay::Connection
{
public:
  Connection(Relay& aRelay, int aNear, int aFar)
    : relay(aRelay)
    , near(aNear)
    , far(aFar)
    , forward([this] { this->Pump(this->near, this->far, Dropping::Forward); })
    , backward([this] { this->Pump(this->far, this->near, Dropping::Backward); })
  {
  }

  ~Connection()
  {
    this->Close();
    this->forward.join();
    this->backward.join();
    ::close(this->near);
    ::close(this->far);
  }

  bool Over() const { return this->over.load(); }
  bool Lossy() const { return this->lossy.load(); }

private:
  void Close()
  {
    this->over.store(true);
    ::shutdown(this->near, SHUT_RDWR);
    ::shutdown(this->far, SHUT_RDWR);
  }

  void Pump(int aFrom, int aTo, Dropping aDirection)
  {
    std::array<char, kPieceBytes> piece{};
    while (true) {
      const ssize_t count = ::recv(aFrom, piece.data(), piece.size(), 0);
      if (count <= 0) {
        break;
      }
      const auto bytes = static_cast<std::size_t>(count);
      if (this->relay.dropping.load() == aDirection) {
        this->lossy.store(true);
        this->relay.droppedBytes.fetch_add(bytes);
      } else if (!WriteAll(aTo, piece.data(), bytes)) {
        break;
      }
    }
    this->Close();
  }

  Relay& relay;
  int near;
  int far;
  std::atomic<bool> over{ false };
  std::atomic<bool> lossy{ false };
  std::thread forward;
  std::thread backward;
};

Relay::Relay(RelayOptions aOptions)
  : options(std::move(aOptions))
{
}

Relay::~Relay()
{
  this->stopped.store(true);
  if (this->acceptor.joinable()) {
    this->acceptor.join();
  }
  if (this->listener >= 0) {
    ::close(this->listener);
  }
  absl::MutexLock lock(&this->mutex);
  this->Reap(true);
}

Result<void>
Relay::Start()
{
  this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const sockaddr_in address = SocketAddress(this->options.listen);
  if (::bind(this->listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(this->listener, kBacklog) != 0) {
    return Fail(ErrorKind::Unavailable,
                Concat("cannot listen on ", FormatEndpoint(this->options.listen)),
                "choose another address");
  }
  this->acceptor = std::thread([this] { this->Accept(); });
  return Success();
}

void
Relay::Accept()
{
  while (!this->stopped.load()) {
    pollfd entry{ this->listener, POLLIN, 0 };
    if (::poll(&entry, 1, kPollMilliseconds) <= 0) {
      continue;
    }
    const int near = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (near < 0) {
      continue;
    }
    const int far = ConnectTo(this->options.to);
    if (far < 0) {
      ::close(near);
      continue;
    }
    absl::MutexLock lock(&this->mutex);
    this->Reap(false);
    this->connections.push_back(std::make_unique<Connection>(*this, near, far));
  }
}

void
Relay::Change(Dropping aDropping)
{
  absl::MutexLock lock(&this->mutex);
  this->connections.remove_if([](const auto& aConnection) { return aConnection->Lossy(); });
  this->dropping.store(aDropping);
}

void
Relay::Reap(bool aAll)
{
  this->connections.remove_if([&](const auto& aConnection) { return aAll || aConnection->Over(); });
}

void
Relay::AddRoutes(HttpServer& aControl)
{
  const auto change = [this](Dropping aDropping) {
    return [this, aDropping](const HttpRequest&) {
      this->Change(aDropping);
      return HttpResponse{ 200, "text/plain", "changed\n", {}, {} };
    };
  };
  aControl.Route("PUT", "/drop/forward", change(Dropping::Forward));
  aControl.Route("PUT", "/drop/backward", change(Dropping::Backward));
  aControl.Route("PUT", "/drop/none", change(Dropping::None));
  aControl.Route("GET", "/dropped", [this](const HttpRequest&) {
    return HttpResponse{ 200, "text/plain", Concat(this->droppedBytes.load(), "\n"), {}, {} };
  });
}

} // namespace damasklink::standin
